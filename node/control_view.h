/// \file
/// Copies of what the parts on the control loop know, for other threads.
#pragma once

#include "core/membership_messages.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace oriolepick {

/// What was known at one time.
struct control_snapshot {
    std::vector<member_update> members; ///< all known nodes, including this one
    std::vector<std::string> leases; ///< target groups whose lease this node holds
};

/// \return the state's word, for example "alive"
const char* memberStateName(member_state state);

/// Thread-safe.
class control_view {
public:
    control_view();

    void publish(control_snapshot next);

    /// \return the last snapshot, an empty one before the first
    std::shared_ptr<const control_snapshot> current() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const control_snapshot> m_current;
};

} // namespace oriolepick
