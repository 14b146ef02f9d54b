#include "core/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolepick {

membership::membership(member_update self, membership_settings settings, seeded_random random, instant startTime)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(random)
    , m_lastTick(startTime)
{
    const auto spread = [this](std::chrono::milliseconds interval) {
        return std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(interval.count())));
    };
    m_nextProbe = startTime + spread(m_settings.probeInterval);
    m_nextSync = startTime + spread(m_settings.syncInterval);
    m_members[m_self.node] = { m_self, startTime };
    m_updates.add(m_self);
}

std::vector<membership_action> membership::join(const std::vector<node_id>& seeds, instant now)
{
    actions out;
    m_joining = true;
    m_joinSource = {};
    for (const auto& seed : seeds) {
        if (seed == m_self.node)
            continue;
        if (std::find(m_seeds.begin(), m_seeds.end(), seed) == m_seeds.end())
            m_seeds.push_back(seed);
        send(out, seed, sync_request_message {});
    }
    m_nextSync = std::min(m_nextSync, now + m_settings.joinRetryInterval);
    return out;
}

std::vector<membership_action> membership::tick(instant now)
{
    actions out;
    // A gap between ticks means that this process was held up: answers may have arrived that it has not read, so an
    // expired timer is no evidence about another node.
    const auto gap = now - m_lastTick;
    if (gap > m_settings.probeInterval)
        compensatePause(gap);
    else if (gap > MaxTickInterval)
        compensateDelay(gap - MaxTickInterval);
    m_lastTick = now;
    checkProbe(out, now);
    expireSuspicions(out, now);
    if (now >= m_nextProbe) {
        m_nextProbe = std::max(m_nextProbe + m_settings.probeInterval, now);
        startProbe(out, now);
    }
    if (now >= m_nextSync) {
        const bool retryJoin = !m_seeds.empty() && m_members.size() == 1;
        m_nextSync = now + (retryJoin ? m_settings.joinRetryInterval : m_settings.syncInterval);
        runAntiEntropy(out);
        removeExpired(now);
    }
    reportDomainChanges(out);
    return out;
}

std::vector<membership_action> membership::receive(const membership_message& message, instant now)
{
    actions out;
    const auto& from = message.sender.node;
    if (from == m_self.node || from.empty() || message.updates.size() > maxUpdates(message.body))
        return out;
    apply(out, message.sender, now);
    for (const auto& update : message.updates)
        apply(out, update, now);
    std::visit([&](const auto& body) { handle(out, from, body, now); }, message.body);
    reportDomainChanges(out);
    return out;
}

std::vector<membership_action> membership::leave(instant now)
{
    actions out;
    if (m_self.state == member_state::Leaving)
        return out;
    m_self.state = member_state::Leaving;
    m_members[m_self.node] = { m_self, now };
    m_updates.add(m_self);
    // Sent directly to several nodes, because the process may stop before its next probes.
    for (const auto& node : randomNodes(m_settings.indirectProbes, { member_state::Alive }, m_self.node))
        send(out, node, ping_message { ++m_sequence });
    return out;
}

std::vector<node_id> membership::usableNodes() const
{
    std::vector<node_id> nodes;
    for (const auto& [node, member] : m_members) {
        if (member.update.state == member_state::Alive || member.update.state == member_state::Suspect)
            nodes.push_back(node);
    }
    return nodes;
}

std::size_t membership::possiblyActiveNodes() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [](const auto& each) {
        const auto state = each.second.update.state;
        return state != member_state::Left && state != member_state::Leaving;
    }));
}

bool membership::isolated() const
{
    bool others = false;
    for (const auto& [node, member] : m_members) {
        if (node == m_self.node || member.update.state == member_state::Left)
            continue;
        if (isReachable(member.update.state))
            return false;
        others = true;
    }
    return others;
}

