/// \file
/// Which requests crash their targets, as all nodes know it together.
#pragma once

#include "core/crash_ledger.h"
#include "core/instant.h"
#include "core/seeded_random.h"
#include "routing/crash_news.h"
#include "routing/recent_requests.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace oriolepick {

/// \return the identifier of the crash that ended \p incarnation of \p target; equal at every node that saw it
std::uint64_t crashIdOf(const target_name& target, std::uint64_t incarnation);

/// Send \c news to another node; it may get lost.
struct send_crash_news {
    node_id to;
    crash_news news;
};

/// Settings of shared_crash_ledger.
struct shared_crash_settings {
    std::size_t replicas = 3; ///< nodes responsible for a request; two may be lost or miss a report
    std::size_t maxRequests = 4'096; ///< with a record here; about 300 bytes each
    std::size_t maxTargets = 1'024; ///< with a record of their crashes
    std::size_t recentSuccesses = 2'048; ///< requests remembered that ran to their end; 16 bytes each
    /// Between two digests to a random node: a node that missed a verdict hears of it within two or three.
    std::chrono::milliseconds antiEntropyPeriod { 500 };
    /// For so long after its start a node asks also while it knows nothing: it may have known before.
    std::chrono::milliseconds catchUpPeriod { 5'000 };
    /// When a report is sent again: losses on a link last for parts of a second, cuts for seconds.
    std::chrono::milliseconds reportRetryDelay { 400 };
    std::uint32_t maxReportRetries = 3; ///< the pause doubles each time
};

/// Each crash is reported to the few nodes that are responsible for the requests that were in flight, by rendezvous
/// hashing. When these know of enough crashes they tell all nodes. A request that ran to its end anywhere is cleared
/// everywhere. Nothing is sent while nothing crashes. Not synchronized: one per event loop.
class shared_crash_ledger {
public:
    using actions = std::vector<send_crash_news>;

    shared_crash_ledger(
        const node_id& self, const shared_crash_settings& settings, seeded_random random, instant startedAt);

    /// Sets the nodes that are believed alive, without this one.
    void setNodes(std::vector<node_id> others);

    /// \p target crashed with \p suspects of this node in flight.
    /// \param crash its identifier, see crashIdOf()
    actions recordCrash(
        const target_name& target, std::uint64_t crash, const std::vector<request_fingerprint>& suspects, instant now);

    /// \p request ran to its end at a target.
    actions recordSuccess(request_fingerprint request, instant now);

    actions receive(const node_id& from, const crash_news& news, instant now);

    /// Does what is due. Call at nextDue() or later.
    actions tick(instant now);

    /// \return when tick() has something to do
    instant nextDue() const;

    /// \return what is known of \p request here
    crash_verdict verdict(request_fingerprint request, instant now) const;

    /// \return the crashes that count against \p request here
    std::size_t crashesOf(request_fingerprint request, instant now) const;

    /// \return whether another request that is not dispatched any more was in flight at \p crash
    bool isExplained(std::uint64_t crash, request_fingerprint request, instant now) const;

    /// \return the number of requests that are not dispatched
    std::size_t quarantined(instant now) const;

private:
    struct pending_report {
        instant due;
        std::uint32_t left;
    };

    std::vector<node_id> responsibleFor(request_fingerprint request) const;
    bool isResponsible(request_fingerprint request) const;
    void report(actions& out, const std::vector<request_fingerprint>& requests, instant now);
    void broadcast(actions& out, request_fingerprint request, instant now);
    void merge(const crash_note& note, instant now);
    crash_note noteOf(request_fingerprint request, instant now) const;
    void receiveNote(
        actions& out, crash_news& reply, const crash_note& note, crash_news::purpose messagePurpose, instant now);
    void compareDigests(
        actions& out, const node_id& from, const quarantine_digest& received, bool mayRequest, instant now);
    quarantine_digest digest(instant now) const;
    void sendDigest(actions& out, instant now);

    node_id m_self;
    shared_crash_settings m_settings;
    seeded_random m_random;
    crash_ledger m_ledger;
    recent_requests m_recentSuccesses;
    std::vector<node_id> m_others;
    std::vector<node_id> m_nodes; // with this one
    std::map<request_fingerprint, pending_report> m_pendingReports; // to be sent again
    instant m_startedAt;
    instant m_antiEntropyAt;
    instant m_expireAt;
};

} // namespace oriolepick
