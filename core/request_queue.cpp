#include "core/request_queue.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Weight of the newest interval in the moving average, which then follows a zone loss within about 20 dispatches.
    constexpr double IntervalWeight = 0.1;

} // namespace

request_queue::request_queue(request_queue_settings settings, seeded_random random)
    : m_settings(settings)
    , m_random(random)
{
}

offer_outcome request_queue::offer(queued_request request, instant now)
{
    offer_outcome outcome;
    request.deadline = std::min(request.deadline, now + m_settings.longestWait);
    if (isStanding(request.priority, now))
        request.deadline = std::min(
            request.deadline, now + m_settings.standingWait[indexOf(request.priority)] * m_settings.standingDeadline);
    const auto wait = expectedWait(request.key.team, request.priority, now);
    const bool hopeless = request.deadline <= now || now + wait > request.deadline;
    const bool full = m_requests.size() >= m_settings.capacity;
    if (hopeless || ((full || lineTooLong(request.priority, now)) && !displace(request, full, outcome.refused, now))) {
        outcome.refused.push_back(refusal(0, request, error_kind::Overloaded, now));
        return outcome;
    }
    if (m_requests.empty())
        m_busySince = now;
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

take_outcome request_queue::take(instant now, request_priority lowest)
{
    take_outcome outcome;
    outcome.refused = expire(now);
    if (m_requests.empty())
        return outcome;
    const bool oldest = (m_dispatches + 1) % m_settings.oldestEvery == 0;
    outcome.number = oldest ? m_requests.begin()->first : nextFair(lowest);
    if (!outcome.number)
        return outcome;
    ++m_dispatches;
    entry removed = remove(outcome.number);
    noteWait(removed, now);
    outcome.arrived = removed.arrived;
    outcome.request = std::move(removed.request);
    outcome.meanInterval = m_interval;
    outcome.busySince = m_busySince;
    if (m_busySince) {
        const std::chrono::duration<double> interval = now - *m_busySince;
        m_interval += IntervalWeight * (interval - m_interval);
    }
    m_busySince = m_requests.empty() ? std::nullopt : std::optional(now);
    return outcome;
}

void request_queue::putBack(const take_outcome& outcome)
{
    --m_dispatches;
    m_interval = outcome.meanInterval;
    m_busySince = outcome.busySince;
    enqueue(outcome.number, *outcome.request, outcome.arrived, true);
}

std::vector<queue_refusal> request_queue::expire(instant now)
{
    std::vector<queue_refusal> refused;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto number = m_deadlines.begin()->second;
        const auto removed = remove(number);
        noteWait(removed, now);
        refused.push_back(refusal(number, removed.request, error_kind::QueueTimeout, now));
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
    const auto line = own.teams.find(team);
    const std::size_t mine = line == own.teams.end() ? 0 : line->second.count;
    // With fair queueing, one request of each other team is served per request of this team. Counting all requests of
    // the priority would overestimate the wait of a small team behind a large team.
    ahead += std::min(own.count, (mine + 1) * own.teams.size());
    return waitFor(ahead, now);
}

void request_queue::enqueue(queue_number number, queued_request request, instant arrived, bool first)
{
    auto& lineClass = classOf(request.priority);
    auto& line = lineClass.teams[request.key.team];
    double start = lineClass.virtualTime;
    if (first) {
        // The finish tag already includes the cost of this request.
        line.finishTag = std::max(start, line.finishTag);
        line.numbers.push_front(number);
    } else {
        start = std::max(start, line.finishTag);
        line.finishTag = start + std::max<std::uint32_t>(request.cost, 1);
        line.numbers.push_back(number);
    }
    ++line.count;
    ++lineClass.count;
    m_deadlines.emplace(request.deadline, number);
    m_requests.emplace(number, entry { std::move(request), start, arrived });
}

request_queue::entry request_queue::remove(queue_number number)
{
    const auto position = m_requests.find(number);
    entry removed = std::move(position->second);
    m_requests.erase(position);
    m_deadlines.erase({ removed.request.deadline, number });
    auto& lineClass = classOf(removed.request.priority);
    --lineClass.count;
    const auto team = lineClass.teams.find(removed.request.key.team);
    auto& line = team->second;
    --line.count;
    while (!line.numbers.empty() && !m_requests.count(line.numbers.front()))
        line.numbers.pop_front();
    // An idle team whose finish tag is ahead of the virtual time is kept: without its tag, a team could use more than
    // its share by going idle briefly. Idle teams that the virtual time has passed are removed, so that the map does
    // not grow with teams that no longer send requests.
    if (!line.count && line.finishTag <= lineClass.virtualTime)
        lineClass.teams.erase(team);
    return removed;
}

void request_queue::noteWait(const entry& removed, instant now)
{
    auto& lineClass = classOf(removed.request.priority);
    if (now - removed.arrived > m_settings.standingWait[indexOf(removed.request.priority)] / 4) {
        if (!lineClass.longSince)
            lineClass.longSince = now;
    } else if (!lineClass.count) {
        // A dispatch after a short wait does not end the overload by itself, because fair queueing serves a small team
        // promptly under any overload. The queue of the priority must be empty too.
        lineClass.longSince.reset();
    }
}

bool request_queue::isStanding(request_priority priority, instant now) const
{
    const auto& longSince = m_classes[indexOf(priority)].longSince;
    return longSince && now - *longSince >= m_settings.standingAfter;
}

bool request_queue::lineTooLong(request_priority priority, instant now) const
{
    constexpr std::size_t ShortestLine = 2; // keeps the targets busy when dispatches are rare
    const auto& lineClass = m_classes[indexOf(priority)];
    if (!isStanding(priority, now) || lineClass.count < ShortestLine)
        return false;
    std::size_t ahead = 0;
    for (auto index = indexOf(priority); index < PriorityCount; ++index)
        ahead += m_classes[index].count;
    return waitFor(ahead + 1, now) > m_settings.standingWait[indexOf(priority)];
}

std::chrono::milliseconds request_queue::waitFor(std::size_t ahead, instant now) const
{
    const double every = m_settings.oldestEvery;
    const double dispatches = static_cast<double>(ahead) * every / std::max(1.0, every - 1);
    return std::chrono::duration_cast<std::chrono::milliseconds>(dispatchInterval(now) * dispatches);
}

double request_queue::nextTag(const queued_request& request) const
{
    const auto& lineClass = m_classes[indexOf(request.priority)];
    const auto line = lineClass.teams.find(request.key.team);
    return line == lineClass.teams.end() ? lineClass.virtualTime
                                         : std::max(lineClass.virtualTime, line->second.finishTag);
}

queue_number request_queue::nextFair(request_priority lowest)
{
    for (auto index = PriorityCount; index-- > indexOf(lowest);) {
        auto& lineClass = m_classes[index];
        if (!lineClass.count)
            continue;
        queue_number best = 0;
        double bestTag = 0;
        for (auto position = lineClass.teams.begin(); position != lineClass.teams.end();) {
            const auto& line = position->second;
            if (!line.count) {
                position
                    = line.finishTag <= lineClass.virtualTime ? lineClass.teams.erase(position) : std::next(position);
                continue;
            }
            const auto number = line.numbers.front();
            const double tag = m_requests.at(number).startTag;
            if (!best || tag < bestTag || (tag == bestTag && number < best)) {
                best = number;
                bestTag = tag;
            }
            ++position;
        }
        lineClass.virtualTime = std::max(lineClass.virtualTime, bestTag);
        return best;
    }
    return 0;
}

bool request_queue::displace(
    const queued_request& incoming, bool lowerToo, std::vector<queue_refusal>& refused, instant now)
{
    const auto own = indexOf(incoming.priority);
    for (std::size_t index = lowerToo ? 0 : own; index <= own; ++index) {
        auto& lineClass = m_classes[index];
        if (!lineClass.count)
            continue;
        queue_number last = 0;
        double lastTag = 0;
        for (auto& [team, line] : lineClass.teams) {
            while (!line.numbers.empty() && !m_requests.count(line.numbers.back()))
                line.numbers.pop_back();
            if (!line.count)
                continue;
            const double tag = m_requests.at(line.numbers.back()).startTag;
            if (!last || tag > lastTag) {
                last = line.numbers.back();
                lastTag = tag;
            }
        }
        // At equal priority, a team that has used more than its share has later tags and cannot displace other teams.
        if (index == own && lastTag <= nextTag(incoming))
            return false;
        const auto removed = remove(last);
        // The team is not charged for the displaced request.
        const auto team = lineClass.teams.find(removed.request.key.team);
        if (team != lineClass.teams.end())
            team->second.finishTag = removed.startTag;
        refused.push_back(refusal(last, removed.request, error_kind::Overloaded, now));
        return true;
    }
    return false;
}

queue_refusal request_queue::refusal(queue_number number, const queued_request& request, error_kind kind, instant now)
{
    const auto wait = expectedWait(request.key.team, request.priority, now);
    const auto base = std::clamp(wait, m_settings.shortestRetry, m_settings.longestRetry / 2);
    const auto jitter = m_random.below(static_cast<std::uint64_t>(base.count()) + 1);
    return { number, request.key, kind, base + std::chrono::milliseconds(jitter) };
}

std::chrono::duration<double> request_queue::dispatchInterval(instant now) const
{
    // When dispatches stop, the moving average does not change; the time since the last dispatch shows the stop.
    if (!m_busySince || m_requests.empty())
        return m_interval;
    return std::max<std::chrono::duration<double>>(m_interval, now - *m_busySince);
}

} // namespace oriolepick