std::size_t membership::memoryBytes() const
{
    constexpr std::size_t MapNodeOverhead = 40;
    return (m_members.size() + m_updates.size()) * (sizeof(node_id) + sizeof(member) + MapNodeOverhead)
        + m_probeOrder.capacity() * sizeof(node_id);
}

void membership::send(actions& out, const node_id& to, membership_body body)
{
    membership_message message { m_self, std::move(body), {} };
    // A node that is recorded as suspect or dead must receive that record, or it could not refute it.
    const auto known = m_members.find(to);
    if (known != m_members.end() && !isReachable(known->second.update.state))
        message.updates.push_back(known->second.update);
    auto updates = m_updates.take(MaxUpdatesPerMessage - message.updates.size(), maxSends());
    message.updates.insert(message.updates.end(), updates.begin(), updates.end());
    out.push_back(send_membership_message { to, std::move(message) });
}

void membership::sendPage(actions& out, const node_id& to, const sync_request_message& request)
{
    membership_message message { m_self, sync_page_message {}, {} };
    const auto requester = m_members.find(to);
    if (requester != m_members.end() && !isReachable(requester->second.update.state))
        message.updates.push_back(requester->second.update);
    auto position = m_members.upper_bound(request.after);
    for (; position != m_members.end() && message.updates.size() < m_settings.membersPerPage; ++position)
        message.updates.push_back(position->second.update);
    sync_page_message page;
    page.more = position != m_members.end();
    if (!message.updates.empty())
        page.last = message.updates.back().node;
    message.body = page;
    out.push_back(send_membership_message { to, std::move(message) });
}

void membership::checkProbe(actions& out, instant now)
{
    if (!m_probe)
        return;
    if (!m_probe->indirectSent && now >= m_probe->indirectAt) {
        m_probe->indirectSent = true;
        for (const auto& helper : randomNodes(m_settings.indirectProbes, { member_state::Alive }, m_probe->target))
            send(out, helper, ping_request_message { m_probe->sequence, m_probe->target });
    }
    if (now < m_probe->failAt)
        return;
    const auto target = m_probe->target;
    m_probe.reset();
    const auto known = m_members.find(target);
    if (known == m_members.end())
        return;
    if (known->second.update.state == member_state::Alive) {
        setState(out, target, member_state::Suspect, now);
        // The suspect must receive the suspicion to refute it, so it is sent at once and with the next probe. When
        // messages are lost, gossip alone takes longer than the suspicion time.
        send(out, target, ping_message { ++m_sequence });
        m_probeOrder.push_back(target);
    } else if (known->second.update.state == member_state::Leaving)
        setState(out, target, member_state::Left, now);
}

void membership::startProbe(actions& out, instant now)
{
    const auto target = nextProbeTarget();
    if (!target)
        return;
    m_probe = probe { *target, ++m_sequence, now + m_settings.ackTimeout,
        now + m_settings.probeInterval - std::chrono::milliseconds(1), false };
    send(out, *target, ping_message { m_probe->sequence });
}

// Repairs lost updates by the page of a live node and heals partitions by the ping of a dead node or seed. Sends one
// message of each kind per interval, so that a healed partition causes no message storm.
void membership::runAntiEntropy(actions& out)
{
    for (const auto& node : randomNodes(1, { member_state::Alive, member_state::Leaving }, m_self.node))
        send(out, node, sync_request_message { m_syncCursor });
    if (m_members.size() == 1) {
        for (const auto& seed : m_seeds)
            send(out, seed, sync_request_message {});
    } else if (const auto absent = nextReconnectTarget()) {
        send(out, *absent, ping_message { ++m_sequence });
    }
}

