#include "routing/service_rollout.h"

#include "core/rendezvous.h"
#include "core/stable_hash.h"
#include "routing/canary_selection.h"

#include <algorithm>

namespace oriolepick {

namespace {

    using ms = std::chrono::milliseconds;

    /// Part of the rollback bound for which a state is valid. Together with that of the decider's authority it bounds
    /// how long after a rollback a node that is cut off still sends requests to the new version.
    constexpr double StatePart = 0.4;
    /// Reports without an answer for this time go to the next candidate: the decider may be dead, frozen or without
    /// the store.
    constexpr ms CandidateTimeout { 1'000 };
    constexpr std::size_t Candidates = 3; ///< two may be lost at once
    constexpr std::uint32_t Announcements = 5; ///< of a result; at a loss of 20% one in 3,000 nodes misses all
    constexpr ms AnnouncementInterval { 250 };
    /// Targets that are no canaries are counted by hash, so that a service with thousands of targets has few cells.
    constexpr std::uint64_t TargetGroups = 256;

} // namespace

service_rollout::service_rollout(const rollout_order& order, const node_id& self, std::uint64_t nodeStart,
    const rollout_settings& settings, seeded_random random, instant now)
    : m_order(order)
    , m_self(self)
    , m_nodeStart(nodeStart)
    , m_settings(settings)
    , m_random(random)
    , m_decider(order, settings, m_random.next(), now)
    , m_candidateAt(now)
    , m_reportAt(now + ms(m_random.below(static_cast<std::uint64_t>(settings.reportPeriod.count()))))
{
}

void service_rollout::setNodes(const std::vector<node_id>& others, instant now)
{
    const auto previous = m_candidates.empty() ? node_id() : m_candidates[m_candidate];
    m_others = others;
    auto nodes = others;
    nodes.push_back(m_self);
    m_candidates = responsibleNodes(stableHash(m_order.service.value()), nodes, Candidates);
    m_decider.setNodes(std::move(nodes));
    // A candidate that responds is kept: the first one may be without the store.
    const auto kept = std::find(m_candidates.begin(), m_candidates.end(), previous);
    if (kept != m_candidates.end()) {
        m_candidate = static_cast<std::size_t>(kept - m_candidates.begin());
    } else {
        m_candidate = 0;
        m_candidateAt = now;
    }
}

void service_rollout::setTargets(const std::vector<rollout_target>& targets, instant now)
{
    m_canaries = selectCanaries(m_order.revision, m_order.version, targets, m_settings.exposureShare);
    m_newTargets = static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(),
        [this](const rollout_target& target) { return target.version == m_order.version; }));
    m_oldTargets = targets.size() - m_newTargets;
    m_decider.setTargets(m_newTargets, m_oldTargets, now);
}

void service_rollout::withdraw(rollout_actions& out, instant now)
{
    m_withdrawn = true;
    if (!isFollowing())
        return;
    m_decider.withdraw(now);
    setPhase(out, rollout_phase::RolledBack, "order withdrawn");
}

void service_rollout::recordStart(const std::string& version)
{
    if (version != m_order.version || !isFollowing())
        return;
    constexpr cell_key Starts { static_cast<std::uint8_t>(UnspecifiedRoute), 0 };
    ++m_cells[Starts].responses;
    m_changed.insert(Starts);
}

void service_rollout::recordAnswer(
    std::string_view route, const target_name& target, bool isNew, bool failed, std::chrono::milliseconds duration)
{
    if (!isFollowing())
        return;
    cell_key key { static_cast<std::uint8_t>(stableHash(route) % UnspecifiedRoute), 0 };
    if (isNew) {
        const auto canary = m_canaries.find(target);
        key = canary != m_canaries.end()
            ? cell_key { key.first, canary->second }
            : cell_key { static_cast<std::uint8_t>(UnspecifiedRoute), 1 + canaryHash(target) % TargetGroups };
    }
    auto& counts = m_cells[key];
    ++counts.responses;
    if (failed)
        ++counts.failures;
    else
        ++counts.latencies[latencyBucket(duration)];
    m_changed.insert(key);
}

