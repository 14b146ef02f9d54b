/// \file
/// What a rollout_coordinator asks its owner to do.
#pragma once

#include "core/names.h"
#include "routing/rollout_ledger.h"
#include "routing/rollout_messages.h"
#include "routing/routing_names.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oriolepick {

/// Send a message to another node; it may be lost.
struct send_rollout_message {
    node_id to;
    rollout_message message;
};

/// Read the ledger row of a service; answered by exactly one call of ledgerRead() or
/// ledgerUnreadable().
struct read_ledger {
    service_name service;
};

/// Write the ledger row of a service and status/rollout/SERVICE in one transaction, if the ledger row still has the
/// expected version; answered by exactly one call of ledgerCommitted().
struct commit_ledger {
    service_name service;
    std::uint64_t expectedRevision = 0; ///< 0: the row does not exist
    rollout_ledger ledger;
    std::string state; ///< "running", "done" or "rolled_back"
};

/// The decision on a permit that was pending.
struct exposure_decided {
    std::uint64_t number = 0; ///< of the exposure_result
    bool granted = false;
};

/// The phase of a rollout changed at this node, for the log.
struct rollout_changed {
    service_name service;
    std::string version;
    rollout_phase phase = rollout_phase::Observing;
    std::string reason; ///< if this node decided
};

using rollout_action
    = std::variant<send_rollout_message, read_ledger, commit_ledger, exposure_decided, rollout_changed>;

/// How a conditional write ended.
enum class commit_outcome {
    Committed,
    Conflict, ///< the row had another version; nothing was written
    Unknown, ///< no response: it may have been written, or may still be
};

using rollout_actions = std::vector<rollout_action>;

} // namespace oriolepick
