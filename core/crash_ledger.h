/// \file
/// Detects requests, and parts that requests share, that crash targets, from the crashes of the targets that ran them:
/// suspicion, isolation and quarantine.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace oriolepick {

/// Hash of the content of a request without the fields that identify one delivery: equal for every repetition of the
/// request.
using request_fingerprint = std::uint64_t;

/// \return the hash of model, version, adapter and prompt
request_fingerprint fingerprintOf(const model_ref& model, std::string_view prompt);

/// \param caller team that sends the request, or its key if no teams are declared
/// \param target path and query
/// \return the hash of a request to a service, equal for every repetition of the request on any node
request_fingerprint fingerprintOf(
    std::string_view caller, std::string_view method, std::string_view target, std::string_view body);

/// \return the identifier of the crash that ended \p incarnation of \p target; equal on every node that observed it
std::uint64_t crashIdOf(const target_id& target, std::uint64_t incarnation);

/// \return the fingerprint of a part of prompts for \p model, which can be suspected like a request
request_fingerprint partFingerprintOf(std::string_view model, std::string_view part);

/// A part of a prompt that was in flight with a request.
struct part_suspect {
    request_fingerprint part = 0;
    request_fingerprint request = 0;
};

/// One crash of a target, with the requests of one node that were in flight on the target.
struct crash_event {
    std::uint64_t crash = 0;
    target_id target;
    wall_time at;
    std::vector<request_fingerprint> suspects;
    std::vector<part_suspect> parts {}; ///< of suspects that had not begun to write their answers
    std::uint32_t concurrentRequests = 1; ///< requests of this node whose parts are suspected
};

/// A crash that is held against one request, or against a part of it.
struct crash_mark {
    std::uint64_t crash = 0;
    target_id target;
    wall_time at;
    request_fingerprint request = 0; ///< the request that had the part; 0 in a mark of a request
    std::uint32_t concurrentRequests = 1; ///< as in crash_event
};

/// How many runs that began to write their answers had a part.
struct run_share {
    std::uint32_t withPart = 0;
    std::uint32_t all = 0;
};

/// How a request may be dispatched.
enum class crash_verdict {
    Clear, ///< no known crash
    Suspect, ///< one crash: dispatched apart from other suspects
    Isolated, ///< two crashes: at most one attempt in the whole fleet, which needs a crash_permit
    Quarantined, ///< three crashes: not dispatched
};

/// Targets that a request should not be sent to.
struct avoided_targets {
    std::vector<target_id> forbidden; ///< crashed while running the request, or are faulty themselves; sorted
    /// Targets that run another suspect (for a clear request: an isolated one); sorted. Used if no other target is
    /// left: in a small fleet suspects may outnumber the targets.
    std::vector<target_id> discouraged;
};

/// Thresholds, lifetimes and capacities of a crash ledger.
struct crash_ledger_settings {
    std::size_t isolateAfter = 2;
    std::size_t quarantineAfter = 3;
    /// Crashes of a target, with disjoint suspects and none attributed to a suspect, that make the target faulty.
    std::size_t faultyAfter = 3;
    /// Crashes under different requests with one part, of at least minPartRequests, that quarantine the part.
    std::size_t quarantinePartAfter = 4;
    std::size_t minPartRequests = 2;
    /// Crashes under a part that are closer together count once.
    std::chrono::milliseconds sameCauseWindow { 200 };
    /// A part is quarantined only if its crashes are less likely than this by chance, given how many of the sound runs
    /// have it.
    double maxChance = 1e-3;
    std::chrono::hours suspicionLifetime { 1 }; ///< since the last crash
    std::chrono::hours quarantineLifetime { 24 }; ///< since the last crash
    std::chrono::hours faultyWindow { 1 }; ///< crashes of a target within this time are counted together
    /// Whether a mark counts although another request that reached the quarantine threshold earlier has a mark of the
    /// same crash. Set where suspects run alone, since a crash under a request that ran alone is conclusive. Cleared
    /// where suspects share targets, since requests that ran next to a crashing one would be quarantined with it.
    bool countMarksWithEarlierSuspect = true;
    std::size_t maxFingerprints = 65'536;
    std::size_t maxTargets = 4096;
    std::size_t maxSuspectsPerCrash = 256; ///< far more than the batch of one target
};

/// Crash records of one node. Merging records of peers or of the table is commutative and idempotent.
class crash_ledger {
public:
    explicit crash_ledger(crash_ledger_settings settings);

    /// Adds a crash that this node observed or a peer reported.
    void recordCrash(wall_time now, const crash_event& event);

    /// Adds the marks of one request from the table.
    /// \param clearedAt marks up to this time do not count
    void merge(
        wall_time now, request_fingerprint fingerprint, const std::vector<crash_mark>& marks, wall_time clearedAt);

    /// Records that the request completed. Clears a suspect; an isolated request is cleared only through its permit,
    /// see clear().
    void recordSuccess(wall_time now, request_fingerprint fingerprint);

    /// Removes all marks up to \p now, after the request completed in isolation.
    void clear(wall_time now, request_fingerprint fingerprint);

    /// Records how many of the sound runs of \p reporter had \p part; replaces what that node reported before.
    void recordShare(request_fingerprint part, std::uint64_t reporter, const run_share& share);

