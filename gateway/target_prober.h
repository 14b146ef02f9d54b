/// \file
/// Probes targets that do not respond, to distinguish a busy target from a dead one.
#pragma once

#include "core/instant.h"
#include "gateway/http_client.h"
#include "gateway/tcp_connection.h"
#include "gateway/timer_queue.h"
#include "routing/engine_report.h"
#include "routing/routing_names.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace oriolepick {

class absence_detector;
class memory_budget;
class request_dialect;
class target_notice_handler;
class target_permits;
class target_tracker;
struct target_entry;

/// Sends probes. Concurrent probes of the same target with the same time limit are merged into one request. Each
/// request has a connection of its own: responses to probes carry no identifier, so a target that repeats one on a kept
/// connection would be believed.
class target_prober {
public:
    /// The result of a probe.
    struct answer {
        bool alive = false; ///< the target responded in time
        bool replaced = false; ///< another target uses the address
        std::optional<engine_report> report; ///< nothing when the response could not be decoded
        response_failure failure = response_failure::None; ///< why there was no response
        std::string problem; ///< the failure in words, for the log
        instant sentAt; ///< when the probe was sent
        instant due; ///< end of its time limit

        /// \return whether the process that was probed has ended: nothing listens there, or another target does
        bool isGone() const { return replaced || failure == response_failure::Refused; }

        /// \return whether the target was silent, as one is that hangs, is unreachable or pauses for a while. Other
        /// failures say nothing about it: targets reset connections beyond their maximum, for example.
        bool isSilent() const { return failure == response_failure::TimedOut; }

        /// \return whether this node could not probe, for lack of memory or descriptors
        bool failedHere() const
        {
            return failure == response_failure::NoMemory || failure == response_failure::NotConnected;
        }
    };
    using callback = std::function<void(const answer&)>;

    /// All references outlive this object.
    /// \param dialect encodes the probe and decodes the response
    /// \param targetTracker holds which targets have requested a pause and are not probed
    /// \param permits grants the probes of limited targets
    /// \param notices receives the notices in every response
    /// \param absences receives the targets that responded
    target_prober(boost::asio::io_context& loop, timer_queue& timers, const request_dialect& dialect,
        const target_tracker& targetTracker, target_permits& permits, target_notice_handler& notices,
        absence_detector& absences, memory_budget& memory);

    /// Probes \p target. A target that has requested a pause, or whose request limit is used up, is not probed and
    /// counts as alive.
    /// \param timeout time limit for the response
    void probe(const target_entry& target, std::chrono::milliseconds timeout, callback done);

private:
    struct session {
        std::shared_ptr<http_client> client;
        std::vector<callback> callbacks;
        instant sentAt;
        instant due; // end of the time limit
    };

    /// Probes with equal keys are merged. A target that has started again is probed anew, even at the same address.
    struct session_key {
        target_name target;
        std::uint64_t startedAt; // start time of the probed target, to detect a restart at the same address
        std::string address;
        std::chrono::milliseconds timeout;

        bool operator<(const session_key& other) const
        {
            return std::tie(target, startedAt, address, timeout)
                < std::tie(other.target, other.startedAt, other.address, other.timeout);
        }
    };

    void sendProbe(const session_key& key);
    void finish(const session_key& key, const http_client_response& response);
    void finishUnprobed(const session_key& key);
    static void callBack(const session& session, const answer& answer);

    boost::asio::io_context& m_loop;
    memory_budget& m_memory; // of incomplete responses
    timer_queue& m_timers;
    const request_dialect& m_dialect;
    const target_tracker& m_targetTracker;
    target_permits& m_permits;
    target_notice_handler& m_notices;
    absence_detector& m_absences;
    std::map<session_key, session> m_sessions; // of the probes in progress
};

} // namespace oriolepick
