/// \file
/// Permits and statements of target_limiter. Ownership of limits is in target_limiter_ownership.cpp.
#include "core/target_limiter.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Ages of statements include the time of their messages. Statements that are closer than this count as concurrent,
    /// and the known one is kept.
    constexpr std::chrono::milliseconds AgeTolerance { 50 };
    /// Delay until a permit is requested again after neither owner nor deputy answered.
    constexpr std::chrono::milliseconds NoOwnerRetryDelay { 100 };
    /// Shortest time for which a denial holds, so that a request does not try the same target in a loop.
    constexpr std::chrono::milliseconds MinDenial { 1 };
    constexpr std::chrono::milliseconds EndedRetention { 60'000 }; ///< after the end of a limit
    constexpr std::chrono::milliseconds UnusedRetention { 600'000 }; ///< without requests and statements
    constexpr std::chrono::milliseconds RemovePeriod { 10'000 };
    constexpr std::size_t MaxTargets = 16'384; ///< more than the largest fleet has

} // namespace

target_limiter::target_limiter(const limit_node& self, const target_limiter_settings& settings, instant startedAt)
    : m_self(self)
    , m_settings(settings)
    , m_startedAt(startedAt)
    , m_nodes { self }
    , m_removeAt(startedAt + RemovePeriod)
{
}

target_limiter::record_map::iterator target_limiter::recordFor(
    const limited_target& target, const availability_zone& zone, instant now)
{
    const auto found = m_records.find(target);
    if (found != m_records.end() || m_records.size() >= MaxTargets)
        return found;
    auto& record = m_records[target];
    record.zone = zone;
    record.takeoverEnd
        = m_startedAt + m_settings.takeoverTime; // another node may have owned the limit before the start
    record.noticedAt = now - m_settings.noticeInterval;
    updateOwners(target, record, now);
    return m_records.find(target);
}

target_limiter::actions target_limiter::observe(
    const limited_target& target, const availability_zone& zone, const target_limit& limit, instant now)
{
    actions out;
    mergeStatement(out, target, zone, limit, now, false, now);
    return out;
}

// A newer statement about the same or a later incarnation replaces the known one.
void target_limiter::mergeStatement(actions& out, const limited_target& target, const availability_zone& zone,
    const target_limit& limit, instant statedAt, bool fromPeer, instant now)
{
    const bool isKnown = m_records.count(target);
    if (!isKnown && !limit.requestsPerSecond)
        return;
    const auto entry = recordFor(target, zone, now);
    if (entry == m_records.end())
        return;
    auto& record = entry->second;
    updateOwners(target, record, now);
    if (!fromPeer || !isKnown)
        record.usedAt = now;
    if (isKnown && limit.incarnation < record.limit.incarnation) {
        out.push_back(outdated_limit_ignored { target });
        return;
    }
    const bool sameIncarnation = isKnown && limit.incarnation == record.limit.incarnation;
    if (sameIncarnation && fromPeer && statedAt <= record.statedAt + AgeTolerance)
        return;
    const auto previous = std::exchange(record.limit, limit);
    record.statedAt = statedAt;
    if (!sameIncarnation) {
        record.bucket.reset();
        record.deniedUntil = {};
        record.spread = std::chrono::milliseconds(0);
    }
    if (differsNotably(previous, limit))
        out.push_back(target_limit_changed { target, limit, fromPeer });
    if (differsNotably(record.noticed, limit) && (!fromPeer || isOwner(record)))
        notify(out, target, record, now);
}

limit_statement target_limiter::statementOf(const target_record& record, instant now) const
{
    return { record.limit, std::chrono::duration_cast<std::chrono::milliseconds>(now - record.statedAt) };
}

permit_answer target_limiter::issue(target_record& record, instant now)
{
    permit_answer answer;
    answer.known = statementOf(record, now);
    if (!record.limit.requestsPerSecond) {
        answer.granted = true;
        return answer;
    }
    if (isJoining(now)) {
        answer.timeToNext = std::chrono::ceil<std::chrono::milliseconds>(m_startedAt + m_settings.joinTime - now);
        return answer;
    }
    if (!record.bucket)
        record.bucket.emplace(now);
    record.bucket->setRate(*record.limit.requestsPerSecond * share(record, now), now);
    answer.granted = record.bucket->take(now);
    answer.timeToNext = record.bucket->timeToNext(now);
    answer.spread = record.bucket->spread(now);
    return answer;
}

permit_result target_limiter::acquire(const limited_target& target, std::uint64_t incarnation, instant now)
{
    permit_result result;
    const auto entry = m_records.find(target);
    if (entry == m_records.end() || !limitOf(target, incarnation))
        return result;
    auto& record = entry->second;
    updateOwners(target, record, now);
    record.usedAt = now;
    if (isOwner(record))
        m_noticesDue = std::min(m_noticesDue, record.noticedAt + m_settings.claimInterval);
    if (now < record.deniedUntil) {
        result.decision = permit_decision::Denied;
        return result;
    }
    const auto* owner = responsiveOwner(record, now);
    if (!owner) {
        record.deniedUntil = now + NoOwnerRetryDelay;
        result.decision = permit_decision::Denied;
        return result;
    }
    if (*owner == m_self.node) {
        if (record.bucket)
            record.bucket->recordRefused(std::exchange(record.refused, 0), now);
        const bool granted = applyAnswer(record, issue(record, now), now);
        result.decision = granted ? permit_decision::Granted : permit_decision::Denied;
        return result;
    }
    result.decision = permit_decision::Pending;
    result.number = ++m_lastNumber;
    const bool isDeputy = *owner != record.owners.front();
    request(result.actions, result.number, makePending(target, incarnation, *owner, isDeputy, now), record, now);
    return result;
}

target_limiter::pending_permit target_limiter::makePending(
    const limited_target& target, std::uint64_t incarnation, const node_id& owner, bool deputyAsked, instant now) const
{
    return { target, incarnation, owner, deputyAsked, now, response_wait(m_settings.answerTimeout, now) };
}

void target_limiter::request(
    actions& out, std::uint64_t number, const pending_permit& pending, target_record& record, instant now)
{
    const permit_request body { number, statementOf(record, now), std::exchange(record.refused, 0) };
    out.push_back(send_target_limit_message { pending.owner, { pending.target, record.zone, body } });
    m_pending.insert_or_assign(number, pending);
}

bool target_limiter::applyAnswer(target_record& record, const permit_answer& answer, instant now)
{
    record.spread = answer.spread;
    if (!answer.granted)
        record.deniedUntil = std::max(record.deniedUntil, now + std::max(answer.timeToNext, MinDenial));
    return answer.granted;
}

void target_limiter::recordRefused(const std::vector<limited_target>& targets)
{
    for (const auto& target : targets) {
        const auto entry = m_records.find(target);
        if (entry != m_records.end())
            entry->second.refused += 1.0 / static_cast<double>(targets.size());
    }
}

target_limiter::actions target_limiter::receive(const node_id& from, const target_limit_message& message, instant now)
{
    actions out;
    if (const auto* answer = std::get_if<permit_answer>(&message.body)) {
        onAnswer(out, from, message, *answer, now);
        return out;
    }
    const auto* question = std::get_if<permit_request>(&message.body);
    const auto& known = question ? question->known : std::get<limit_notice>(message.body).known;
    mergeStatement(out, message.target, message.zone, known.limit, now - known.age, true, now);
    if (!question) {
        applyClaim(out, from, message, std::get<limit_notice>(message.body), now);
        return out;
    }
    permit_answer answer;
    const auto entry = m_records.find(message.target);
    if (entry == m_records.end()) {
        answer.granted = true; // no limit is known, or there is no memory for another one
        answer.known = known;
    } else {
        auto& record = entry->second;
        record.usedAt = now;
        answer = issue(record, now);
        if (isOwner(record))
            m_noticesDue = std::min(m_noticesDue, record.noticedAt + m_settings.claimInterval);
        else if (record.claim && record.claim->owner == record.owners.front() && record.claim->owner != from)
            // The sender does not know the owner, or got no answer from it.
            out.push_back(send_target_limit_message { from, { message.target, record.zone, noticeOf(record, now) } });
        if (record.bucket)
            record.bucket->recordRefused(question->refused, now);
    }
    answer.number = question->number;
    out.push_back(send_target_limit_message { from, { message.target, message.zone, answer } });
    return out;
}

void target_limiter::onAnswer(
    actions& out, const node_id& from, const target_limit_message& message, const permit_answer& answer, instant now)
{
    const auto found = m_pending.find(answer.number);
    if (found == m_pending.end() || found->second.target != message.target || found->second.owner != from)
        return; // the answer came after the timeout
    const bool expired = now > found->second.askedAt + m_settings.permitValidity; // the process was suspended
    m_pending.erase(found);
    m_unresponsiveUntil.erase(from);
    mergeStatement(out, message.target, message.zone, answer.known.limit, now - answer.known.age, true, now);
    const auto entry = m_records.find(message.target);
    if (entry != m_records.end())
        applyAnswer(entry->second, answer, now);
    out.push_back(permit_decided { answer.number, answer.granted && !expired });
}

target_limiter::actions target_limiter::tick(instant now, bool inputPending)
{
    actions out;
    std::vector<std::uint64_t> expired;
    for (auto& [number, pending] : m_pending) {
        if (pending.wait.isUnresponsive(now, inputPending))
            expired.push_back(number);
    }
    for (const auto number : expired)
        onTimeout(out, number, m_pending.extract(number).mapped(), now);
    if (now >= m_noticesDue)
        sendDueNotices(out, now);
    if (now >= m_removeAt)
        removeUnused(now);
    return out;
}

void target_limiter::onTimeout(actions& out, std::uint64_t number, const pending_permit& pending, instant now)
{
    m_unresponsiveUntil[pending.owner] = now + m_settings.unresponsiveTime;
    out.push_back(limit_owner_unresponsive { pending.target, pending.owner });
    const auto entry = m_records.find(pending.target);
    if (entry == m_records.end() || !limitOf(pending.target, pending.incarnation)) {
        out.push_back(permit_decided { number, true }); // the limit has ended meanwhile
        return;
    }
    auto& record = entry->second;
    updateOwners(pending.target, record, now);
    const auto* deputy = pending.deputyAsked ? nullptr : responsiveOwner(record, now);
    if (!deputy) {
        record.deniedUntil = std::max(record.deniedUntil, now + NoOwnerRetryDelay);
        out.push_back(permit_decided { number, false });
        return;
    }
    if (*deputy == m_self.node) {
        out.push_back(permit_decided { number, applyAnswer(record, issue(record, now), now) });
        return;
    }
    request(out, number, makePending(pending.target, pending.incarnation, *deputy, true, now), record, now);
}

void target_limiter::removeUnused(instant now)
{
    m_removeAt = now + RemovePeriod;
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        const auto current = entry++;
        const auto retention = current->second.limit.requestsPerSecond ? UnusedRetention : EndedRetention;
        if (now >= current->second.usedAt + retention)
            m_records.erase(current);
    }
    for (auto entry = m_unresponsiveUntil.begin(); entry != m_unresponsiveUntil.end();) {
        const auto current = entry++;
        if (now >= current->second)
            m_unresponsiveUntil.erase(current);
    }
}

instant target_limiter::nextDue() const
{
    auto due = std::min(m_removeAt, m_noticesDue);
    for (const auto& [number, pending] : m_pending)
        due = std::min(due, pending.wait.due());
    return due;
}

std::optional<double> target_limiter::limitOf(const limited_target& target, std::uint64_t incarnation) const
{
    const auto entry = m_records.find(target);
    if (entry == m_records.end() || entry->second.limit.incarnation != incarnation)
        return std::nullopt;
    return entry->second.limit.requestsPerSecond;
}

permit_outlook target_limiter::outlook(const limited_target& target) const
{
    const auto entry = m_records.find(target);
    return entry == m_records.end() ? permit_outlook {}
                                    : permit_outlook { entry->second.deniedUntil, entry->second.spread };
}

std::size_t target_limiter::limitedTargets() const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(),
        [](const auto& each) { return each.second.limit.requestsPerSecond.has_value(); }));
}

} // namespace oriolepick
