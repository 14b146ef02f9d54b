#include "gateway/target_prober.h"

#include "gateway/absence_detector.h"
#include "gateway/request_dialect.h"
#include "gateway/target_notice_handler.h"
#include "gateway/target_permits.h"
#include "routing/target_tracker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace oriolepick {

namespace {

    constexpr std::uint64_t MaxResponseBytes = 32'768; ///< a load report takes about 50 bytes for each running request
    constexpr int Success = 200;
    constexpr int Misdirected = 421;

} // namespace

target_prober::target_prober(boost::asio::io_context& loop, timer_queue& timers, const request_dialect& dialect,
    const target_tracker& targetTracker, target_permits& permits, target_notice_handler& notices,
    absence_detector& absences, memory_budget& memory)
    : m_loop(loop)
    , m_memory(memory)
    , m_timers(timers)
    , m_dialect(dialect)
    , m_targetTracker(targetTracker)
    , m_permits(permits)
    , m_notices(notices)
    , m_absences(absences)
{
}

void target_prober::probe(const target_entry& target, std::chrono::milliseconds timeout, callback done)
{
    if (m_targetTracker.isPaused(target.name, m_timers.now())) {
        boost::asio::post(m_loop, [done = std::move(done)] {
            done({ true, false, std::nullopt, response_failure::None, {}, {}, {} });
        });
        return;
    }
    const session_key key { target.name, target.startedAt, target.address, timeout };
    auto& session = m_sessions[key];
    session.callbacks.push_back(std::move(done));
    if (session.callbacks.size() > 1)
        return;
    m_permits.acquire(target, [this, key](bool granted) {
        if (granted)
            sendProbe(key);
        else // the caller does not expect its callback before probe() returns
            boost::asio::post(m_loop, [this, key] { finishUnprobed(key); });
    });
}

void target_prober::sendProbe(const session_key& key)
{
    auto& session = m_sessions[key];
    session.sentAt = m_timers.now();
    session.due = session.sentAt + key.timeout;
    session.client = std::make_shared<http_client>(m_loop, m_timers, key.address, MaxResponseBytes, &m_memory);
    session.client->send(m_dialect.writeProbe(key.target, key.address), key.timeout,
        [this, key](const http_client_response& response) { finish(key, response); });
}

void target_prober::finish(const session_key& key, const http_client_response& response)
{
    const auto& target = key.target;
    answer probeAnswer;
    if (response.status == Success)
        probeAnswer.report = m_dialect.readProbe(response.body);
    const auto entry = m_sessions.extract(key); // released when this function returns
    const auto& session = entry.mapped();
    const auto reply = m_dialect.readReply(response.head);
    if (response.status && response.status != Misdirected)
        m_notices.apply(target, key.address, key.startedAt, reply);
    probeAnswer.replaced = response.status == Misdirected
        || (probeAnswer.report && probeAnswer.report->startedAt && key.startedAt
            && probeAnswer.report->startedAt != key.startedAt);
    probeAnswer.alive = response.status != 0 && !probeAnswer.replaced;
    probeAnswer.failure = response.failure;
    probeAnswer.problem = probeAnswer.replaced ? "replaced" : response.problem;
    probeAnswer.sentAt = session.sentAt;
    probeAnswer.due = session.due;
    if (!probeAnswer.isSilent() && !probeAnswer.failedHere())
        m_absences.recordResponse(target, session.sentAt);
    callBack(session, probeAnswer);
}

void target_prober::finishUnprobed(const session_key& key)
{
    callBack(m_sessions.extract(key).mapped(), { true, false, std::nullopt, response_failure::None, {}, {}, {} });
}

void target_prober::callBack(const session& session, const answer& answer)
{
    for (const auto& done : session.callbacks)
        done(answer);
}

} // namespace oriolepick
