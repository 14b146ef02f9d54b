// Part of membership: handling of received messages and of statements about nodes.
#include "core/membership.h"

#include <algorithm>

namespace oriolepick {

namespace {

    template <typename Domain>
    void addReachability(std::map<Domain, bool>& domains, const Domain& domain, member_state state)
    {
        // A node that left by plan says nothing about its zone.
        if (state == member_state::Left || domain.empty())
            return;
        auto& reachable = domains.try_emplace(domain, false).first->second;
        reachable = reachable || isReachable(state);
    }

    template <typename Change, typename Domain, typename Actions>
    void reportChanges(std::map<Domain, bool>& known, const std::map<Domain, bool>& domains, Actions& out)
    {
        for (const auto& [domain, reachable] : domains) {
            const auto [position, inserted] = known.try_emplace(domain, true);
            if (position->second != reachable)
                out.push_back(Change { domain, reachable });
            position->second = reachable;
        }
    }

} // namespace

void membership::handle(actions& out, const node_id& from, const ping_message& body, instant)
{
    send(out, from, ack_message { body.sequence, m_self.node });
}

void membership::handle(actions& out, const node_id&, const ack_message& body, instant)
{
    if (m_probe && m_probe->sequence == body.sequence && m_probe->target == body.subject) {
        m_probe.reset();
        return;
    }
    const auto relayed = m_relayed.find(body.sequence);
    if (relayed == m_relayed.end())
        return;
    send(out, relayed->second.origin, ack_message { relayed->second.originSequence, body.subject });
    m_relayed.erase(relayed);
}

void membership::handle(actions& out, const node_id& from, const ping_request_message& body, instant now)
{
    constexpr std::size_t MaxRelayed = 256; // bounds memory against a flood of requests
    if (body.subject == m_self.node) {
        send(out, from, ack_message { body.sequence, m_self.node });
        return;
    }
    if (m_relayed.size() >= MaxRelayed)
        return;
    m_relayed[++m_sequence] = { from, body.sequence, now + 2 * m_settings.probeInterval };
    send(out, body.subject, ping_message { m_sequence });
}

void membership::handle(actions& out, const node_id& from, const sync_request_message& body, instant)
{
    sendPage(out, from, body);
}

void membership::handle(actions& out, const node_id& from, const sync_page_message& body, instant)
{
    m_syncCursor = body.more ? body.last : node_id();
    if (m_joinSource.empty())
        m_joinSource = from;
    if (!m_joining || from != m_joinSource)
        return;
    if (body.more)
        send(out, from, sync_request_message { body.last });
    else
        m_joining = false;
}

void membership::apply(actions& out, const member_update& update, instant now)
{
    if (update.node == m_self.node) {
        refuteIfNeeded(update);
        return;
    }
    const auto known = m_members.find(update.node);
    if (known == m_members.end()) {
        // Unknown and gone: nothing to remember, and it must not come back after it was forgotten.
        if (update.state == member_state::Dead || update.state == member_state::Left)
            return;
        m_members[update.node] = { update, now };
        m_mayHaveSuspects = true;
        m_updates.add(update);
        // Probed within one round like all others, at a random place.
        m_probeOrder.insert(
            m_probeOrder.begin() + static_cast<std::ptrdiff_t>(m_random.below(m_probeOrder.size() + 1)), update.node);
        m_domainsStale = true;
        out.push_back(member_changed { update.node, update.state });
        return;
    }
    if (!overrides(update, known->second.update))
        return;
    const bool changed = known->second.update.state != update.state;
    known->second.update = update;
    m_updates.add(update);
    if (!changed)
        return;
    known->second.changedAt = now;
    m_domainsStale = true;
    m_mayHaveSuspects = true;
    out.push_back(member_changed { update.node, update.state });
}

void membership::refuteIfNeeded(const member_update& update)
{
    const bool same = update.state == m_self.state && update.incarnation == m_self.incarnation;
    if (same || update.incarnation < m_self.incarnation)
        return;
    // At equal incarnation an older state of this node (Alive before Leaving) needs no answer.
    if (update.incarnation == m_self.incarnation && update.state < m_self.state)
        return;
    m_self.incarnation = update.incarnation + 1;
    m_members[m_self.node].update = m_self;
    m_updates.add(m_self);
}

void membership::setState(actions& out, const node_id& node, member_state state, instant now)
{
    auto& member = m_members.at(node);
    member.update.state = state;
    member.changedAt = now;
    m_updates.add(member.update);
    m_domainsStale = true;
    m_mayHaveSuspects = true;
    out.push_back(member_changed { node, state });
}

void membership::reportDomainChanges(actions& out)
{
    if (!m_domainsStale)
        return;
    m_domainsStale = false;
    std::map<availability_zone, bool> zones;
    std::map<region_name, bool> regions;
    for (const auto& [node, member] : m_members) {
        addReachability(zones, member.update.zone, member.update.state);
        addReachability(regions, member.update.region, member.update.state);
    }
    reportChanges<zone_changed>(m_zoneReachable, zones, out);
    reportChanges<region_changed>(m_regionReachable, regions, out);
}

std::uint32_t membership::logMemberCount() const
{
    std::uint32_t bits = 1;
    for (std::size_t count = m_members.size(); count > 2; count = (count + 1) / 2)
        ++bits;
    return bits;
}

std::uint32_t membership::maxSends() const
{
    return m_settings.retransmitFactor * (logMemberCount() + 1);
}

instant::duration membership::suspicionTime() const
{
    return m_settings.probeInterval * std::max(2u, m_settings.suspicionFactor * logMemberCount() / 2);
}

} // namespace oriolepick
