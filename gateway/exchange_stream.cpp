/// \file
/// Streams of an exchange: events go on as they come, and a silent target is replaced.
#include "gateway/exchange.h"

#include "gateway/answer_sink.h"
#include "gateway/copy_orders.h"
#include "gateway/crash_detector.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/stream_stall_settings.h"
#include "gateway/target_prober.h"
#include "routing/prefill_time_estimator.h"
#include "routing/route_table.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Between two orders for one run when the first found no room.
    constexpr std::chrono::milliseconds CopyOrderPause { 400 };
    /// Between two questions to a copy holder: a tenth to a fifth of a usual generation, at the price of a probe each.
    constexpr std::chrono::milliseconds HolderCheckPause { 1'000 };
    /// Share of a copy's life after which it is ordered again; only what is new is then copied.
    constexpr double CopyRenewal = 0.7;
    /// Probes within the objective of a first event: a dead engine leaves most of the time for another one.
    constexpr int FirstEventProbes = 4;
    constexpr std::uint32_t MaxProbeDoublings = 8; ///< far beyond any objective
    constexpr int HeldAnswers = 2; ///< pauses for which an answer that the run is held counts: one probe may be lost
    /// Objectives after which a run that its engine holds is taken for stuck: the caller is far too late by then.
    constexpr int HeldPatience = 3;
    /// Bytes that a caller may leave unread before its target is no longer read from.
    constexpr std::size_t MaxUnsentBytes = 262'144;

} // namespace

void exchange::forwardEvents()
{
    while (!m_over && m_link) {
        const auto event = m_events.next();
        if (!event)
            break;
        if (!forwardEvent(*event))
            return;
    }
    if (!m_over && m_link && (m_sink->unsentBytes() > MaxUnsentBytes || !m_sink->mayQueueMore())) {
        m_sinkPaused = true;
        m_link->pauseReading(true);
    }
}

bool exchange::forwardEvent(const stream_event& event)
{
    m_stall.tokenArrived(m_parts.timers.now());
    m_probesInSilence = 0;
    m_progressed = true;
    if (event.id) {
        if (m_lastEvent && *event.id <= *m_lastEvent)
            return true; // the caller has it
        if (m_lastEvent && *event.id != *m_lastEvent + 1) {
            recordTargetFault(target_fault::InvalidResponse, "event_missing");
            m_history.mayHaveRun = true;
            ++m_history.answered;
            repeatOrGiveUp(attempt_outcome::Lost);
            return false;
        }
        m_lastEvent = event.id;
    }
    ++m_eventsForwarded;
    if (!m_answerBegun) {
        m_answerBegun = true;
        m_firstEventAt = m_parts.timers.now();
        if (m_readAlone && !m_continuesCopy)
            m_parts.prefillTimes.record(m_service, m_caller.promptTokens,
                std::chrono::duration_cast<std::chrono::milliseconds>(m_parts.timers.now() - m_attemptAt));
        m_sink->beginStream(m_head);
    }
    m_sink->sendPiece(event.bytes);
    if (m_route->resumable && m_publishedAttempt != m_attempts)
        publishRun();
    keepCopy();
    return true;
}

// A copy holder that is lost is replaced while the run still lives: without a copy its loss reads the prompt again.
void exchange::keepCopy()
{
    const auto* rules = m_table->rulesOf(m_service);
    if (!m_route->resumable || !rules || !rules->engine || !rules->engine->supportsOnDemandCopies || m_ordering)
        return;
    const auto now = m_parts.timers.now();
    if (m_parts.targetTracker.isPaused(m_target->name, now))
        return; // an order is a request too
    const bool lost = !m_copyHolder || !m_parts.targetTracker.canResumeAt(*m_copyHolder, m_parts.timers.now());
    if (!lost && m_parts.isStoreUnavailable() && now >= m_holderCheckedAt + HolderCheckPause)
        checkCopyHolder();
    if (lost && m_orderedCopy)
        m_orderedCopy.reset();
    const bool aging = m_orderedCopy && now >= m_orderedAt + rules->engine->copyLifetime * CopyRenewal;
    if ((lost && now >= m_orderedAt + CopyOrderPause) || aging)
        orderCopy();
}

// While nothing is heard of targets that are gone, the loss of a holder would be noticed when its copy is needed.
void exchange::checkCopyHolder()
{
    m_holderCheckedAt = m_parts.timers.now();
    m_parts.prober.probe(*m_copyHolder, probePatience(m_route->longestGap),
        [self = weak_from_this(), holder = *m_copyHolder](const target_prober::answer& answer) {
            const auto exchange = self.lock();
            if (exchange && !exchange->m_over && !answer.alive)
                exchange->recordAbsence(holder, answer);
        });
}

