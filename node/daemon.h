/// \file
/// One node: builds all parts from the settings, serves, and performs the planned stop.
#pragma once

#include "core/error.h"

#include <memory>

namespace oriolepick {

struct settings;

class daemon {
public:
    explicit daemon(const settings& configuration);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Starts all parts and serves callers on threads of its own.
    /// \return Internal when an address cannot be bound
    result<void> start();

    /// Performs the planned stop: not ready, nothing new, and all open requests finished or the limit passed.
    /// \return whether every open request was finished
    bool drainAndStop();

private:
    struct parts;

    const settings& m_settings;
    std::unique_ptr<parts> m_parts;
};

} // namespace oriolepick
