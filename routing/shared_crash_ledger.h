/// \file
/// Crash records of requests, replicated among the responsible nodes.
#pragma once

#include "core/crash_ledger.h"
#include "core/instant.h"
#include "core/seeded_random.h"
#include "core/sound_runs.h"
#include "routing/crash_news.h"
#include "routing/crash_record.h"
#include "routing/recent_requests.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace oriolepick {

/// \return the identifier of the crash that ended \p incarnation of \p target; equal at every node that observed it
std::uint64_t crashIdOf(const target_name& target, std::uint64_t incarnation);

/// Send \c news to another node; the message may be lost.
struct send_crash_news {
    node_id to;
    crash_news news;
};

/// A request of this node that was in flight at a crash.
struct crash_suspect {
    request_fingerprint request = 0;
    std::vector<request_fingerprint> parts {}; ///< shared parts of its prompt, if it had not begun to write its answer
};

/// Answer to a request for a trial.
enum class trial_answer {
    Granted, ///< the request may be sent
    Requested, ///< another node was asked; a further call within milliseconds may return Granted
    Refused, ///< the last trial, or the last question, was not long ago
};

/// Settings of shared_crash_ledger.
struct shared_crash_settings {
    std::size_t replicas = 3; ///< number of nodes responsible for a request; two of them may be lost or miss a report
    std::size_t maxRequests = 4'096; ///< maximum number of requests with a record of about 300 bytes
    std::size_t maxTargets = 1'024; ///< maximum number of targets with crash records
    std::size_t recentSuccesses = 2'048; ///< number of remembered completed requests of 16 bytes each
    /// Period of anti-entropy digests to a random node. A node that missed a verdict receives it within two or three
    /// periods.
    std::chrono::milliseconds antiEntropyPeriod { 500 };
    /// Period after the start in which a node sends digests although it has no records: it may have had some before
    /// a restart.
    std::chrono::milliseconds catchUpPeriod { 5'000 };
    /// Delay before a report is sent again: packet loss on a link lasts for fractions of a second, a partition for
    /// seconds.
    std::chrono::milliseconds reportRetryDelay { 400 };
    std::uint32_t maxReportRetries = 3; ///< the delay doubles with each retry
    sound_runs_settings soundRuns;
    /// Time after the last crash under a part until one request with it is tried again; doubles with each trial
    /// that failed.
    std::chrono::milliseconds trialDelay { 20'000 };
    std::chrono::milliseconds trialRequestInterval { 1'000 }; ///< between two trial requests of a node for one part
    std::chrono::milliseconds trialLifetime { 3'000 }; ///< a granted trial that is not used expires
};

/// Each crash is reported to the few nodes that are responsible for the requests in flight, chosen by rendezvous
/// hashing. When a responsible node has records of enough crashes, it broadcasts a verdict to all nodes. A request
/// that completes at any node is cleared at all nodes. No messages are sent while no target crashes.
///
/// Parts that requests share are suspected, reported and cleared in the same way. Any run that begins to write its
/// answer clears its parts of earlier crashes. A quarantined part is tried again now and then, by one request in the
/// whole fleet. Not synchronized: one instance per event loop.
class shared_crash_ledger {
public:
    using actions = std::vector<send_crash_news>;

    shared_crash_ledger(
        const node_id& self, const shared_crash_settings& settings, seeded_random random, instant startedAt);

    /// Sets the nodes that are believed alive, without this node.
    void setNodes(std::vector<node_id> others);

    /// Records that \p target crashed while \p suspects of this node were in flight.
    /// \param crash identifier of the crash, see crashIdOf()
    actions recordCrash(
        const target_name& target, std::uint64_t crash, const std::vector<crash_suspect>& suspects, instant now);

    /// Records that a run with the shared \p parts began to write its answer.
    actions recordStart(const std::vector<request_fingerprint>& parts, instant now);

    /// Asks whether a request with the quarantined \p part may be sent once, to see whether it still crashes targets.
    /// \param out receives the question to the node that decides
    trial_answer requestTrial(actions& out, request_fingerprint part, instant now);

    /// Records that \p request completed at a target.
    actions recordSuccess(request_fingerprint request, instant now);

    actions receive(const node_id& from, const crash_news& news, instant now);

    /// \return notes on what must outlive the processes of all nodes, see crash_ledger::blamed(); at most \p maxNotes
    std::vector<crash_note> record(std::size_t maxNotes, instant now);

    /// Merges notes that nodes recorded, which may have ended since. What is news here is sent to the other nodes.
    actions mergeRecord(const std::vector<crash_note>& notes, instant now);

    /// \return the digest of \p notes, by the verdicts of this node
    crash_record_digest digestOf(const std::vector<crash_note>& notes, instant now) const;

    /// \return a number that changes whenever a record changes
    std::uint64_t changes() const { return m_ledger.changes(); }

    /// Performs all due work. Call at nextDue() or later.
    actions tick(instant now);

    /// \return the time of the next due work of tick()
    instant nextDue() const;

    /// \return the verdict on \p request at this node
    crash_verdict verdict(request_fingerprint request, instant now) const;

    /// \return the number of quarantined requests
    std::size_t crashesOf(request_fingerprint request, instant now) const;

    /// \return whether \p fingerprint is that of a part
    bool isPart(request_fingerprint fingerprint) const { return m_ledger.isPart(fingerprint); }

    /// \return how many of the sound runs that are known here had \p part
    run_share shareOf(request_fingerprint part) const { return m_ledger.shareOf(part); }

    /// \return whether another, quarantined request was in flight at \p crash
    bool isExplained(std::uint64_t crash, request_fingerprint request, instant now) const;

    /// \return the number of requests that are not dispatched
    std::size_t quarantined(instant now) const;

private:
    struct pending_report {
        instant due;
        std::uint32_t left;
    };

    actions clearUpTo(request_fingerprint fingerprint, instant at, instant now);
    void receiveTrialRequest(actions& out, const node_id& from, request_fingerprint part, instant now);
    void expireTrials(instant now);
    std::vector<node_id> responsibleFor(request_fingerprint request) const;
    bool isResponsible(request_fingerprint request) const;
    void report(actions& out, const std::vector<request_fingerprint>& requests, instant now);
    void broadcast(actions& out, request_fingerprint request, instant now);
    void merge(const node_id& from, const crash_note& note, instant now);
    crash_note noteOf(request_fingerprint request, instant now);
    void receiveNote(actions& out, const node_id& from, crash_news& reply, const crash_note& note,
        crash_news::purpose messagePurpose, instant now);
    void compareDigests(
        actions& out, const node_id& from, const quarantine_digest& received, bool mayRequest, instant now);
    quarantine_digest digest(instant now) const;
    void exchange(actions& out, instant now);

    node_id m_self;
    shared_crash_settings m_settings;
    seeded_random m_random;
    crash_ledger m_ledger;
    recent_requests m_recentSuccesses;
    sound_runs m_soundRuns;
    std::map<request_fingerprint, instant> m_trials; // granted to this node, until when
    std::map<request_fingerprint, instant> m_trialRequests; // last time that this node asked for one
    struct trial_grant {
        instant at;
        std::uint32_t failures; // of earlier trials, since the part was last cleared
    };
    std::map<request_fingerprint, trial_grant> m_grants; // the last ones of this node
    std::vector<node_id> m_others;
    std::vector<node_id> m_nodes; // including this node
    std::map<request_fingerprint, pending_report> m_pendingReports; // reports to be sent again
    instant m_startedAt;
    instant m_antiEntropyAt;
    instant m_expireAt;
};

} // namespace oriolepick
