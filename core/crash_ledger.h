/// \file
/// Which requests crash targets: suspicion by the targets' crashes, isolation and quarantine.
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

/// Hash of what a request asks, whatever identifies one send of it: equal for every return of an equal request.
using request_fingerprint = std::uint64_t;

/// \return the hash of model, version, adapter and prompt
request_fingerprint fingerprintOf(const model_ref& model, std::string_view prompt);

/// \param caller who sends the request: its team, or its key where no teams are declared
/// \param target path and query
/// \return the hash of what a request to a plain service says, equal for every return of it at any node
request_fingerprint fingerprintOf(
    std::string_view caller, std::string_view method, std::string_view target, std::string_view body);

/// \return the identifier of the crash that ended \p incarnation of \p target; equal at every node that saw it
std::uint64_t crashIdOf(const target_id& target, std::uint64_t incarnation);

/// One crash of one target with the requests of one node that were in flight on it.
struct crash_event {
    std::uint64_t crash = 0;
    target_id target;
    wall_time at;
    std::vector<request_fingerprint> suspects;
};

/// One crash as it counts against one request.
struct crash_mark {
    std::uint64_t crash = 0;
    target_id target;
    wall_time at;
};

/// What may be done with a request.
enum class crash_verdict {
    Clear, ///< no known crash
    Suspect, ///< one crash: runs apart from other suspects
    Isolated, ///< two crashes: runs alone in the whole fleet, with a crash_permit
    Quarantined, ///< three crashes: not dispatched
};

/// Targets that should not get a request.
struct avoided_targets {
    std::vector<target_id> forbidden; ///< crashed with the request, or are faulty themselves; sorted
    std::vector<target_id>
        discouraged; ///< run another suspect (for a clear request: an isolated one); sorted. Used when
                     ///< nothing else is left: on a small fleet the suspects may outnumber the targets
};

/// Thresholds, lifetimes and bounds.
struct crash_ledger_settings {
    std::size_t isolateAfter = 2;
    std::size_t quarantineAfter = 3;
    std::size_t faultyAfter = 3; ///< unexplained crashes of a target with disjoint suspects that make it faulty itself
    std::chrono::hours suspicionLifetime { 1 }; ///< since the last crash
    std::chrono::hours quarantineLifetime { 24 }; ///< since the last crash
    std::chrono::hours faultyWindow { 1 }; ///< crashes of a target that are counted together
    /// Whether marks that an earlier suspect explains count. Where suspects run alone they must: the crash of a request
    /// that ran alone proves enough. Without that, neighbours of a crashing request would be quarantined with it.
    bool countMarksWithEarlierSuspect = true;
    std::size_t maxFingerprints = 65'536;
    std::size_t maxTargets = 4096;
    std::size_t maxSuspectsPerCrash = 256; ///< a target's batch is far smaller
};

/// The crash records of one node. Records of peers and of the table merge in any order and any number of times.
class crash_ledger {
public:
    explicit crash_ledger(crash_ledger_settings settings);

    /// Adds a crash that this node saw or a peer reported.
    void recordCrash(wall_time now, const crash_event& event);

    /// Adds the marks of one request from the table.
    /// \param clearedAt marks up to this time do not count
    void merge(
        wall_time now, request_fingerprint fingerprint, const std::vector<crash_mark>& marks, wall_time clearedAt);

    /// The request ran to its end. Clears a suspect; an isolated request is cleared only by its permit, see clear().
    void recordSuccess(wall_time now, request_fingerprint fingerprint);

    /// Drops all marks up to \p now: the request ran to its end in isolation.
    void clear(wall_time now, request_fingerprint fingerprint);

    /// An attempt at the request starts or ends on a target of this node.
    void attemptStarted(request_fingerprint fingerprint, const target_id& target);
    void attemptEnded(request_fingerprint fingerprint, const target_id& target);

    /// Removes expired records; called about once a minute.
    void expire(wall_time now);

    crash_verdict verdict(wall_time now, request_fingerprint fingerprint) const;

    /// \return where the placer should not send this request
    avoided_targets targetsToAvoid(wall_time now, request_fingerprint fingerprint) const;

    /// \return whether the target itself is considered the cause of its crashes
    bool isFaulty(wall_time now, const target_id& target) const;

    /// \return the marks that count against the request
    std::vector<crash_mark> marks(wall_time now, request_fingerprint fingerprint) const;

    wall_time clearedAt(request_fingerprint fingerprint) const;

    /// \return the requests that are not dispatched
    std::vector<request_fingerprint> quarantinedRequests(wall_time now) const;

    std::size_t fingerprints() const { return m_records.size(); }
    std::size_t quarantined(wall_time now) const { return quarantinedRequests(now).size(); }
    std::uint64_t evicted() const { return m_evicted; }

private:
    struct record {
        std::vector<crash_mark> marks;
        wall_time clearedAt;
        wall_time lastChangeAt;
    };
    struct target_crash {
        std::uint64_t crash = 0;
        wall_time at;
        std::vector<request_fingerprint> suspects;
    };

    record& findOrAddRecord(request_fingerprint fingerprint);
    void addMark(request_fingerprint fingerprint, const crash_mark& mark);
    void addTargetCrash(const crash_event& event);
    std::size_t countedMarks(wall_time now, request_fingerprint fingerprint, const record& found) const;
    const crash_mark& decidingMark(const record& found) const;
    bool hasEarlierSuspect(request_fingerprint fingerprint, const record& found, std::uint64_t crash) const;
    void indexRecord(request_fingerprint fingerprint, const record& found);
    void unindexRecord(request_fingerprint fingerprint, const record& found);
    bool isCounted(wall_time now, const record& found, const crash_mark& mark) const;
    bool expired(wall_time now, request_fingerprint fingerprint, const record& found) const;
    bool attributedToSuspect(const target_crash& crash, const target_id& target) const;
    void evictRecords();
    void evictTargets();

    crash_ledger_settings m_settings;
    absl::flat_hash_map<request_fingerprint, record> m_records;
    std::set<request_fingerprint>
        m_quarantineCandidates; ///< with marks enough for quarantine, whether they count or not
    absl::flat_hash_map<std::uint64_t, std::set<request_fingerprint>>
        m_quarantineCandidatesByCrash; ///< the same by crash
    std::map<target_id, std::vector<target_crash>> m_targets;
    std::map<target_id, std::vector<request_fingerprint>> m_running; ///< attempts of this node
    std::uint64_t m_evicted = 0;
};

} // namespace oriolepick