bool service_rollout::isFresh(instant now) const
{
    const auto lifetime = static_cast<ms::rep>(static_cast<double>(m_settings.rollbackBound.count()) * StatePart);
    return m_phase && now < m_stateAt + ms(lifetime);
}

bool service_rollout::mayExpose(instant now) const
{
    return m_phase == rollout_phase::Observing && isFresh(now) && m_share > 0 && !m_canaries.empty()
        && m_oldTargets > 0;
}

version_choice service_rollout::choice(instant now) const
{
    using kind = version_choice::kind;
    const bool shifted = m_phase == rollout_phase::Shifting && isFresh(now) && m_share > 0;
    if (shifted || m_phase == rollout_phase::Done)
        return m_newTargets > 0 ? version_choice { kind::NewOnly, m_order.version } : version_choice {};
    if (m_newTargets > 0 && m_oldTargets == 0)
        return {};
    return { kind::OldOnly, m_order.version };
}

exposure_decision service_rollout::requestPermit(rollout_actions& out, std::uint64_t number, instant now)
{
    if (!mayExpose(now) || m_random.unit() >= m_share)
        return exposure_decision::Denied;
    if (m_stateFrom == m_self)
        return m_decider.grant(now) ? exposure_decision::Granted : exposure_decision::Denied;
    m_pending[number] = { m_stateFrom, now };
    out.push_back(send_rollout_message { m_stateFrom, exposure_request { m_order.service, m_order.revision, number } });
    return exposure_decision::Pending;
}

void service_rollout::receiveRequest(
    rollout_actions& out, const node_id& from, const exposure_request& request, instant now)
{
    if (request.order == m_order.revision)
        out.push_back(send_rollout_message { from, exposure_answer { request.number, m_decider.grant(now) } });
}

bool service_rollout::receiveAnswer(rollout_actions& out, const exposure_answer& answer, instant now)
{
    const auto pending = m_pending.find(answer.number);
    if (pending == m_pending.end())
        return false;
    const bool inTime = now <= pending->second.askedAt + m_settings.answerTimeout;
    out.push_back(exposure_decided { answer.number, answer.granted && inTime && mayExpose(now) });
    m_pending.erase(pending);
    return true;
}

void service_rollout::denyPending(rollout_actions& out)
{
    for (const auto& [number, pending] : m_pending)
        out.push_back(exposure_decided { number, false });
    m_pending.clear();
}

void service_rollout::setPhase(rollout_actions& out, rollout_phase phase, std::string reason)
{
    if (m_phase == phase)
        return;
    m_phase = phase;
    out.push_back(rollout_changed { m_order.service, m_order.version, phase, std::move(reason) });
    if (phase != rollout_phase::Observing)
        denyPending(out);
    if (isFinal(phase)) {
        m_cells.clear();
        m_changed.clear();
    }
}

void service_rollout::receiveState(rollout_actions& out, const node_id& from, const rollout_state& state, instant now)
{
    if (state.order != m_order.revision || !isFollowing())
        return;
    if (!m_candidates.empty() && from == m_candidates[m_candidate])
        m_candidateAt = now;
    if (isFinal(state.phase)) {
        m_result = state;
        setPhase(out, state.phase, from == m_self ? m_decider.reason() : "");
        return;
    }
    // After a restore of the store the revisions may begin lower: then the old state has expired.
    const bool outdated
        = state.revision < m_stateRevision || (state.revision == m_stateRevision && m_phase && state.phase < *m_phase);
    if (outdated && isFresh(now))
        return;
    m_stateRevision = state.revision;
    m_stateAt = now;
    m_stateFrom = from;
    if (state.phase == rollout_phase::Shifting && state.share <= 0)
        m_suspendedRevision = state.revision;
    m_share = state.phase == rollout_phase::Shifting && state.revision <= m_suspendedRevision ? 0 : state.share;
    setPhase(out, state.phase, "");
}

