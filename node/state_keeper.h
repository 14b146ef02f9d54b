/// \file
/// The state in force on this node with the parts that follow its changes. Readers take a pointer to an immutable state
/// and are never blocked by a change.
#pragma once

#include "config/state_in_force.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace oriolepick {

/// Holds the state and moves it forward only, by the store's epoch and the number. Thread-safe.
class state_keeper {
public:
    using listener = std::function<void(const std::shared_ptr<const fleet_state>&)>;

    /// Adds a function that runs after each change, on the thread that makes it. Called before the first change.
    void addListener(listener onChange);

    /// Folds in a batch of tickets and tells the listeners when the state changed.
    /// \return the number in force, or TicketInvalid: nothing changes then
    result<ticket_number> apply(const ticket_batch& batch);

    /// \return the state in force; number 0 before the first ticket is known
    std::shared_ptr<const fleet_state> current() const { return m_states.get(); }

    /// \return the number in force and the epoch of its history; on the control loop
    store_version position() const { return { m_epoch, current()->number() }; }

    /// Sets the epoch of the history that the state belongs to; on the control loop.
    void setEpoch(store_epoch epoch) { m_epoch = epoch; }

private:
    std::atomic<store_epoch> m_epoch { 0 };
    std::mutex m_mutex; ///< serialises changes with their listeners
    state_in_force m_states;
    std::vector<listener> m_listeners;
};

} // namespace oriolepick