    /// \return the sum of the shares that the nodes reported
    run_share shareOf(request_fingerprint part) const;

    /// \return whether \p fingerprint is known as a part of several requests
    bool isPart(request_fingerprint fingerprint) const;

    /// Records that an attempt of the request by this node starts or ends on \p target.
    void attemptStarted(request_fingerprint fingerprint, const target_id& target);
    void attemptEnded(request_fingerprint fingerprint, const target_id& target);

    /// Removes expired records; called about once a minute.
    void expire(wall_time now);

    crash_verdict verdict(wall_time now, request_fingerprint fingerprint) const;

    /// \return the targets that placement should avoid for this request
    avoided_targets targetsToAvoid(wall_time now, request_fingerprint fingerprint) const;

    /// \return whether the target itself is considered the cause of its crashes
    bool isFaulty(wall_time now, const target_id& target) const;

    /// \return the marks that count against the request
    std::vector<crash_mark> marks(wall_time now, request_fingerprint fingerprint) const;

    wall_time clearedAt(request_fingerprint fingerprint) const;

    /// \return the quarantined requests
    std::vector<request_fingerprint> quarantinedRequests(wall_time now) const;

    /// \return the isolated and quarantined requests and the quarantined parts, those with the latest changes first
    std::vector<request_fingerprint> blamed(wall_time now) const;

    /// \return a number that changes whenever a record changes
    std::uint64_t changes() const { return m_changes; }

    std::size_t fingerprints() const { return m_records.size(); }
    std::size_t quarantined(wall_time now) const { return quarantinedRequests(now).size(); }
    std::uint64_t evicted() const { return m_evicted; }

private:
    struct reported_share {
        std::uint64_t reporter;
        run_share share;
    };
    struct record {
        std::vector<crash_mark> marks;
        wall_time clearedAt;
        wall_time lastChangeAt;
        std::vector<reported_share> shares {}; // of a part
        mutable std::uint64_t evaluatedAt = 0; // value of m_changes for which conclusiveMarks holds
        mutable std::size_t conclusiveMarks = 0;
    };
    struct target_crash {
        std::uint64_t crash = 0;
        wall_time at;
        std::vector<request_fingerprint> suspects;
        std::vector<request_fingerprint> parts {}; // of the suspects
    };

    /// \return the record of the request, added if missing; may evict others
    record& findOrAddRecord(request_fingerprint fingerprint);
    void addMark(request_fingerprint fingerprint, const crash_mark& mark);
    void addTargetCrash(const crash_event& event);
    std::size_t countedMarks(wall_time now, request_fingerprint fingerprint, const record& found) const;
    /// \param found a record with at least \c quarantineAfter marks
    /// \return the mark that brought the record to the quarantine threshold
    const crash_mark& decidingMark(const record& found) const;
    /// \return whether another request that reached the quarantine threshold earlier has a mark of the same crash
    bool hasEarlierSuspect(request_fingerprint fingerprint, const record& found, std::uint64_t crash) const;
    /// \return the marks of a part that no other part explains better
    std::vector<crash_mark> unexplainedMarks(wall_time now, request_fingerprint fingerprint, const record& found) const;
    /// \return whether \p marks quarantine a part with this record
    bool isConclusive(const record& found, const std::vector<crash_mark>& marks) const;
    /// \return whether another part, with at least \p minMarks, is conclusive by itself and has a mark of \p crash
    bool hasConclusivePart(
        wall_time now, request_fingerprint fingerprint, std::uint64_t crash, std::size_t minMarks) const;
    /// \return the number of marks of a part that is conclusive by itself, 0 for others
    std::size_t conclusiveMarks(wall_time now, const record& found) const;
    std::vector<crash_mark> validMarks(wall_time now, const record& found) const;
    void indexRecord(request_fingerprint fingerprint, const record& found);
    void unindexRecord(request_fingerprint fingerprint, const record& found);
    /// \return whether \p mark is newer than the last clearing and its target is not faulty
    bool isCounted(wall_time now, const record& found, const crash_mark& mark) const;
    bool expired(wall_time now, request_fingerprint fingerprint, const record& found) const;
    /// \return whether one of the suspects also crashed a target other than \p target
    bool attributedToSuspect(const target_crash& crash, const target_id& target) const;
    void evictRecords();
    void evictTargets();

    crash_ledger_settings m_settings;
    absl::flat_hash_map<request_fingerprint, record> m_records;
    std::set<request_fingerprint> m_quarantineCandidates; ///< requests with enough marks for quarantine, counted or not
    /// The requests in m_quarantineCandidates, by crash.
    absl::flat_hash_map<std::uint64_t, std::set<request_fingerprint>> m_quarantineCandidatesByCrash;
    std::map<target_id, std::vector<target_crash>> m_targets;
    std::map<target_id, std::vector<request_fingerprint>> m_running; ///< requests that this node has in flight
    std::uint64_t m_evicted = 0;
    std::uint64_t m_changes = 1; ///< counts changes of records, so that evaluations can be reused
    mutable std::vector<request_fingerprint> m_quarantined; ///< as of the change m_quarantinedAt
    mutable std::uint64_t m_quarantinedAt = 0;
    mutable wall_time m_quarantinedUntil;
};

} // namespace oriolepick
