#include "gateway/admission_queue.h"

#include "core/seeded_random.h"

#include <utility>

namespace oriolepick {

namespace {

    /// Between two looks for a place when there was none. Engines report some hundred milliseconds late, so looking
    /// more often finds nothing new.
    constexpr std::chrono::milliseconds RetryInterval { 100 };

} // namespace

admission_queue::admission_queue(request_queue_settings settings, timer_queue& timers, seeded_random& random)
    : m_settings(settings)
    , m_timers(timers)
    , m_random(random)
{
}

admission_queue::~admission_queue()
{
    for (auto& [service, queue] : m_queues)
        m_timers.cancel(queue.timer);
}

admission_queue::queue& admission_queue::queueOf(const service_name& service)
{
    return m_queues.try_emplace(service, queue { request_queue(m_settings, seeded_random(m_random.next())), {}, {}, 0 })
        .first->second;
}

bool admission_queue::hasWaiting(const service_name& service) const
{
    const auto found = m_queues.find(service);
    return found != m_queues.end() && !found->second.waiters.empty();
}

queue_number admission_queue::enqueue(const service_name& service, queued_request request, admission_waiter waiter)
{
    auto& queue = queueOf(service);
    const auto outcome = queue.requests.offer(std::move(request), m_timers.now());
    if (outcome.number)
        queue.waiters.emplace(outcome.number, std::move(waiter));
    else
        waiter.onRefused(outcome.refused.back());
    notifyRefused(queue, outcome.refused);
    if (!queue.scheduled && !queue.timer && outcome.number)
        scheduleNextAfter(service, RetryInterval); // it has just looked
    return outcome.number;
}

void admission_queue::remove(const service_name& service, queue_number number)
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end() || !found->second.waiters.erase(number))
        return;
    auto& queue = found->second;
    if (queue.scheduled && queue.scheduled->number == number) {
        queue.scheduled.reset();
        scheduleNextAfter(service, std::chrono::milliseconds(0));
        return;
    }
    queue.requests.cancel(number);
}

void admission_queue::placed(const service_name& service)
{
    auto& queue = queueOf(service);
    if (!queue.scheduled)
        return;
    queue.waiters.erase(queue.scheduled->number);
    queue.scheduled.reset();
    scheduleNextAfter(service, std::chrono::milliseconds(0));
}

void admission_queue::notPlaced(const service_name& service)
{
    auto& queue = queueOf(service);
    if (!queue.scheduled)
        return;
    queue.requests.requeue(*queue.scheduled);
    queue.scheduled.reset();
    scheduleNextAfter(service, RetryInterval);
}

void admission_queue::scheduleNextAfter(const service_name& service, std::chrono::milliseconds pause)
{
    auto& queue = queueOf(service);
    m_timers.cancel(queue.timer);
    queue.timer = m_timers.at(m_timers.now() + pause, [this, service] {
        queueOf(service).timer = 0;
        next(service);
    });
}

void admission_queue::next(const service_name& service)
{
    auto& queue = queueOf(service);
    if (queue.scheduled)
        return;
    auto taken = queue.requests.take(m_timers.now());
    notifyRefused(queue, taken.refused);
    if (!taken.request)
        return;
    const auto waiter = queue.waiters.find(taken.number);
    queue.scheduled = std::move(taken);
    const auto onScheduled = waiter->second.onScheduled; // the call may remove the waiter
    onScheduled();
}

void admission_queue::notifyRefused(queue& queue, const std::vector<queue_refusal>& refused)
{
    for (const auto& refusal : refused) {
        const auto waiter = queue.waiters.extract(refusal.number);
        if (waiter)
            waiter.mapped().onRefused(refusal);
    }
}

} // namespace oriolepick
