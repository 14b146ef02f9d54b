/// \file
/// The configuration that this node serves by.
#pragma once

#include "core/instant.h"

#include <cstdint>
#include <memory>

namespace oriolepick {

class route_table;
struct routing_config;

/// Holds the newest configuration; a version never goes back within one process.
class active_config {
public:
    /// \return whether \p config is newer and is now in force
    bool apply(routing_config config, instant now);

    /// \return the routes in force, or null before the first configuration
    const std::shared_ptr<const route_table>& table() const { return m_table; }

    std::uint64_t version() const { return m_version; }
    instant since() const { return m_since; }

private:
    std::shared_ptr<const route_table> m_table;
    std::uint64_t m_version = 0;
    instant m_since;
};

} // namespace oriolepick
