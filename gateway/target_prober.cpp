#include "gateway/target_prober.h"

#include "gateway/http_call.h"
#include "gateway/request_dialect.h"
#include "gateway/target_notices.h"
#include "routing/target_tracker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace oriolepick {

namespace {

    constexpr std::uint64_t MaxAnswerBytes = 32'768; ///< a load report takes about 50 bytes for each running request
    /// Connections are kept to save a handshake for each probe of a burst, but not longer, since targets close idle
    /// connections after a few seconds.
    constexpr std::chrono::seconds IdleTime { 2 };
    constexpr int Success = 200;
    constexpr int Misdirected = 421;

} // namespace

target_prober::target_prober(boost::asio::io_context& loop, timer_queue& timers, const request_dialect& dialect,
    const target_tracker& board, target_notices& notices)
    : m_loop(loop)
    , m_timers(timers)
    , m_dialect(dialect)
    , m_board(board)
    , m_notices(notices)
{
}

void target_prober::ask(const target_entry& target, std::chrono::milliseconds patience, callback done)
{
    if (m_board.isPaused(target.name, m_timers.now())) {
        boost::asio::post(m_loop, [done = std::move(done)] { done({ true, false, std::nullopt }); });
        return;
    }
    auto& line = m_lines[target.name];
    line.address = target.address;
    line.lastUse = m_timers.now();
    line.startedAt = target.startedAt;
    line.waiting.push_back(std::move(done));
    if (line.waiting.size() > 1)
        return;
    if (!line.call)
        line.call = std::make_shared<http_call>(m_loop, m_timers, target.address, MaxAnswerBytes);
    line.call->send(m_dialect.writeProbe(target.name, target.address), patience,
        [this, name = target.name](const call_answer& given) { finish(name, given); });
}

void target_prober::finish(const target_name& target, const call_answer& given)
{
    answer heard;
    if (given.status == Success)
        heard.report = m_dialect.readProbe(given.body);
    auto& line = m_lines[target];
    const auto reply = m_dialect.readReply(given.head);
    if (given.status && given.status != Misdirected)
        m_notices.note(target, line.address, reply);
    heard.replaced = given.status == Misdirected
        || (heard.report && heard.report->startedAt && line.startedAt && heard.report->startedAt != line.startedAt);
    heard.alive = given.status != 0 && !heard.replaced;
    std::vector<callback> waiting;
    waiting.swap(line.waiting);
    for (const auto& done : waiting)
        done(heard);
}

void target_prober::expire(instant now)
{
    for (auto entry = m_lines.begin(); entry != m_lines.end();) {
        const bool idle = entry->second.waiting.empty() && now >= entry->second.lastUse + IdleTime;
        entry = idle ? m_lines.erase(entry) : std::next(entry);
    }
}

} // namespace oriolepick
