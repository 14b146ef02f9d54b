/// \file
/// Ownership of limits in target_limiter: membership views, claims of other nodes, and notices.
#include "core/rendezvous.h"
#include "core/stable_hash.h"
#include "core/target_limiter.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::size_t OwnerCount = 2; ///< the owner and its deputy
    constexpr double UncertainOwnerShare = 0.5; ///< of the limit, at a node that may not be the only owner
    /// Share of the known nodes below which unreachable nodes are taken for a partition instead of failed nodes.
    constexpr double PartitionThreshold = 2.0 / 3;
    constexpr std::chrono::milliseconds InUseTime { 10'000 }; ///< after a request, in which an owner repeats its claim

    bool contains(const std::vector<limit_node>& nodes, const node_id& node)
    {
        return std::any_of(nodes.begin(), nodes.end(), [&node](const limit_node& each) { return each.node == node; });
    }

} // namespace

target_limiter::actions target_limiter::setNodes(std::vector<limit_node> others, std::size_t knownNodes, instant now)
{
    const auto before = std::exchange(m_nodes, std::move(others));
    std::vector<node_id> joined;
    for (const auto& each : m_nodes) {
        if (!contains(before, each.node))
            joined.push_back(each.node);
    }
    for (auto& [target, record] : m_records) {
        // A claim of a node that was never in the view may be right; a node that has left the view has stopped.
        if (record.claim && contains(before, record.claim->owner) && !contains(m_nodes, record.claim->owner))
            record.claim.reset();
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

// Share of the limit that this node may issue.
double target_limiter::share(const target_record& record, instant now) const
{
    const bool searching = m_nodes.size() == 1 && now < m_startedAt + m_settings.searchTime;
    const bool certain = isOwner(record) && now >= record.takeoverEnd && !searching;
    return (certain ? 1 : UncertainOwnerShare) * m_reachableShare;
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

} // namespace oriolepick
