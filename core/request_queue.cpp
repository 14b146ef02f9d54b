#include "core/request_queue.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr double DispatchIntervalWeight
        = 0.1; ///< Of the newest interval in the mean: follows a zone loss in ~20 dispatches.

} // namespace

request_queue::request_queue(request_queue_settings settings, seeded_random random)
    : m_settings(settings)
    , m_random(random)
{
}

offer_result request_queue::offer(queued_request request, instant now)
{
    offer_result outcome;
    request.deadline = std::min(request.deadline, now + m_settings.maxWait);
    if (hasStandingQueue(request.priority, now))
        request.deadline = std::min(request.deadline,
            now + m_settings.standingQueueMaxWait[indexOf(request.priority)] * m_settings.standingQueueDeadlineFactor);
    const auto wait = expectedWait(request.key.team, request.priority, now);
    const bool cannotMeetDeadline = request.deadline <= now || now + wait > request.deadline;
    const bool full = m_requests.size() >= m_settings.capacity;
    if (cannotMeetDeadline
        || ((full || standingQueueTooLong(request.priority, now)) && !displace(request, full, outcome.refused, now))) {
        outcome.refused.push_back(makeRefusal(0, request, error_kind::Overloaded, now));
        return outcome;
    }
    if (m_requests.empty())
        m_intervalStart = now;
    outcome.number = ++m_lastNumber;
    enqueue(outcome.number, std::move(request), now, false);
    return outcome;
}

bool request_queue::cancel(queue_number number)
{
    if (!m_requests.count(number))
        return false;
    remove(number);
    return true;
}

take_result request_queue::take(instant now, request_priority lowestPriority)
{
    take_result outcome;
    outcome.refused = expire(now);
    if (m_requests.empty())
        return outcome;
    const bool oldest = (m_dispatches + 1) % m_settings.oldestFirstInterval == 0;
    outcome.number = oldest ? m_requests.begin()->first : nextFairRequest(lowestPriority);
    if (!outcome.number)
        return outcome;
    ++m_dispatches;
    entry removed = remove(outcome.number);
    recordWait(removed, now);
    outcome.arrived = removed.arrived;
    outcome.request = std::move(removed.request);
    outcome.meanDispatchInterval = m_meanDispatchInterval;
    outcome.intervalStart = m_intervalStart;
    if (m_intervalStart) {
        const std::chrono::duration<double> interval = now - *m_intervalStart;
        m_meanDispatchInterval += DispatchIntervalWeight * (interval - m_meanDispatchInterval);
    }
    m_intervalStart = m_requests.empty() ? std::nullopt : std::optional(now);
    return outcome;
}

void request_queue::requeue(const take_result& outcome)
{
    --m_dispatches;
    m_meanDispatchInterval = outcome.meanDispatchInterval;
    m_intervalStart = outcome.intervalStart;
    enqueue(outcome.number, *outcome.request, outcome.arrived, true);
}

std::vector<queue_refusal> request_queue::expire(instant now)
{
    std::vector<queue_refusal> refused;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto number = m_deadlines.begin()->second;
        const auto removed = remove(number);
        recordWait(removed, now);
        refused.push_back(makeRefusal(number, removed.request, error_kind::QueueTimeout, now));
    }
    return refused;
}

std::optional<instant> request_queue::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

std::chrono::milliseconds request_queue::expectedWait(const team_id& team, request_priority priority, instant now) const
{
    std::size_t ahead = 0;
    for (auto index = indexOf(priority) + 1; index < PriorityCount; ++index)
        ahead += m_classes[index].count;
    const auto& own = m_classes[indexOf(priority)];
    const auto teamQueue = own.teams.find(team);
    const std::size_t ownCount = teamQueue == own.teams.end() ? 0 : teamQueue->second.count;
    // Fair queueing: one request of each other team is served per request of this one. The whole class would
    // overstate the wait of a small team behind a large one.
    ahead += std::min(own.count, (ownCount + 1) * own.teams.size());
    return estimateWait(ahead, now);
}

void request_queue::enqueue(queue_number number, queued_request request, instant arrived, bool first)
{
    auto& priorityClass = classOf(request.priority);
    auto& teamQueue = priorityClass.teams[request.key.team];
    double start = priorityClass.virtualTime;
    if (first) {
        // Its cost is in the finish tag already.
        teamQueue.finishTag = std::max(start, teamQueue.finishTag);
        teamQueue.numbers.push_front(number);
    } else {
        start = std::max(start, teamQueue.finishTag);
        teamQueue.finishTag = start + std::max<std::uint32_t>(request.cost, 1);
        teamQueue.numbers.push_back(number);
    }
    ++teamQueue.count;
    ++priorityClass.count;
    m_deadlines.emplace(request.deadline, number);
    m_requests.emplace(number, entry { std::move(request), start, arrived });
}

request_queue::entry request_queue::remove(queue_number number)
{
    const auto position = m_requests.find(number);
    entry removed = std::move(position->second);
    m_requests.erase(position);
    m_deadlines.erase({ removed.request.deadline, number });
    auto& priorityClass = classOf(removed.request.priority);
    --priorityClass.count;
    const auto team = priorityClass.teams.find(removed.request.key.team);
    auto& teamQueue = team->second;
    --teamQueue.count;
    while (!teamQueue.numbers.empty() && !m_requests.count(teamQueue.numbers.front()))
        teamQueue.numbers.pop_front();
    // A team whose tag is ahead of the virtual time is kept, or it could restart its share by going idle; teams that
    // were caught up are dropped, so that the map holds active teams only.
    if (!teamQueue.count && teamQueue.finishTag <= priorityClass.virtualTime)
        priorityClass.teams.erase(team);
    return removed;
}

