/// \file
/// The state in force on this node, published by pointer: readers take the pointer and are never blocked by a change.
#pragma once

#include "core/ticket.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace oriolepick {

class fleet_state;

/// Holds the state and moves it forward only. Thread-safe.
class state_keeper {
public:
    using listener = std::function<void(const std::shared_ptr<const fleet_state>&)>;

    state_keeper();

    /// Adds a function that runs after each change, on the thread that makes it. Called before the first change.
    void addListener(listener onChange);

    /// Takes over a state if its number is higher than the one in force.
    /// \return whether the state changed
    bool publish(const std::shared_ptr<const fleet_state>& next);

    /// \return the state in force; number 0 before the first ticket is known
    std::shared_ptr<const fleet_state> current() const { return std::atomic_load(&m_state); }

private:
    std::mutex m_mutex; ///< serialises changes
    std::shared_ptr<const fleet_state> m_state;
    std::vector<listener> m_listeners;
};

} // namespace oriolepick
