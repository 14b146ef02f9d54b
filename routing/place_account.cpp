#include "routing/place_account.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolepick {

namespace {

    /// Between checks for expired grants and uses; a place that was lost comes back that much later.
    constexpr std::chrono::milliseconds ExpirePeriod { 100 };
    /// Refused callers are promised one of this many grants; newcomers get the others.
    constexpr int ReturnShare = 2;
    constexpr double RetryJitter = 0.2; ///< spreads the returns of callers that were refused at the same moment

    std::chrono::milliseconds ceilMs(instant::duration duration)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, instant::duration::zero()));
    }

} // namespace

place_account::place_account(
    place_shard shard, const place_account_settings& settings, seeded_random random, instant now)
    : m_shard(std::move(shard))
    , m_settings(settings)
    , m_random(random)
    , m_targets(settings.targets)
    , m_line(settings.line)
    , m_newcomerAt(now)
    , m_expireAt(now + ExpirePeriod)
    , m_usedAt(now)
{
}

place_account::actions place_account::setTargets(
    const place_service& service, const std::vector<place_target>& targets, instant now)
{
    actions out;
    m_targets.setTargets(service, targets, now);
    m_hasReleases = true;
    grantWaiting(out, now);
    return out;
}

place_account::actions place_account::removeDeadNodes(const place_directory& directory, instant now)
{
    actions out;
    m_targets.removeDeadNodes(directory);
    m_hasReleases = true;
    grantWaiting(out, now);
    return out;
}

place_account::actions place_account::request(
    const node_id& from, const availability_zone& zone, const place_request& asked, instant now)
{
    actions out;
    m_usedAt = now;
    if (asked.report)
        apply(from, *asked.report, now);
    const auto answered = m_answers.find({ from, asked.number });
    if (answered != m_answers.end()) {
        out.push_back({ from, answered->second.answer });
        return out;
    }
    if (auto* waiting = m_line.find(from, asked.number)) {
        waiting->heardAt = now - m_settings.waitingNoticeDelay;
        waiting->noticed = false; // the sender repeats the request for lack of an answer
        noticeWaiting(out, now);
        return out;
    }
    if (m_targets.isDecided(from, asked.number))
        return out;
    if (!asked.waited.count())
        recordNewcomer(now);
    const auto good = goodStart(asked, now);
    // A new caller that waits in vain keeps time to return, and then comes before others.
    const auto latest = asked.waited.count() ? asked.latestStart : asked.latestStart * 3 / 4;
    waiting_place waiting { from, zone, asked, now, good, std::max(good, now + latest), now };
    waiting.request.report.reset();
    grantWaiting(out, now);
    if (!m_line.size()) {
        if (const auto target = m_targets.choose(waiting.request, zone, m_random, now)) {
            grant(out, waiting, *target, now);
            return out;
        }
    }
    for (const auto& late : m_line.add(std::move(waiting), pace(now), now))
        refuse(out, late, now);
    m_hasReleases = true; // the request may fit where those that wait don't
    grantWaiting(out, now);
    return out;
}

void place_account::apply(const node_id& from, const place_report& report, instant now)
{
    m_hasReleases |= m_targets.apply(from, report, now);
}

void place_account::grantWaiting(actions& out, instant now)
{
    if (!m_hasReleases)
        return;
    m_hasReleases = false;
    std::optional<target_name> target;
    const auto accepts = [&](const waiting_place& waiting) {
        target = m_targets.choose(waiting.request, waiting.zone, m_random, now);
        return target.has_value();
    };
    for (const auto& expired : m_line.expire(now))
        refuse(out, expired, now);
    while (const auto waiting = m_line.take(accepts, now))
        grant(out, *waiting, *target, now);
}

void place_account::grant(actions& out, const waiting_place& waiting, const target_name& target, instant now)
{
    m_targets.recordGrant(waiting.from, waiting.request.number, target, waiting.request.promptTokens, now);
    place_answer answer;
    answer.number = waiting.request.number;
    answer.outcome = place_outcome::Granted;
    answer.target = target;
    sendAnswer(out, waiting.from, std::move(answer), now);
}

void place_account::refuse(actions& out, const waiting_place& waiting, instant now)
{
    place_answer answer;
    answer.number = waiting.request.number;
    answer.outcome = place_outcome::Refused;
    answer.retryAfter = nextRetryAfter(now);
    sendAnswer(out, waiting.from, std::move(answer), now);
}

void place_account::sendAnswer(actions& out, const node_id& to, place_answer answer, instant now)
{
    answer.shard = m_shard;
    answer.room = room(now);
    const request_id id { to, answer.number };
    m_answers.insert_or_assign(id, sent_answer { answer, now });
    m_answerOrder.emplace_back(now, id);
    out.push_back({ to, std::move(answer) });
}

instant place_account::goodStart(const place_request& asked, instant now) const
{
    const auto expected = m_targets.expectedDuration(asked, now);
    const auto good = asked.objective - std::min(asked.objective, expected);
    return now + (asked.objective.count() ? std::min(good, asked.latestStart) : asked.latestStart);
}

