#include "gateway/place_line.h"

#include "core/seeded_random.h"

#include <utility>

namespace oriolepick {

namespace {

    /// Between two looks for a place when there was none. Engines report some hundred milliseconds late, so looking
    /// more often finds nothing new.
    constexpr std::chrono::milliseconds LookPause { 100 };

} // namespace

place_line::place_line(request_queue_settings settings, timer_queue& timers, seeded_random& random)
    : m_settings(settings)
    , m_timers(timers)
    , m_random(random)
{
}

place_line::~place_line()
{
    for (auto& [service, line] : m_lines)
        m_timers.cancel(line.timer);
}

place_line::line& place_line::lineOf(const service_name& service)
{
    return m_lines.try_emplace(service, line { request_queue(m_settings, seeded_random(m_random.next())), {}, {}, 0 })
        .first->second;
}

bool place_line::hasWaiting(const service_name& service) const
{
    const auto found = m_lines.find(service);
    return found != m_lines.end() && !found->second.waiters.empty();
}

queue_number place_line::join(const service_name& service, queued_request request, place_waiter waiter)
{
    auto& line = lineOf(service);
    const auto outcome = line.queue.offer(std::move(request), m_timers.now());
    if (outcome.number)
        line.waiters.emplace(outcome.number, std::move(waiter));
    else
        waiter.onRefused(outcome.refused.back());
    refuse(line, outcome.refused);
    if (!line.turn && !line.timer && outcome.number)
        nextAfter(service, LookPause); // it has just looked
    return outcome.number;
}

void place_line::leave(const service_name& service, queue_number number)
{
    const auto found = m_lines.find(service);
    if (found == m_lines.end() || !found->second.waiters.erase(number))
        return;
    auto& line = found->second;
    if (line.turn && line.turn->number == number) {
        line.turn.reset();
        nextAfter(service, std::chrono::milliseconds(0));
        return;
    }
    line.queue.cancel(number);
}

void place_line::placed(const service_name& service)
{
    auto& line = lineOf(service);
    if (!line.turn)
        return;
    line.waiters.erase(line.turn->number);
    line.turn.reset();
    nextAfter(service, std::chrono::milliseconds(0));
}

void place_line::foundNone(const service_name& service)
{
    auto& line = lineOf(service);
    if (!line.turn)
        return;
    line.queue.requeue(*line.turn);
    line.turn.reset();
    nextAfter(service, LookPause);
}

void place_line::nextAfter(const service_name& service, std::chrono::milliseconds pause)
{
    auto& line = lineOf(service);
    m_timers.cancel(line.timer);
    line.timer = m_timers.at(m_timers.now() + pause, [this, service] {
        lineOf(service).timer = 0;
        next(service);
    });
}

void place_line::next(const service_name& service)
{
    auto& line = lineOf(service);
    if (line.turn)
        return;
    auto taken = line.queue.take(m_timers.now());
    refuse(line, taken.refused);
    if (!taken.request)
        return;
    const auto waiter = line.waiters.find(taken.number);
    line.turn = std::move(taken);
    const auto onTurn = waiter->second.onTurn; // the call may remove the waiter
    onTurn();
}

void place_line::refuse(line& line, const std::vector<queue_refusal>& refused)
{
    for (const auto& refusal : refused) {
        const auto waiter = line.waiters.extract(refusal.number);
        if (waiter)
            waiter.mapped().onRefused(refusal);
    }
}

} // namespace oriolepick