// Returns dead nodes and seeds that are not members. Seeds are included because two groups can be unknown to each
// other, for example when a node joined during a partition and the seeds that it contacted first died. Round-robin
// bounds the time until each node is contacted.
std::optional<node_id> membership::nextReconnectTarget()
{
    const auto isAbsent = [this](const node_id& node) {
        const auto known = m_members.find(node);
        return known == m_members.end() || known->second.update.state == member_state::Dead;
    };
    for (int round = 0; round < 2; ++round) {
        while (!m_reconnectOrder.empty()) {
            const auto node = std::move(m_reconnectOrder.back());
            m_reconnectOrder.pop_back();
            if (isAbsent(node))
                return node;
        }
        std::copy_if(m_seeds.begin(), m_seeds.end(), std::back_inserter(m_reconnectOrder),
            [this](const node_id& seed) { return !m_members.count(seed); });
        for (const auto& [node, member] : m_members) {
            if (member.update.state == member_state::Dead)
                m_reconnectOrder.push_back(node);
        }
        shuffle(m_reconnectOrder);
    }
    return std::nullopt;
}

void membership::shuffle(std::vector<node_id>& nodes)
{
    for (std::size_t index = nodes.size(); index > 1; --index)
        std::swap(nodes[index - 1], nodes[m_random.below(index)]);
}

void membership::expireSuspicions(actions& out, instant now)
{
    if (!m_mayHaveSuspects)
        return;
    m_mayHaveSuspects = false;
    std::vector<node_id> expired;
    for (const auto& [node, member] : m_members) {
        if (member.update.state != member_state::Suspect)
            continue;
        m_mayHaveSuspects = true;
        if (now - member.changedAt >= suspicionTime())
            expired.push_back(node);
    }
    for (const auto& node : expired)
        setState(out, node, member_state::Dead, now);
}

void membership::removeExpired(instant now)
{
    for (auto position = m_members.begin(); position != m_members.end();) {
        const auto state = position->second.update.state;
        const auto age = now - position->second.changedAt;
        const bool forget = (state == member_state::Dead && age > m_settings.deadRetention)
            || (state == member_state::Left && age > m_settings.leftRetention);
        if (forget)
            m_updates.remove(position->first);
        position = forget ? m_members.erase(position) : std::next(position);
    }
    for (auto position = m_relayed.begin(); position != m_relayed.end();)
        position = position->second.expiresAt <= now ? m_relayed.erase(position) : std::next(position);
}

void membership::compensatePause(instant::duration pause)
{
    m_probe.reset();
    postponeSuspicions(pause);
}

void membership::compensateDelay(instant::duration delay)
{
    if (m_probe) {
        m_probe->indirectAt += delay;
        m_probe->failAt += delay;
        m_nextProbe += delay; // replaces the probe
    }
    postponeSuspicions(delay);
}

void membership::postponeSuspicions(instant::duration delay)
{
    if (!m_mayHaveSuspects)
        return;
    for (auto& [node, member] : m_members) {
        if (member.update.state == member_state::Suspect)
            member.changedAt += delay;
    }
}

// Round-robin over a shuffled order bounds the time until a dead node is probed; independent random choices do not.
std::optional<node_id> membership::nextProbeTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const auto node = std::move(m_probeOrder.back());
            m_probeOrder.pop_back();
            const auto known = m_members.find(node);
            if (known != m_members.end() && !isDeadOrLeft(known->second.update.state))
                return node;
        }
        for (const auto& [node, member] : m_members) {
            if (node != m_self.node && !isDeadOrLeft(member.update.state))
                m_probeOrder.push_back(node);
        }
        shuffle(m_probeOrder);
    }
    return std::nullopt;
}

std::vector<node_id> membership::randomNodes(
    std::size_t count, const std::vector<member_state>& states, const node_id& except)
{
    std::vector<node_id> chosen;
    std::uint64_t seen = 0;
    for (const auto& [node, member] : m_members) {
        if (node == m_self.node || node == except
            || std::find(states.begin(), states.end(), member.update.state) == states.end())
            continue;
        ++seen;
        if (chosen.size() < count)
            chosen.push_back(node);
        else if (const auto slot = m_random.below(seen); slot < count)
            chosen[slot] = node;
    }
    return chosen;
}

} // namespace oriolepick
