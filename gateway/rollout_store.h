/// \file
/// Interface by which a gateway keeps the ledgers of rollouts in the platform's store.
#pragma once

#include "routing/rollout_coordinator.h"
#include "routing/rollout_ledger.h"
#include "routing/routing_names.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace oriolepick {

/// Result of reading a ledger.
struct ledger_reading {
    bool isRead = false; ///< the store responded
    std::uint64_t revision = 0; ///< of the row, 0 if it does not exist
    std::optional<rollout_ledger> ledger; ///< nothing if the row does not exist or cannot be decoded
    std::chrono::milliseconds storeNow { 0 }; ///< clock of the store
    std::string problem; ///< description of a failure, for the log
};

/// Result of writing a ledger.
struct ledger_writing {
    commit_outcome outcome = commit_outcome::Unknown;
    std::uint64_t revision = 0; ///< of the row, if it was written
    std::chrono::milliseconds storeNow { 0 }; ///< clock of the store, if the row was written
    std::string problem; ///< description of a failure, for the log
};

/// Reads and writes ledgers without blocking. Operations on different services may overlap.
class rollout_store {
public:
    virtual ~rollout_store() = default;

    virtual void read(const service_name& service, std::function<void(const ledger_reading&)> done) = 0;

    /// Writes the ledger and the status of its rollout in one transaction, if the ledger still has the expected
    /// revision.
    virtual void write(const commit_ledger& commit, std::function<void(const ledger_writing&)> done) = 0;
};

} // namespace oriolepick
