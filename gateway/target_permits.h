/// \file
/// Permits for requests to targets that limit their requests over all nodes.
#pragma once

#include "core/target_limiter.h"
#include "gateway/timer_queue.h"
#include "routing/target_tracker.h"

#include <functional>
#include <map>
#include <vector>

namespace oriolepick {

class decision_log;
class gateway_metrics;
struct target_reply;

/// Drives target_limiter for one node. Everything that this node sends to a target needs a permit from here: first
/// attempts, retries, resumes, probes and copy requests.
class target_permits {
public:
    using sender = std::function<void(const node_id& to, const target_limit_message& message)>;
    using callback = std::function<void(bool granted)>;

    /// All references outlive this object.
    /// \param isInputPending returns whether messages of other nodes wait to be read
    target_permits(const limit_node& self, sender send, std::function<bool()> isInputPending,
        target_tracker& targetTracker, timer_queue& timers, decision_log& log, gateway_metrics& metrics);
    ~target_permits();

    /// Sets the membership view, see target_limiter::setNodes().
    void setNodes(std::vector<limit_node> others, std::size_t knownNodes);

    /// Announces the planned stop of this node, see target_limiter::leave().
    void leave();

    void receive(const node_id& from, const target_limit_message& message);

    /// Records the limit that a response of \p target named, or its absence in a response to a request.
    /// \param startedAt start of the incarnation that responded
    void recordReply(const target_name& target, std::uint64_t startedAt, const target_reply& reply);

    /// Requests a permit for one request to \p target. The request must be sent in the callback, which may be called
    /// before this function returns. After a denial, the target tracker does not choose the target until there may be
    /// another permit.
    void acquire(const target_entry& target, callback done);

    /// \return whether requests to \p target need a permit
    bool isLimited(const target_entry& target) const;

    /// Records that a caller was refused because the limits of all targets of \p service are used up.
    void recordRefused(const service_name& service);

private:
    void perform(const target_limiter::actions& actions);
    void decide(const target_entry& target, const callback& done, bool granted);
    void logChange(const target_limit_changed& change);
    void scheduleTick();

    sender m_send;
    std::function<bool()> m_isInputPending;
    target_tracker& m_targetTracker;
    timer_queue& m_timers;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    target_limiter m_limiter;
    struct pending_callback {
        target_entry target;
        callback done;
    };
    std::map<std::uint64_t, pending_callback> m_pending; // by number of the permit
    timer_handle m_tickTimer = 0;
    instant m_tickDue;
};

} // namespace oriolepick
