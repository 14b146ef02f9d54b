/// \file
/// One node: builds all parts from the settings, serves, and performs the planned stop.
#pragma once

#include "core/error.h"
#include "core/instant.h"

#include <memory>

namespace oriolepick {

struct settings;

class daemon {
public:
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// \return the parts built from the settings, or Internal when the peers' address cannot be bound
    static result<std::unique_ptr<daemon>> create(const settings& configuration);

    /// Starts all parts and serves callers on threads of its own.
    /// \return Internal when an address cannot be bound
    result<void> start();

    /// Performs the planned stop: not ready, nothing new, and all open requests finished. Shortly before the limit,
    /// what is still under way is ended: streams are handed over, and calls are answered with what is known.
    /// \return whether every open request was finished
    bool drainAndStop();

private:
    struct parts;

    explicit daemon(const settings& configuration);
    bool waitForRequests(instant limit) const;

    const settings& m_settings;
    std::unique_ptr<parts> m_parts;
};

} // namespace oriolepick
