#include "routing/rollout_decider.h"

#include <algorithm>
#include <cmath>

namespace oriolepick {

namespace {

    using ms = std::chrono::milliseconds;

    constexpr ms TickPeriod { 100 };
    constexpr ms JudgePeriod { 200 };
    /// A node that did not report for this time, four reports, counts as absent.
    constexpr ms ReportLifetime { 1'000 };
    /// Part of the rollback bound for which a confirmation by the store gives authority. A decider that was replaced
    /// stops after it, and its last state expires after another part, see service_rollout.
    constexpr double AuthorityPart = 0.3;
    constexpr double RenewalPart = 0.14; ///< after which the ledger is read again, if nothing is written
    constexpr ms StoreRetryDelay { 250 };
    constexpr ms ReservationInterval { 1'000 }; ///< at most about one commit a second
    /// Enough permits for a verdict on a version that fails almost half of its requests.
    constexpr std::uint64_t FirstBlock = 16;
    constexpr double BlockSeconds = 2; ///< use of permits that one block covers
    /// A new decider takes over at once. One that lost the ledger to another waits, so that two of them do not waste
    /// each other's blocks; the delay doubles up to the longest one.
    constexpr ms MinTakeoverDelay { 2'000 };
    constexpr ms MaxTakeoverDelay { 8'000 };
    constexpr ms RateWindow { 1'000 };
    constexpr ms MinRateWindow { 200 };
    constexpr double ShareHorizon = 0.5; ///< seconds in which the announced share should use what is planned
    constexpr double MaxShare = 0.5; ///< the other half goes to the old version, for the comparison
    constexpr std::uint64_t MinResponses = 16; ///< of the new version, for which the observation is extended
    constexpr double LongestObservingPart = 0.7; ///< of the duration, while there are few responses
    constexpr double LongestSuspicionPart = 0.8; ///< of the duration, while the version may be bad
    /// Time in which the new version is judged under its whole load, even if no run is left at old targets; and part of
    /// the duration, whichever is longer.
    constexpr ms MinShiftTime { 5'000 };
    constexpr double MinShiftPart = 0.25;
    constexpr ms OnlyNewTime { 500 }; ///< for which no other target may be registered before an order counts as done

    double seconds(std::chrono::nanoseconds time)
    {
        return std::chrono::duration<double>(time).count();
    }

    ms scaled(ms time, double factor)
    {
        return ms(static_cast<ms::rep>(static_cast<double>(time.count()) * factor));
    }

} // namespace

rollout_decider::rollout_decider(
    const rollout_order& order, const rollout_settings& settings, std::uint64_t writer, instant seenAt)
    : m_order(order)
    , m_settings(settings)
    , m_writer(writer)
    , m_startedAt(seenAt)
    , m_comparison(settings.comparison)
    , m_due(seenAt)
{
}

void rollout_decider::setNodes(std::vector<node_id> nodes)
{
    m_nodes = std::move(nodes);
}

void rollout_decider::setTargets(std::size_t newTargets, std::size_t oldTargets, instant now)
{
    m_newTargets = newTargets;
    m_oldTargets = oldTargets;
    const bool onlyNew = newTargets > 0 && oldTargets == 0;
    m_onlyNewSince = onlyNew ? std::min(m_onlyNewSince, now) : instant::max();
}

void rollout_decider::receive(const node_id& from, const rollout_report& report, instant now)
{
    m_comparison.merge(from, report);
    auto& status = m_status[from];
    if (std::pair(report.nodeStart, report.sequence) <= std::pair(status.start, status.sequence))
        return;
    status = { report.nodeStart, report.sequence, now, report.oldInFlight, report.shifting };
    m_due = std::min(m_due, now + TickPeriod);
}

bool rollout_decider::isActive(instant now) const
{
    const auto reporting = std::count_if(m_nodes.begin(), m_nodes.end(), [this, now](const node_id& node) {
        const auto status = m_status.find(node);
        return status != m_status.end() && status->second.at + ReportLifetime > now;
    });
    return static_cast<std::size_t>(reporting) * 2 >= std::max<std::size_t>(m_nodes.size(), 1);
}

bool rollout_decider::hasAuthority(instant now) const
{
    return m_ledger && m_current && m_owned && now < m_confirmedAt + scaled(m_settings.rollbackBound, AuthorityPart);
}

std::chrono::milliseconds rollout_decider::elapsed(instant now) const
{
    return std::chrono::duration_cast<ms>(now - m_startedAt);
}

std::chrono::milliseconds rollout_decider::part(double share) const
{
    return scaled(m_order.duration, share);
}

// Whether all nodes know of the shift and no run is left at old targets.
bool rollout_decider::isIdle(instant now) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [this, now](const node_id& node) {
        const auto status = m_status.find(node);
        return status != m_status.end() && status->second.at + ReportLifetime > now && status->second.shifting
            && status->second.oldInFlight == 0;
    });
}

// The exposure that may be reserved in all.
double rollout_decider::budget() const
{
    return m_settings.exposureMargin
        * (m_settings.exposureShare * static_cast<double>(m_comparison.requests())
            + static_cast<double>(m_settings.exposureSlack));
}

// The first block is used at once, so that a bad version is recognized early; the rest of the slack is spread over the
// observation, so that one that becomes bad later is recognized, too.
double rollout_decider::plannedExposure(std::chrono::milliseconds when) const
{
    const auto observing = std::max(part(m_settings.observingPart), ms(1));
    const auto progress = std::min(1.0, static_cast<double>(when.count()) / static_cast<double>(observing.count()));
    const auto slack = m_settings.exposureMargin * static_cast<double>(m_settings.exposureSlack);
    const auto first = std::min(slack, static_cast<double>(FirstBlock));
    return budget() - (slack - first) * (1 - progress);
}

void rollout_decider::updateShare(instant now)
{
    m_requestSamples.emplace_back(now, m_comparison.requests());
    while (m_requestSamples.size() > 2 && m_requestSamples[1].first + RateWindow <= now)
        m_requestSamples.pop_front();
    const auto& [since, requests] = m_requestSamples.front();
    if (now - since >= MinRateWindow)
        m_rate = static_cast<double>(m_comparison.requests() - requests) / seconds(now - since);
    const auto due = plannedExposure(elapsed(now) + ms(500)) - static_cast<double>(m_spent);
    const auto expected = std::max(m_rate * ShareHorizon, 1e-3);
    m_share = due < 1 ? 0 : std::min(MaxShare, due / expected);
}

bool rollout_decider::grant(instant now)
{
    if (!hasAuthority(now) || isBad() || m_ledger->phase != rollout_phase::Observing || m_spent >= m_ledger->reserved)
        return false;
    ++m_spent;
    return true;
}

std::optional<rollout_state> rollout_decider::state(instant now) const
{
    if (!m_ledger || m_ledger->order != m_order.revision)
        return std::nullopt;
    const auto phase = m_ledger->phase;
    if (!isFinal(phase) && !hasAuthority(now))
        return std::nullopt;
    const auto share = isBad() || isFinal(phase) ? 0 : phase == rollout_phase::Shifting ? 1 : m_share;
    return rollout_state { m_order.service, m_order.revision, m_revision, phase, share };
}

void rollout_decider::condemn(std::string reason)
{
    m_reason = std::move(reason);
    m_share = 0;
    m_urgent = true;
}

void rollout_decider::withdraw(instant now)
{
    if (!isBad() && m_ledger && m_owned && !isFinal(m_ledger->phase))
        condemn("order withdrawn");
    m_due = isBad() ? now : instant::max();
}

void rollout_decider::judge(instant now)
{
    if (isBad() || now < m_judgeAt)
        return;
    m_judgeAt = now + JudgePeriod;
    const bool shifting = m_ledger->phase == rollout_phase::Shifting;
    auto verdict = m_comparison.judge(shifting ? comparison_stage::Shifting : comparison_stage::Observing, now);
    if (verdict.bad)
        condemn(std::move(verdict.reason));
}

std::optional<rollout_phase> rollout_decider::nextPhase(instant now)
{
    if (m_onlyNewSince != instant::max() && now >= m_onlyNewSince + OnlyNewTime)
        return rollout_phase::Done;
    if (m_ledger->phase == rollout_phase::Observing)
        return phaseAfterObserving(now);
    const auto latest = std::min(part(m_settings.shiftingPart), m_order.duration - m_settings.finishMargin);
    if (m_newTargets == 0 && elapsed(now) >= latest) {
        condemn("no target of the version left");
        return rollout_phase::RolledBack;
    }
    if (elapsed(now) >= latest || (now >= m_shiftedAt + std::max(MinShiftTime, part(MinShiftPart)) && isIdle(now)))
        return rollout_phase::Done;
    return std::nullopt;
}

std::optional<rollout_phase> rollout_decider::phaseAfterObserving(instant now)
{
    const auto time = elapsed(now);
    if (time < part(m_settings.observingPart))
        return std::nullopt;
    const bool extended = time >= part(LongestObservingPart);
    if (m_newTargets == 0 || (!extended && m_newTargets * 2 < m_oldTargets)) {
        if (time < m_order.duration - m_settings.finishMargin)
            return std::nullopt;
        condemn("too few targets of the version");
        return rollout_phase::RolledBack;
    }
    const auto responses = m_comparison.newResponses();
    if (!extended && m_comparison.requests() > 0 && responses < MinResponses)
        return std::nullopt;
    auto verdict = m_comparison.judge(comparison_stage::EndOfObservation, now);
    if (verdict.suspect && time < part(LongestSuspicionPart))
        return std::nullopt;
    if (time >= m_order.duration && m_comparison.requests() > 0 && responses == 0)
        verdict = { true, false, "not observed by the deadline" };
    if (!verdict.bad)
        return rollout_phase::Shifting;
    condemn(std::move(verdict.reason));
    return rollout_phase::RolledBack;
}

bool rollout_decider::mustReserve(instant now) const
{
    if (m_ledger->phase != rollout_phase::Observing || now < m_reserveAt)
        return false;
    const auto left = static_cast<double>(m_ledger->reserved) - static_cast<double>(m_spent);
    const auto used = m_settings.exposureMargin * m_settings.exposureShare * m_rate * BlockSeconds;
    return left < std::max(used, static_cast<double>(FirstBlock)) / 2
        && budget() >= static_cast<double>(m_ledger->reserved) + 1;
}

void rollout_decider::reserve(rollout_ledger& ledger) const
{
    const auto used = m_settings.exposureMargin * m_settings.exposureShare * m_rate * BlockSeconds;
    const auto block = std::max<std::uint64_t>(FirstBlock, static_cast<std::uint64_t>(used));
    const auto limit = static_cast<std::uint64_t>(budget());
    ledger.reserved = std::max(ledger.reserved, std::min(limit, ledger.reserved + block));
}

void rollout_decider::read(rollout_actions& out, instant now)
{
    m_call = store_call::Read;
    m_calledAt = now;
    out.push_back(read_ledger { m_order.service });
}

void rollout_decider::commit(rollout_actions& out, rollout_ledger ledger, instant now)
{
    m_call = store_call::Commit;
    m_calledAt = now;
    ledger.writer = m_writer;
    m_proposed = std::move(ledger);
    out.push_back(commit_ledger { m_order.service, m_revision, m_proposed, stateText(m_proposed.phase) });
}

void rollout_decider::callStore(rollout_actions& out, instant now)
{
    if (!m_current || !m_ledger) {
        read(out, now);
        return;
    }
    auto ledger = *m_ledger;
    if (isBad()) { // needs no takeover: the evidence holds whoever decides
        ledger.phase = rollout_phase::RolledBack;
        commit(out, ledger, now);
        return;
    }
    if (!m_owned) {
        if (now < m_takeoverAt) {
            m_callAt = std::min(m_takeoverAt, now + ReservationInterval);
            m_current = false;
            return;
        }
        if (ledger.phase == rollout_phase::Observing)
            reserve(ledger);
        commit(out, ledger, now);
        return;
    }
    // Phases follow from evidence that this decider has collected under its own, confirmed ledger.
    if (const auto phase = hasAuthority(now) ? nextPhase(now) : std::nullopt) {
        ledger.phase = *phase;
        commit(out, ledger, now);
    } else if (mustReserve(now)) {
        m_reserveAt = now + ReservationInterval;
        reserve(ledger);
        commit(out, ledger, now);
    } else if (now >= m_confirmedAt + scaled(m_settings.rollbackBound, RenewalPart)) {
        read(out, now);
    }
}

void rollout_decider::tick(rollout_actions& out, instant now)
{
    if (now < m_due)
        return;
    if ((m_ledger && m_current && isFinal(m_ledger->phase)) || (!isActive(now) && !isBad())) {
        m_due = instant::max(); // until the next report
        return;
    }
    m_due = now + TickPeriod;
    if (m_ledger && m_owned && !isFinal(m_ledger->phase)) {
        updateShare(now);
        judge(now);
        if (isBad())
            m_share = 0;
    }
    if (m_call == store_call::None && now >= m_callAt)
        callStore(out, now);
}

void rollout_decider::loseOwnership(instant now)
{
    m_takeoverDelay = std::min(MaxTakeoverDelay, std::max(MinTakeoverDelay, m_takeoverDelay * 2));
    m_takeoverAt = now + m_takeoverDelay;
    m_owned = false;
}

void rollout_decider::ledgerRead(std::uint64_t revision, const std::optional<rollout_ledger>& ledger,
    std::chrono::milliseconds storeNow, instant now)
{
    m_call = store_call::None;
    m_due = now;
    if (ledger && ledger->order > m_order.revision) { // this node has not seen the newest order yet
        m_current = false;
        m_callAt = now + ReservationInterval;
        return;
    }
    const bool first = !m_ledger;
    const bool changed = revision != m_revision;
    m_revision = revision;
    m_current = true;
    m_confirmedAt = m_calledAt;
    if (!ledger || ledger->order != m_order.revision) {
        if (!first && m_ledger->reserved > 0) { // the store lost the row: what was spent stays spent
            m_owned = false;
            m_spent = std::max(m_spent, m_ledger->reserved);
            return;
        }
        m_ledger = rollout_ledger { m_order.revision, m_order.version, rollout_phase::Observing, 0,
            storeNow - elapsed(now), 0 };
        m_owned = false;
        return;
    }
    const auto startedAt = now - (storeNow - ledger->startedAt);
    m_startedAt = startedAt;
    if (ledger->phase == rollout_phase::Shifting && (first || m_ledger->phase != rollout_phase::Shifting))
        m_shiftedAt = now;
    m_ledger = ledger;
    if (ledger->writer == m_writer) {
        m_owned = true;
        return;
    }
    m_spent = std::max(m_spent, ledger->reserved);
    if (!first && (m_owned || changed))
        loseOwnership(now);
}

void rollout_decider::ledgerUnreadable(instant now)
{
    m_call = store_call::None;
    m_callAt = now + StoreRetryDelay;
    m_due = now;
}

void rollout_decider::ledgerCommitted(commit_outcome outcome, std::uint64_t revision, instant now)
{
    m_call = store_call::None;
    m_due = now;
    if (outcome != commit_outcome::Committed) {
        m_current = false; // the ledger is read again before anything is granted
        if (outcome == commit_outcome::Unknown)
            m_callAt = now + StoreRetryDelay;
        return;
    }
    if (m_proposed.phase == rollout_phase::Shifting && m_ledger->phase != rollout_phase::Shifting)
        m_shiftedAt = now;
    m_ledger = m_proposed;
    m_revision = revision;
    m_owned = true;
    m_confirmedAt = m_calledAt;
}

} // namespace oriolepick
