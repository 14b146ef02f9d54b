/// \file
/// Publishes the state in force by pointer. Readers keep the state that they took while a newer one is published.
#pragma once

#include "core/error.h"
#include "core/fleet_state.h"
#include "core/ticket_distributor.h"

#include <memory>
#include <mutex>

namespace oriolepick {

/// The state in force of one node. Thread-safe.
class state_in_force {
public:
    state_in_force();

    /// \return the state in force, never null
    std::shared_ptr<const fleet_state> get() const;

    /// Folds in a batch and publishes the result in one step; tickets up to the number in force are skipped, unless the
    /// batch replaces the state.
    /// \return the number in force, or TicketInvalid when the batch has a gap or does not parse: nothing changes then
    result<ticket_number> apply(const ticket_batch& batch);

private:
    mutable std::mutex m_mutex; ///< guards the pointer only; folding runs outside
    std::mutex m_applying; ///< one fold at a time
    std::shared_ptr<const fleet_state> m_state;
};

} // namespace oriolepick