void place_account::recordNewcomer(instant now)
{
    const std::chrono::duration<double, std::milli> elapsed = now - m_newcomerAt;
    const std::chrono::duration<double, std::milli> memory = m_settings.rateMemory;
    m_newcomersPerMs = m_newcomersPerMs * std::exp(-elapsed.count() / memory.count()) + 1 / memory.count();
    m_newcomerAt = now;
}

place_pace place_account::pace(instant now) const
{
    const std::chrono::duration<double, std::milli> interval = m_targets.grantInterval(now);
    return { interval, std::max(0.0, 1 - m_newcomersPerMs * interval.count()) };
}

std::chrono::milliseconds place_account::nextRetryAfter(instant now)
{
    const auto first = now + m_settings.minRetryAfter;
    const auto last = now + m_settings.maxRetryAfter;
    m_returnsUntil = std::max(m_returnsUntil, first);
    auto at = m_returnsUntil;
    if (at < last) {
        m_returnsUntil += std::chrono::duration_cast<instant::duration>(m_targets.grantInterval(now) * ReturnShare);
    } else {
        // The room until the latest return is promised already. Spread evenly, the returns share it fairly.
        at = first + std::chrono::duration_cast<instant::duration>((last - first) * m_random.unit());
    }
    const auto jitter = std::chrono::duration_cast<instant::duration>((at - now) * RetryJitter * m_random.unit());
    return std::min(ceilMs(at + jitter - now), m_settings.maxRetryAfter);
}

place_room place_account::room(instant now) const
{
    const auto wait = m_targets.grantInterval(now) * static_cast<double>(m_line.size());
    return { m_line.size() ? 0 : m_targets.freePlaces(now),
        std::chrono::duration_cast<std::chrono::milliseconds>(wait) };
}

place_account::actions place_account::cancel(const node_id& from, std::uint64_t number, instant now)
{
    actions out;
    m_usedAt = now;
    if (!m_line.remove(from, number)) {
        m_targets.removeGrant(from, number);
        m_hasReleases = true;
        grantWaiting(out, now);
    }
    return out;
}

place_account::actions place_account::renew(const node_id& from, const place_renewal& renewal, instant now)
{
    actions out;
    m_usedAt = now;
    place_line_state state { m_shard, {} };
    for (const auto number : renewal.numbers) {
        const auto answered = m_answers.find({ from, number });
        if (auto* waiting = m_line.find(from, number)) {
            waiting->heardAt = now;
            state.waiting.push_back(number);
        } else if (answered != m_answers.end()) {
            out.push_back({ from, answered->second.answer });
        }
    }
    out.push_back({ from, std::move(state) });
    return out;
}

place_account::actions place_account::state(const node_id& from, const place_report& report, instant now)
{
    actions out;
    m_usedAt = now;
    apply(from, report, now);
    grantWaiting(out, now);
    return out;
}

void place_account::noticeWaiting(actions& out, instant now)
{
    for (auto& waiting : m_line.entries()) {
        if (waiting.noticed || now < waiting.heardAt + m_settings.waitingNoticeDelay)
            continue;
        waiting.noticed = true;
        place_answer answer;
        answer.number = waiting.request.number;
        answer.shard = m_shard;
        answer.outcome = place_outcome::Waiting;
        answer.decisionWithin = ceilMs((waiting.isLate ? waiting.latestStart : waiting.goodStart) - now);
        answer.room = room(now);
        out.push_back({ waiting.from, std::move(answer) });
    }
}

place_account::actions place_account::tick(instant now)
{
    actions out;
    while (!m_answerOrder.empty() && now - m_answerOrder.front().first > m_settings.answerRetention) {
        const auto found = m_answers.find(m_answerOrder.front().second);
        if (found != m_answers.end() && found->second.at == m_answerOrder.front().first)
            m_answers.erase(found);
        m_answerOrder.pop_front();
    }
    if (now >= m_expireAt) {
        m_expireAt = now + ExpirePeriod;
        m_targets.expire(now);
        m_line.removeSilent(now - m_settings.renewTimeout);
        m_hasReleases = true; // holds after refusals and faults may have ended
    }
    for (const auto& expired : m_line.expire(now))
        refuse(out, expired, now);
    grantWaiting(out, now);
    noticeWaiting(out, now);
    return out;
}

instant place_account::nextDue() const
{
    auto due = m_line.size() || !m_targets.isIdle() ? m_expireAt : instant::max();
    if (!m_answerOrder.empty())
        due = std::min(due, m_answerOrder.back().first + m_settings.answerRetention + ExpirePeriod);
    for (const auto& waiting : m_line.entries()) {
        due = std::min(due, waiting.latestStart);
        if (!waiting.noticed)
            due = std::min(due, waiting.heardAt + m_settings.waitingNoticeDelay);
    }
    return due;
}

} // namespace oriolepick
