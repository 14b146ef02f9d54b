/// \file
/// The routing configuration that this node currently uses.
#pragma once

#include "core/instant.h"
#include "gateway/idle_limit.h"

#include <cstdint>
#include <memory>

namespace oriolepick {

class route_table;
struct routing_config;

/// Holds the newest configuration. The version never decreases within one process.
class active_config {
public:
    active_config();

    /// Activates \p config if its version is newer.
    /// \return whether the configuration was activated
    bool apply(routing_config config, instant now);

    /// \return the active route table, or null before the first configuration
    const std::shared_ptr<const route_table>& table() const { return m_table; }

    std::uint64_t version() const { return m_version; }
    instant since() const { return m_since; }

    /// \return the limit for idle connections of callers
    const idle_limit& idleLimit() const { return m_idleLimit; }

private:
    std::shared_ptr<const route_table> m_table;
    std::uint64_t m_version = 0;
    instant m_since;
    idle_limit m_idleLimit;
};

} // namespace oriolepick