void request_queue::recordWait(const entry& removed, instant now)
{
    auto& priorityClass = classOf(removed.request.priority);
    if (now - removed.arrived > m_settings.standingQueueMaxWait[indexOf(removed.request.priority)] / 4) {
        if (!priorityClass.longWaitSince)
            priorityClass.longWaitSince = now;
    } else if (!priorityClass.count) {
        // A quick dispatch alone proves little: fair queueing serves a small team at once under any overload.
        priorityClass.longWaitSince.reset();
    }
}

bool request_queue::hasStandingQueue(request_priority priority, instant now) const
{
    const auto& longWaitSince = m_classes[indexOf(priority)].longWaitSince;
    return longWaitSince && now - *longWaitSince >= m_settings.standingQueueInterval;
}

bool request_queue::standingQueueTooLong(request_priority priority, instant now) const
{
    constexpr std::size_t MinimumBacklog = 2; // keeps the targets busy when dispatches are rare
    const auto& priorityClass = m_classes[indexOf(priority)];
    if (!hasStandingQueue(priority, now) || priorityClass.count < MinimumBacklog)
        return false;
    std::size_t ahead = 0;
    for (auto index = indexOf(priority); index < PriorityCount; ++index)
        ahead += m_classes[index].count;
    return estimateWait(ahead + 1, now) > m_settings.standingQueueMaxWait[indexOf(priority)];
}

std::chrono::milliseconds request_queue::estimateWait(std::size_t ahead, instant now) const
{
    const double every = m_settings.oldestFirstInterval;
    const double dispatches = static_cast<double>(ahead) * every / std::max(1.0, every - 1);
    return std::chrono::duration_cast<std::chrono::milliseconds>(dispatchInterval(now) * dispatches);
}

double request_queue::nextStartTag(const queued_request& request) const
{
    const auto& priorityClass = m_classes[indexOf(request.priority)];
    const auto teamQueue = priorityClass.teams.find(request.key.team);
    return teamQueue == priorityClass.teams.end() ? priorityClass.virtualTime
                                                  : std::max(priorityClass.virtualTime, teamQueue->second.finishTag);
}

queue_number request_queue::nextFairRequest(request_priority lowestPriority)
{
    for (auto index = PriorityCount; index-- > indexOf(lowestPriority);) {
        auto& priorityClass = m_classes[index];
        if (!priorityClass.count)
            continue;
        queue_number best = 0;
        double bestTag = 0;
        for (auto position = priorityClass.teams.begin(); position != priorityClass.teams.end();) {
            const auto& teamQueue = position->second;
            if (!teamQueue.count) {
                position = teamQueue.finishTag <= priorityClass.virtualTime ? priorityClass.teams.erase(position)
                                                                            : std::next(position);
                continue;
            }
            const auto number = teamQueue.numbers.front();
            const double tag = m_requests.at(number).startTag;
            if (!best || tag < bestTag || (tag == bestTag && number < best)) {
                best = number;
                bestTag = tag;
            }
            ++position;
        }
        priorityClass.virtualTime = std::max(priorityClass.virtualTime, bestTag);
        return best;
    }
    return 0;
}

bool request_queue::displace(
    const queued_request& incoming, bool includeLowerPriorities, std::vector<queue_refusal>& refused, instant now)
{
    const auto own = indexOf(incoming.priority);
    for (std::size_t index = includeLowerPriorities ? 0 : own; index <= own; ++index) {
        auto& priorityClass = m_classes[index];
        if (!priorityClass.count)
            continue;
        queue_number last = 0;
        double lastTag = 0;
        for (auto& [team, teamQueue] : priorityClass.teams) {
            while (!teamQueue.numbers.empty() && !m_requests.count(teamQueue.numbers.back()))
                teamQueue.numbers.pop_back();
            if (!teamQueue.count)
                continue;
            const double tag = m_requests.at(teamQueue.numbers.back()).startTag;
            if (!last || tag > lastTag) {
                last = teamQueue.numbers.back();
                lastTag = tag;
            }
        }
        // Equal priority: a team that has had more than its share has later tags, so that it cannot displace others.
        if (index == own && lastTag <= nextStartTag(incoming))
            return false;
        const auto removed = remove(last);
        // The displaced request costs its team nothing.
        const auto team = priorityClass.teams.find(removed.request.key.team);
        if (team != priorityClass.teams.end())
            team->second.finishTag = removed.startTag;
        refused.push_back(makeRefusal(last, removed.request, error_kind::Overloaded, now));
        return true;
    }
    return false;
}

queue_refusal request_queue::makeRefusal(
    queue_number number, const queued_request& request, error_kind kind, instant now)
{
    const auto wait = expectedWait(request.key.team, request.priority, now);
    const auto base = std::clamp(wait, m_settings.minRetryAfter, m_settings.maxRetryAfter / 2);
    const auto jitter = m_random.below(static_cast<std::uint64_t>(base.count()) + 1);
    return { number, request.key, kind, base + std::chrono::milliseconds(jitter) };
}

std::chrono::duration<double> request_queue::dispatchInterval(instant now) const
{
    // When dispatches have stopped the mean says nothing yet; the time since the last one does.
    if (!m_intervalStart || m_requests.empty())
        return m_meanDispatchInterval;
    return std::max<std::chrono::duration<double>>(m_meanDispatchInterval, now - *m_intervalStart);
}

} // namespace oriolepick