void service_rollout::receiveReport(
    rollout_actions& out, const node_id& from, const rollout_report& report, instant now)
{
    if (report.order != m_order.revision)
        return;
    if (m_result) {
        out.push_back(send_rollout_message { from, *m_result });
        return;
    }
    if (m_withdrawn)
        return;
    m_decider.receive(from, report, now);
    if (const auto state = m_decider.state(now))
        out.push_back(send_rollout_message { from, *state });
}

// Cells with news first, then the others in turn, since reports may have been lost.
rollout_report service_rollout::makeReport(std::uint64_t oldInFlight)
{
    rollout_report report { m_order.service, m_order.revision, m_nodeStart, ++m_sequence, m_requests, oldInFlight,
        m_phase == rollout_phase::Shifting, {} };
    while (!m_changed.empty() && report.cells.size() < MaxRolloutCells) {
        const auto key = *m_changed.begin();
        m_changed.erase(m_changed.begin());
        report.cells.push_back({ key.first, key.second, m_cells[key] });
    }
    for (auto left = m_cells.size(); left > 0 && report.cells.size() < MaxRolloutCells; --left) {
        auto next = m_cells.lower_bound(m_nextCell);
        if (next == m_cells.end())
            next = m_cells.begin();
        report.cells.push_back({ next->first.first, next->first.second, next->second });
        m_nextCell = { next->first.first, next->first.second + 1 };
    }
    return report;
}

void service_rollout::chooseDecider(instant now)
{
    if (now < m_candidateAt + CandidateTimeout || m_candidates.empty())
        return;
    m_candidate = (m_candidate + 1) % m_candidates.size();
    m_candidateAt = now;
}

void service_rollout::sendReport(rollout_actions& out, std::uint64_t oldInFlight, instant now)
{
    m_reportAt = now + m_settings.reportPeriod;
    chooseDecider(now);
    auto report = makeReport(oldInFlight);
    const auto to = m_candidates.empty() ? m_self : m_candidates[m_candidate];
    if (to == m_self)
        m_decider.receive(m_self, report, now);
    else
        out.push_back(send_rollout_message { to, std::move(report) });
}

void service_rollout::announce(rollout_actions& out, const rollout_state& state) const
{
    for (const auto& node : m_others)
        out.push_back(send_rollout_message { node, state });
}

void service_rollout::followOwnDecider(rollout_actions& out, instant now)
{
    const auto state = m_decider.state(now);
    if (!state)
        return;
    if (m_decider.takeUrgent())
        announce(out, *state);
    if (isFinal(state->phase) && !m_result) {
        m_result = state;
        m_announcements = Announcements;
        m_announceAt = now;
    }
    receiveState(out, m_self, *state, now);
}

void service_rollout::tick(rollout_actions& out, std::uint64_t oldInFlight, instant now)
{
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (now < pending->second.askedAt + m_settings.answerTimeout) {
            ++pending;
            continue;
        }
        out.push_back(exposure_decided { pending->first, false });
        pending = m_pending.erase(pending);
    }
    if (isFollowing() && now >= m_reportAt)
        sendReport(out, oldInFlight, now);
    if (now >= m_decider.nextDue()) {
        m_decider.tick(out, now);
        followOwnDecider(out, now);
    }
    if (m_announcements > 0 && now >= m_announceAt) {
        announce(out, *m_result);
        --m_announcements;
        m_announceAt = now + AnnouncementInterval;
    }
}

instant service_rollout::nextDue() const
{
    auto due = m_decider.nextDue();
    if (isFollowing())
        due = std::min(due, m_reportAt);
    if (m_announcements > 0)
        due = std::min(due, m_announceAt);
    for (const auto& [number, pending] : m_pending)
        due = std::min(due, pending.askedAt + m_settings.answerTimeout);
    return due;
}

} // namespace oriolepick
