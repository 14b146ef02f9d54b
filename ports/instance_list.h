/// \file
/// Port to the platform's list of live and leaving instances.
#pragma once

#include "core/error.h"
#include "core/names.h"

#include <chrono>
#include <string>
#include <vector>

namespace oriolepick {

/// What the platform says about an instance.
enum class instance_state {
    Live, ///< serving
    Leaving, ///< to be removed; gets no new work
};

/// One instance of any kind. The list lags behind the actual state, so a live entry may be gone already.
struct instance_record {
    std::string address; ///< "ip:port"
    availability_zone zone;
    std::string kind; ///< for example "engine", "service" or "node"
    instance_state state = instance_state::Live;

    friend bool operator==(const instance_record& left, const instance_record& right)
    {
        return left.address == right.address && left.zone == right.zone && left.kind == right.kind
            && left.state == right.state;
    }
};

/// The instance list as this system uses it. Implementations are thread-safe.
class instance_list {
public:
    virtual ~instance_list() = default;

    /// \return every listed instance, or PlatformUnavailable
    virtual result<std::vector<instance_record>> instances(std::chrono::milliseconds timeout) const = 0;
};

} // namespace oriolepick
