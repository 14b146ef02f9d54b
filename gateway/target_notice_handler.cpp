#include "gateway/target_notice_handler.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/request_dialect.h"
#include "gateway/target_connection_pool.h"
#include "gateway/target_permits.h"
#include "gateway/timer_queue.h"
#include "routing/target_tracker.h"

namespace oriolepick {

target_notice_handler::target_notice_handler(timer_queue& timers, target_tracker& targetTracker,
    target_permits& permits, target_connection_pool& connectionPool, decision_log& log, gateway_metrics& metrics)
    : m_timers(timers)
    , m_targetTracker(targetTracker)
    , m_permits(permits)
    , m_connectionPool(connectionPool)
    , m_log(log)
    , m_metrics(metrics)
{
}

void target_notice_handler::apply(
    const target_name& target, const std::string& address, std::uint64_t startedAt, const target_reply& reply)
{
    const auto now = m_timers.now();
    if (reply.leaving && m_targetTracker.takesRequests(target, now)) {
        m_metrics.count("targets_leaving");
        m_log.write("target_leaves", { { "target", target.value() } });
    }
    if (reply.leaving) {
        m_targetTracker.recordShutdownNotice(target);
        m_connectionPool.closeIdle(address); // requests in progress keep their connections
    }
    m_permits.recordReply(target, startedAt, reply);
    if (reply.pauseInvalid) {
        m_metrics.count("pauses_unreadable");
        m_log.write("pause_unreadable", { { "target", target.value() } });
    }
    if (!reply.pause)
        return;
    m_metrics.count("pauses");
    if (!m_targetTracker.isPaused(target, now))
        m_log.write("target_pauses", { { "target", target.value() }, { "ms", std::to_string(reply.pause->count()) } });
    m_targetTracker.recordPause(target, now + *reply.pause);
}

} // namespace oriolepick
