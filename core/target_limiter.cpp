#include "core/target_limiter.h"

#include "core/rendezvous.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::size_t OwnerCount = 2; ///< the owner and its deputy
    constexpr double UncertainOwnerShare = 0.5; ///< of the limit, at a node that may not be the only owner
    /// Share of the known nodes below which unreachable nodes are taken for a partition instead of failed nodes.
    constexpr double PartitionThreshold = 2.0 / 3;
    /// Ages of statements include the time of their messages. Statements that are closer than this count as concurrent,
    /// and the known one is kept.
    constexpr std::chrono::milliseconds AgeTolerance { 50 };
    /// Delay until a permit is requested again after neither owner nor deputy answered.
    constexpr std::chrono::milliseconds NoOwnerRetryDelay { 100 };
    /// Shortest time for which a denial holds, so that a request does not try the same target in a loop.
    constexpr std::chrono::milliseconds MinDenial { 1 };
    constexpr std::chrono::milliseconds InUseTime { 10'000 }; ///< after a request, in which an owner repeats its claim
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

target_limiter::actions target_limiter::setNodes(std::vector<limit_node> others, std::size_t knownNodes, instant now)
{
    const auto before = std::exchange(m_nodes, std::move(others));
    const auto isNew = [&before](const limit_node& node) {
        return std::none_of(
            before.begin(), before.end(), [&node](const limit_node& known) { return known.node == node.node; });
    };
    std::vector<node_id> joined;
    for (const auto& node : m_nodes) {
        if (isNew(node))
            joined.push_back(node.node);
    }
    const double reachable
        = static_cast<double>(m_nodes.size() + 1) / static_cast<double>(std::max(knownNodes, m_nodes.size() + 1));
    m_reachableShare = reachable < PartitionThreshold ? reachable : 1;
    if (!m_leaving || m_nodes.empty())
        m_nodes.push_back(m_self);
    actions out;
    applyView(out, joined, now);
    return out;
}

target_limiter::actions target_limiter::leave(instant now)
{
    m_leaving = true;
    if (m_nodes.size() > 1)
        m_nodes.erase(std::remove_if(m_nodes.begin(), m_nodes.end(),
                          [this](const limit_node& node) { return node.node == m_self.node; }),
            m_nodes.end());
    actions out;
    applyView(out, {}, now);
    return out;
}

// Updates the owners of all limits, and notifies \p joined of the limits that this node owns.
void target_limiter::applyView(actions& out, const std::vector<node_id>& joined, instant now)
{
    ++m_viewNumber;
    for (auto& [target, record] : m_records) {
        const bool wasOwner = isOwner(record);
        updateOwners(target, record, now);
        if (!isOwner(record) || !record.limit.requestsPerSecond)
            continue;
        if (!wasOwner) {
            notify(out, target, record, now); // a node that knows a better owner answers
            continue;
        }
        for (const auto& node : joined)
            out.push_back(send_target_limit_message { node, { target, record.zone, noticeOf(record, now) } });
    }
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

// Determines the owners again if the membership view or the known claim has changed.
void target_limiter::updateOwners(const limited_target& target, target_record& record, instant now) const
{
    if (record.claim && now >= record.claim->validUntil) {
        record.claim.reset();
        record.viewNumber = 0;
    }
    if (record.viewNumber == m_viewNumber)
        return;
    const bool wasOwner = record.owners.empty() || isOwner(record);
    record.viewNumber = m_viewNumber;
    std::vector<node_id> local;
    std::vector<node_id> remote;
    for (const auto& each : m_nodes)
        (each.zone == record.zone ? local : remote).push_back(each.node);
    if (record.claim) {
        auto& group = record.claim->isLocal ? local : remote;
        if (std::find(group.begin(), group.end(), record.claim->owner) == group.end())
            group.push_back(record.claim->owner);
    }
    const auto key = stableHash(target.value());
    record.owners = responsibleNodes(key, local, OwnerCount);
    const auto deputies = responsibleNodes(key, remote, OwnerCount - record.owners.size());
    record.owners.insert(record.owners.end(), deputies.begin(), deputies.end());
    if (!wasOwner && isOwner(record))
        record.takeoverEnd = now + m_settings.takeoverTime;
}

// A better claim than the known one replaces it. A node with a worse claim learns of the better owner.
void target_limiter::applyClaim(
    actions& out, const node_id& from, const target_limit_message& message, const limit_notice& notice, instant now)
{
    const auto entry = m_records.find(message.target);
    if (entry == m_records.end() || notice.owner.empty() || notice.owner == m_self.node)
        return;
    auto& record = entry->second;
    updateOwners(message.target, record, now);
    const owner_claim claim { notice.owner, notice.ownerIsLocal, now + m_settings.claimValidity };
    const auto previous = record.claim;
    if (previous && previous->owner != claim.owner && !isResponsive(previous->owner, now))
        record.claim.reset();
    if (record.claim && record.claim->owner != claim.owner) {
        const auto key = stableHash(message.target.value());
        const bool isBetter = claim.isLocal != record.claim->isLocal
            ? claim.isLocal
            : responsibleNodes(key, { claim.owner, record.claim->owner }, 1).front() == claim.owner;
        if (isBetter)
            record.claim = claim;
    } else {
        record.claim = claim;
    }
    if (!previous || previous->owner != record.claim->owner)
        record.viewNumber = 0;
    updateOwners(message.target, record, now);
    const auto& best = record.owners.front();
    const bool knowsBetter = best != from && (best == m_self.node || best == record.claim->owner);
    if (from == notice.owner && knowsBetter && isResponsive(best, now))
        out.push_back(send_target_limit_message { from, { message.target, record.zone, noticeOf(record, now) } });
}

bool target_limiter::isOwner(const target_record& record) const
{
    return record.owners.front() == m_self.node;
}

bool target_limiter::isResponsive(const node_id& node, instant now) const
{
    const auto unresponsive = m_unresponsiveUntil.find(node);
    return unresponsive == m_unresponsiveUntil.end() || now >= unresponsive->second;
}

const node_id* target_limiter::responsiveOwner(const target_record& record, instant now) const
{
    const auto found = std::find_if(
        record.owners.begin(), record.owners.end(), [&](const node_id& owner) { return isResponsive(owner, now); });
    return found == record.owners.end() ? nullptr : &*found;
}

bool target_limiter::isJoining(instant now) const
{
    return m_nodes.size() == 1 && now < m_startedAt + m_settings.joinTime;
}

target_limiter::actions target_limiter::observe(
    const limited_target& target, const availability_zone& zone, const target_limit& limit, instant now)
{
    actions out;
    mergeStatement(out, target, zone, limit, now, false, now);
    return out;
}

// Returns whether the statement is in force now.
bool target_limiter::mergeStatement(actions& out, const limited_target& target, const availability_zone& zone,
    const target_limit& limit, instant statedAt, bool fromPeer, instant now)
{
    const bool isKnown = m_records.count(target);
    if (!isKnown && !limit.requestsPerSecond)
        return false;
    const auto entry = recordFor(target, zone, now);
    if (entry == m_records.end())
        return false;
    auto& record = entry->second;
    updateOwners(target, record, now);
    if (!fromPeer || !isKnown)
        record.usedAt = now;
    if (isKnown && limit.incarnation < record.limit.incarnation) {
        out.push_back(outdated_limit_ignored { target });
        return false;
    }
    const bool sameIncarnation = isKnown && limit.incarnation == record.limit.incarnation;
    if (sameIncarnation && fromPeer && statedAt <= record.statedAt + AgeTolerance)
        return false;
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
    return true;
}

// Nodes notify the owner, and the owner notifies all nodes.
void target_limiter::notify(actions& out, const limited_target& target, target_record& record, instant now)
{
    if (now < record.noticedAt + m_settings.noticeInterval) {
        record.noticeDue = true;
        m_noticesDue = std::min(m_noticesDue, record.noticedAt + m_settings.noticeInterval);
        return;
    }
    record.noticeDue = false;
    record.noticedAt = now;
    record.noticed = record.limit;
    const target_limit_message message { target, record.zone, noticeOf(record, now) };
    if (!isOwner(record)) {
        out.push_back(send_target_limit_message { record.owners.front(), message });
        return;
    }
    m_noticesDue = std::min(m_noticesDue, now + m_settings.claimInterval);
    for (const auto& each : m_nodes) {
        if (each.node != m_self.node)
            out.push_back(send_target_limit_message { each.node, message });
    }
}

// Names the owner unless the notice goes to the owner itself.
limit_notice target_limiter::noticeOf(const target_record& record, instant now) const
{
    limit_notice notice { statementOf(record, now), {}, false };
    const auto& owner = record.owners.front();
    const bool isClaimed = record.claim && record.claim->owner == owner;
    if (owner != m_self.node && !isClaimed)
        return notice;
    notice.owner = owner;
    notice.ownerIsLocal = isClaimed ? record.claim->isLocal : m_self.zone == record.zone;
    return notice;
}

bool target_limiter::isInUse(const target_record& record, instant now) const
{
    return record.limit.requestsPerSecond && now < record.usedAt + InUseTime;
}

limit_statement target_limiter::statementOf(const target_record& record, instant now) const
{
    return { record.limit, std::chrono::duration_cast<std::chrono::milliseconds>(now - record.statedAt) };
}

// Share of the limit that this node may issue.
double target_limiter::share(const target_record& record, instant now) const
{
    const bool searching = m_nodes.size() == 1 && now < m_startedAt + m_settings.searchTime;
    const bool certain = isOwner(record) && now >= record.takeoverEnd && !searching;
    return (certain ? 1 : UncertainOwnerShare) * m_reachableShare;
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
    request(result.actions, result.number, { target, incarnation, *owner, {}, isDeputy }, record, now);
    return result;
}

void target_limiter::request(
    actions& out, std::uint64_t number, pending_permit pending, target_record& record, instant now)
{
    const permit_request body { number, statementOf(record, now), std::exchange(record.refused, 0) };
    out.push_back(send_target_limit_message { pending.owner, { pending.target, record.zone, body } });
    pending.due = now + m_settings.answerTimeout;
    m_pending[number] = std::move(pending);
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
    const bool expired = now > found->second.due; // the process was suspended
    m_pending.erase(found);
    m_unresponsiveUntil.erase(from);
    mergeStatement(out, message.target, message.zone, answer.known.limit, now - answer.known.age, true, now);
    const auto entry = m_records.find(message.target);
    if (entry != m_records.end())
        applyAnswer(entry->second, answer, now);
    out.push_back(permit_decided { answer.number, answer.granted && !expired });
}

target_limiter::actions target_limiter::tick(instant now)
{
    actions out;
    std::vector<std::uint64_t> expired;
    for (const auto& [number, pending] : m_pending) {
        if (pending.due <= now)
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

void target_limiter::sendDueNotices(actions& out, instant now)
{
    m_noticesDue = instant::max();
    for (auto& [target, record] : m_records) {
        updateOwners(target, record, now);
        const bool mustClaim = isOwner(record) && isInUse(record, now);
        if (record.noticeDue || (mustClaim && now >= record.noticedAt + m_settings.claimInterval))
            notify(out, target, record, now);
        else if (mustClaim)
            m_noticesDue = std::min(m_noticesDue, record.noticedAt + m_settings.claimInterval);
    }
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
    request(out, number, { pending.target, pending.incarnation, *deputy, {}, true }, record, now);
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
}

instant target_limiter::nextDue() const
{
    auto due = std::min(m_removeAt, m_noticesDue);
    for (const auto& [number, pending] : m_pending)
        due = std::min(due, pending.due);
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
