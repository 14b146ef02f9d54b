/// \file
/// Permit to run a request that crashed two targets. A row of the table grants at most one attempt in the whole fleet,
/// so that two nodes with stale records cannot each lose a target to the request.
#pragma once

#include "core/crash_row.h"
#include "core/table_transaction.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolepick {

/// Lifetimes and limits of permits.
struct crash_permit_settings {
    std::chrono::minutes lifetime { 15 }; ///< the attempt is cancelled when the permit expires
    std::chrono::milliseconds clockSkew { 1000 }; ///< maximum difference between the wall clocks of two nodes
    unsigned maxConflicts = 8; ///< commit conflicts after which the permit counts as busy
};

/// Reads the row of the request.
struct read_crash_row { };
/// Commits the transaction.
struct write_crash_row {
    table_transaction transaction;
};
/// The result of an acquisition or release.
struct permit_ended {
    enum class end {
        Granted, ///< the request may run now
        Released, ///< the outcome of the attempt is recorded
        Busy, ///< another node holds the permit, or there were too many commit conflicts
        Quarantined, ///< enough crashes are known to quarantine the request
        Unavailable, ///< the table is unavailable: the request must not run
    };
    end how = end::Unavailable;
};

using permit_action = std::variant<read_crash_row, write_crash_row, permit_ended>;

/// Acquires the permit and, after the attempt, releases it with the outcome. At most one operation is outstanding. A
/// permit that expires without a release counts as a crash: its holder is lost and the attempt may have crashed a
/// target. A release that ends with Unavailable must therefore be repeated.
class crash_permit {
public:
    /// \param ledger, codec outlive the permit; marks read from the table are merged into the ledger
    /// \param holder unique to this permit: node, incarnation and counter
    crash_permit(crash_permit_settings settings, crash_ledger& ledger, const crash_row_codec& codec,
        request_fingerprint fingerprint, std::string holder);

    /// Requests the permit; may be repeated after Busy or Unavailable. Code that gives up instead must call
    /// release(false), so that a delayed grant does not block other nodes.
    permit_action acquire();

    /// Releases the permit after the attempt: records the crashes in the ledger, or clears the request after a success.
    permit_action release(bool succeeded);

    permit_action rowRead(wall_time now, const result<std::optional<table_row>>& outcome);
    permit_action rowWritten(wall_time now, const result<table_outcome>& outcome);

    /// \return the request that the permit applies to
    request_fingerprint fingerprint() const { return m_fingerprint; }

    /// \return the latest end of the attempt by this node's clock, once granted
    wall_time heldUntil() const { return m_heldUntil - m_settings.clockSkew; }

private:
    permit_action write(wall_time now, const crash_row& row);
    /// Adds a mark to the ledger if the stored permit of another holder expired without a release.
    void addMarkForLostPermit(wall_time now, const crash_row& stored);
    permit_action decide(wall_time now, const crash_row& stored);
    static permit_action ended(permit_ended::end how) { return permit_ended { how }; }

    crash_permit_settings m_settings;
    crash_ledger& m_ledger;
    const crash_row_codec& m_codec;
    request_fingerprint m_fingerprint;
    std::string m_holder;
    bool m_releasing = false;
    bool m_succeeded = false;
    bool m_recordsCrashesOnly = false; ///< the pending write records crashes without requesting the permit
    std::optional<store_version> m_version;
    unsigned m_conflicts = 0;
    wall_time m_heldUntil;
};

} // namespace oriolepick