void exchange::orderCopy()
{
    m_orderedAt = m_parts.timers.now();
    if (!m_copyHolder || !m_parts.targetTracker.canResumeAt(*m_copyHolder, m_parts.timers.now())) {
        m_copyHolder = m_parts.targetTracker.choose(
            { m_service, std::nullopt, { m_target->name }, m_target->zone }, m_orderedAt);
        if (!m_copyHolder)
            return;
    }
    m_parts.metrics.count("copy_orders");
    m_ordering = true;
    m_parts.copies.order(m_target->address, m_caller.attempt, m_copyHolder->address,
        [self = weak_from_this(), attempt = m_attempts](const std::optional<std::string>& handle) {
            const auto exchange = self.lock();
            if (exchange && !exchange->m_over && attempt == exchange->m_attempts)
                exchange->onCopyOrdered(handle);
        });
}

void exchange::onCopyOrdered(const std::optional<std::string>& handle)
{
    m_ordering = false;
    m_parts.log.write("copy_ordered",
        { { "attempt", m_caller.attempt }, { "source", m_target->name.value() },
            { "holder", m_copyHolder ? m_copyHolder->name.value() : "" }, { "made", handle ? "true" : "false" } });
    if (handle) {
        m_orderedCopy = run_copy { m_target->address, *handle };
        publishRun();
    } else {
        m_copyHolder.reset();
    }
}

void exchange::onSinkDrained()
{
    if (!m_sinkPaused || !m_link)
        return;
    m_sinkPaused = false;
    m_link->pauseReading(false);
}

void exchange::watchForStall()
{
    const auto reading = m_parts.prefillTimes.estimate(m_service, m_continuesCopy ? 0 : m_caller.promptTokens);
    m_stall.attemptStarted(m_parts.timers.now(), reading);
    onStallCheck();
}

void exchange::checkAgainAt(instant due)
{
    m_watchTimer = m_parts.timers.at(due, [self = weak_from_this()] {
        const auto exchange = self.lock();
        if (exchange && !exchange->m_over && exchange->m_link) {
            exchange->m_watchTimer = 0;
            exchange->onStallCheck();
        }
    });
}

// One timer follows the whole attempt: it is set again from the last event instead of at each event.
void exchange::onStallCheck()
{
    const auto now = m_parts.timers.now();
    const auto pause = pauseBeforeProbe();
    const auto quietSince = m_stall.lastProgress();
    if (!m_history.mayRepeat)
        return;
    if (m_sinkPaused || now < quietSince + pause) {
        checkAgainAt(std::max(quietSince + pause, now + pause / 2));
        return;
    }
    if (now >= m_stall.suspectAt(std::nullopt) && !isWorthWaitingFor(now)) {
        loseSilentTarget("silent");
        return;
    }
    if (!m_probing) {
        m_probing = true;
        ++m_probesInSilence;
        m_parts.prober.probe(*m_target, probePatience(m_route->longestGap),
            [self = weak_from_this(), attempt = m_attempts](const target_prober::answer& answer) {
                if (const auto exchange = self.lock())
                    exchange->onProbe(attempt, answer);
            });
    }
    checkAgainAt(now + pause);
}

void exchange::onProbe(std::uint32_t attempt, const target_prober::answer& answer)
{
    if (m_over || !m_link || attempt != m_attempts)
        return;
    m_probing = false;
    const auto now = m_parts.timers.now();
    if (answer.report && answer.report->mayContain(m_caller.attempt))
        m_heldAt = now;
    if (!answer.alive && now >= m_stall.lastProgress() + quietBeforeProbe(m_route->longestGap))
        loseSilentTarget("dead");
}

// Before the first event a loss costs only time, so a target that has answered is asked less and less often.
std::chrono::milliseconds exchange::pauseBeforeProbe() const
{
    const auto pause = quietBeforeProbe(m_route->longestGap);
    if (m_answerBegun)
        return pause;
    const auto longest = std::max(pause, m_route->objective / FirstEventProbes);
    return std::min(pause * (1 << std::min(m_probesInSilence, MaxProbeDoublings)), longest);
}

// An engine that has more work than it can do at once reads prompts one after another and puts runs back. Elsewhere the
// prompt would have to be read again, unless a copy is at hand.
bool exchange::isWorthWaitingFor(instant now) const
{
    const bool held = m_heldAt && now < *m_heldAt + HeldAnswers * pauseBeforeProbe();
    const bool copyAtHand
        = m_answerBegun && m_copyHolder && m_parts.targetTracker.canResumeAt(*m_copyHolder, m_parts.timers.now());
    return held && !copyAtHand && now < m_stall.lastProgress() + HeldPatience * m_route->objective;
}

void exchange::loseSilentTarget(std::string_view what)
{
    recordTargetFault(target_fault::NoResponse, what);
    if (m_sent) {
        m_parts.crashes.recordLostAttempt(m_fingerprint, *m_target, m_progressed);
        m_history.mayHaveRun = true;
        ++m_history.lost;
    }
    repeatOrGiveUp(m_sent ? attempt_outcome::Lost : attempt_outcome::NotSent);
}

} // namespace oriolepick
