#include "gateway/target_notices.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/link_pool.h"
#include "gateway/request_dialect.h"
#include "gateway/timer_queue.h"
#include "routing/target_tracker.h"

namespace oriolepick {

target_notices::target_notices(
    timer_queue& timers, target_tracker& board, link_pool& links, decision_log& log, gateway_metrics& metrics)
    : m_timers(timers)
    , m_board(board)
    , m_links(links)
    , m_log(log)
    , m_metrics(metrics)
{
}

void target_notices::note(const target_name& target, const std::string& address, const target_reply& reply)
{
    const auto now = m_timers.now();
    if (reply.leaving && m_board.takesRequests(target, now)) {
        m_metrics.count("targets_leaving");
        m_log.write("target_leaves", { { "target", target.value() } });
    }
    if (reply.leaving) {
        m_board.recordShutdownNotice(target);
        m_links.drop(address); // requests in progress keep their connections
    }
    if (reply.pauseUnreadable) {
        m_metrics.count("pauses_unreadable");
        m_log.write("pause_unreadable", { { "target", target.value() } });
    }
    if (!reply.pause)
        return;
    m_metrics.count("pauses");
    if (!m_board.isPaused(target, now))
        m_log.write("target_pauses", { { "target", target.value() }, { "ms", std::to_string(reply.pause->count()) } });
    m_board.recordPause(target, now + *reply.pause);
}

} // namespace oriolepick
