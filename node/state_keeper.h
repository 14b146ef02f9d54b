/// \file
/// The state in force on this node with the parts that follow its changes. Readers take a pointer to an immutable state
/// and are never blocked by a change.
#pragma once

#include "config/state_in_force.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace oriolepick {

/// Holds the state and moves it forward only. Thread-safe.
class state_keeper {
public:
    using listener = std::function<void(const std::shared_ptr<const fleet_state>&)>;

    /// Adds a function that runs after each change, on the thread that makes it. Called before the first change.
    void addListener(listener onChange);

    /// Folds in a batch of tickets and tells the listeners when the number in force grew.
    /// \return the number in force, or TicketInvalid: nothing changes then
    result<ticket_number> apply(const ticket_batch& batch);

    /// \return the state in force; number 0 before the first ticket is known
    std::shared_ptr<const fleet_state> current() const { return m_states.get(); }

private:
    std::mutex m_mutex; ///< serialises changes with their listeners
    state_in_force m_states;
    std::vector<listener> m_listeners;
};

} // namespace oriolepick
