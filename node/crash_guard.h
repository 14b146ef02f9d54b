/// \file
/// The node's shared crash ledger: decides whether a request may run, learns of crashes from this node's streams and
/// from peers, and runs the permits of isolated requests in the table.
#pragma once

#include "config/crash_row_json.h"
#include "core/crash_ledger.h"
#include "core/crash_permit.h"
#include "core/error.h"
#include "core/sound_runs.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace oriolepick::wire {
class envelope;
}

namespace oriolepick {

class control_loop;
class event_channel;
class engine_client;
class node_metrics;
class peer_hub;
class service_client;
class table_service;
class target_directory;

/// One admitted request as the guard knows it; used by one thread at a time.
struct guarded_request {
    request_fingerprint fingerprint = 0;
    std::vector<request_fingerprint> parts; ///< parts of the prompt that other requests may share
    std::unique_ptr<crash_permit> permit; ///< only of an isolated request
};

/// Requests by what crashes of targets say about them.
struct crash_counts {
    std::size_t suspected = 0;
    std::size_t quarantined = 0;
};

/// Thread-safe.
class crash_guard {
public:
    crash_guard(std::string holderPrefix, table_service& table, engine_client& engines, service_client& services,
        const target_directory& targets, peer_hub& peers, control_loop& loop, node_metrics& metrics,
        std::chrono::milliseconds tableTimeout);

    /// Decides whether a request may run; blocks on the table for an isolated one.
    /// \return RequestCrashesTargets when quarantined; Overloaded while it runs elsewhere in isolation;
    ///     PlatformUnavailable when isolation cannot be arranged
    /// \param parts fingerprints of the parts of the prompt that other requests may share
    result<guarded_request> admit(request_fingerprint fingerprint, std::vector<request_fingerprint> parts = {});

    /// Records the end of an admitted request; blocks on the table for an isolated one.
    void finish(guarded_request& request, bool succeeded);

    avoided_targets targetsToAvoid(request_fingerprint fingerprint) const;

    /// \param events is told when the target is known to have crashed, by this node's other streams or by a peer; null
    ///     for calls, whose connection tells it
    /// \param parts see admit()
    void attemptStarted(request_fingerprint fingerprint, const target_id& target,
        const std::shared_ptr<event_channel>& events, const std::vector<request_fingerprint>& parts = {});

    /// Records that \p target began to write the answer of a request, which clears its parts of earlier crashes.
    void answerBegun(
        request_fingerprint fingerprint, const target_id& target, const std::vector<request_fingerprint>& parts);

    void attemptEnded(
        request_fingerprint fingerprint, const target_id& target, const std::shared_ptr<event_channel>& events);

    /// Checks whether a target really crashed and records it with all requests of this node that ran on it.
    void streamsLost(const target_id& target);

    /// The same for a target of a plain service, when a call got no answer from it. The call counts as running.
    void callLost(const target_id& target);

    /// \return whether the request may reach another target now
    bool mayRepeat(request_fingerprint fingerprint, const std::vector<request_fingerprint>& parts = {}) const;

    /// \return the requests with a record of crashes
    crash_counts counts() const;

    /// Takes the usable nodes; on the control loop.
    void setNodes(const std::vector<node_id>& usable);

private:
    /// A request of this node on a target.
    struct run {
        request_fingerprint fingerprint;
        std::vector<request_fingerprint> parts;
        bool answerBegun = false;
        wall_time endedAt {};
    };

    bool hasQuarantinedPart(const std::vector<request_fingerprint>& parts) const;
    bool tryQuarantinedParts(const std::vector<request_fingerprint>& parts);
    void addParts(crash_event& event, const std::vector<run>& runs);
    template <typename Action> permit_ended::end runPermit(crash_permit& permit, Action action);
    bool stillRuns(const target_id& target, std::uint64_t incarnation) const;
    std::uint64_t serviceCrashId(const target_id& target);
    void recordCrash(crash_event event);
    void broadcast(const crash_event& event);
    void broadcast(wire::envelope message);
    void notifyStreams(const target_id& target);
    void expire();

    std::string m_holderPrefix;
    table_service& m_table;
    engine_client& m_engines;
    service_client& m_services;
    const target_directory& m_targets;
    peer_hub& m_peers;
    control_loop& m_loop;
    node_metrics& m_metrics;
    std::chrono::milliseconds m_tableTimeout;
    crash_row_json m_codec;
    mutable std::mutex m_mutex; ///< guards the ledger and the in-flight sets
    crash_ledger m_ledger;
    sound_runs m_soundRuns { sound_runs_settings {} };
    std::map<request_fingerprint, wall_time> m_trials; ///< last trials of quarantined parts by this node
    std::map<target_id, std::vector<run>> m_inFlight;
    std::map<target_id, std::vector<run>> m_brokenOff; ///< generations that ended lately before their answers began
    std::map<target_id, std::multiset<std::shared_ptr<event_channel>>> m_streams; ///< running attempts' channels
    std::set<std::uint64_t> m_known; ///< crashes that were recorded here
    std::map<target_id, crash_mark> m_serviceCrashes; ///< the last of each target of a plain service
    std::vector<node_id> m_nodes; ///< guarded by m_mutex
    std::atomic<std::uint64_t> m_counter { 0 };
};

} // namespace oriolepick
