/// \file
/// Streams of an exchange: events are forwarded as they arrive, and a target that sends none is replaced.
#include "gateway/exchange.h"

#include "gateway/absence_detector.h"
#include "gateway/crash_detector.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/response_sink.h"
#include "gateway/run_copy_client.h"
#include "gateway/stream_stall_settings.h"
#include "gateway/target_permits.h"
#include "gateway/target_prober.h"
#include "routing/node_retry_budget.h"
#include "routing/path_monitor.h"
#include "routing/prefill_time_estimator.h"
#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Delay before a copy is requested again for the same run after a request failed for lack of memory.
    constexpr std::chrono::milliseconds CopyRetryDelay { 400 };
    /// Interval between probes of a copy holder: a tenth to a fifth of a typical generation, at the cost of a probe
    /// each.
    constexpr std::chrono::milliseconds CopyHolderProbeInterval { 1'000 };
    /// Share of the lifetime of a copy after which it is requested again; only the new part of the run is then copied.
    constexpr double CopyRenewalShare = 0.7;
    /// Probes within the time objective of the first event, so that after a dead engine most of the time remains for
    /// another.
    constexpr int MinProbesBeforeFirstEvent = 4;
    constexpr std::uint32_t MaxProbeDoublings = 8; ///< the resulting interval exceeds any objective
    /// Probe intervals for which a report that the run is held is valid; one probe may be lost.
    constexpr int RunReportValidIntervals = 2;
    /// Multiples of the objective after which a run that its engine still holds is considered stuck; the response is
    /// far too late for the caller by then.
    constexpr int MaxHeldRunObjectives = 3;
    /// Delay before a stream is checked again whose target has sent something that is not read yet.
    constexpr std::chrono::milliseconds PendingInputDelay { 20 };
    /// Unsent bytes to the caller above which reading from the target pauses.
    constexpr std::size_t MaxUnsentBytes = 262'144;

} // namespace

void exchange::forwardEvents()
{
    const auto pause = m_parts.timers.now() - m_stall.lastProgress();
    const bool hadEvents = m_eventReceived;
    std::uint64_t count = 0;
    while (!m_finished && m_link) {
        const auto event = m_events.next();
        if (!event)
            break;
        if (!forwardEvent(*event))
            return;
        ++count;
    }
    if (hadEvents && m_target)
        observePath(std::chrono::duration_cast<std::chrono::milliseconds>(pause), count);
    if (!m_finished && m_link && (m_sink->unsentBytes() > MaxUnsentBytes || !m_sink->canQueueMore())) {
        m_sinkBlocked = true;
        m_link->pauseReading(true);
    }
}

// Events also arrive together when this node was late to read them.
void exchange::observePath(std::chrono::milliseconds pause, std::uint64_t count)
{
    if (!m_parts.paths.recordEvents(m_target->zone, pause - m_parts.timers.delay(), count, m_parts.timers.now()))
        return;
    m_parts.metrics.count("lossy_paths_found");
    m_parts.log.write("path_lossy",
        { { "zone", m_target->zone.value() }, { "attempt", m_caller.attempt }, { "target", m_target->name.value() },
            { "pause_ms", std::to_string(pause.count()) }, { "events", std::to_string(count) } });
}

bool exchange::forwardEvent(const stream_event& event)
{
    m_stall.tokenArrived(m_parts.timers.now());
    m_probesSinceLastEvent = 0;
    m_suspected = false;
    if (!m_eventReceived)
        m_parts.crashes.recordStart(m_suspect.parts);
    if (!m_eventReceived)
        recordVersionFirstEvent();
    m_eventReceived = true;
    recordEventAtPlace();
    if (event.id) {
        if (m_lastEvent && *event.id <= *m_lastEvent)
            return true; // the caller already has this event
        if (m_lastEvent && *event.id != *m_lastEvent + 1) {
            recordTargetFault(target_fault::InvalidResponse, "event_missing");
            recordVersionAnswer(true);
            m_history.mayHaveRun = true;
            ++m_history.answered;
            retryOrFail(attempt_outcome::Lost);
            return false;
        }
        m_lastEvent = event.id;
    }
    ++m_eventsForwarded;
    if (!m_responseStarted) {
        m_responseStarted = true;
        m_firstEventAt = m_parts.timers.now();
        if (m_prefilledAlone && !m_continuesCopy)
            m_parts.prefillTimes.record(m_service, m_caller.promptTokens,
                std::chrono::duration_cast<std::chrono::milliseconds>(m_parts.timers.now() - m_attemptAt));
        m_sink->beginStream(m_head);
    }
    m_sink->sendChunk(event.bytes);
    if (m_route->resumable && m_publishedAttempt != m_attempts)
        publishRunCopy();
    maintainCopy();
    return true;
}

// Replaces a lost copy holder while the run still exists: without a copy, the loss of the run would require prefilling
// the prompt again.
void exchange::maintainCopy()
{
    const auto* rules = m_table->rulesOf(m_service);
    if (!m_route->resumable || !rules || !rules->engine || !rules->engine->supportsOnDemandCopies
        || m_copyRequestPending)
        return;
    const auto now = m_parts.timers.now();
    if (m_parts.targetTracker.isPaused(m_target->name, now))
        return; // a copy request would violate the pause as well
    const bool lost = !m_copyHolder || !isAllowedVersion(*m_copyHolder)
        || !m_parts.targetTracker.canResumeAt(*m_copyHolder, m_parts.timers.now());
    if (!lost && m_parts.isStoreUnavailable() && now >= m_copyHolderProbedAt + CopyHolderProbeInterval)
        recheckCopyHolder();
    if (lost && m_requestedCopy)
        m_requestedCopy.reset();
    const bool needsRenewal
        = m_requestedCopy && now >= m_copyRequestedAt + rules->engine->copyLifetime * CopyRenewalShare;
    if ((lost && now >= m_copyRequestedAt + CopyRetryDelay) || needsRenewal)
        requestCopy();
}

// While the registry is unavailable, the loss of a holder would otherwise be noticed only when its copy is needed.
void exchange::recheckCopyHolder()
{
    m_copyHolderProbedAt = m_parts.timers.now();
    m_parts.prober.probe(*m_copyHolder, probeTimeout(m_route->longestGap),
        [self = weak_from_this(), holder = *m_copyHolder](const target_prober::answer& answer) {
            const auto exchange = self.lock();
            if (exchange && !exchange->m_finished && !answer.alive)
                exchange->recordFailedProbe(holder, answer);
        });
}

void exchange::requestCopy()
{
    m_copyRequestedAt = m_parts.timers.now();
    if (!m_copyHolder || !isAllowedVersion(*m_copyHolder)
        || !m_parts.targetTracker.canResumeAt(*m_copyHolder, m_parts.timers.now())) {
        m_copyHolder = m_parts.targetTracker.choose(
            withVersionCondition({ m_service, std::nullopt, { m_target->name }, m_target->zone }), m_copyRequestedAt);
        if (!m_copyHolder)
            return;
    }
    m_copyRequestPending = true;
    m_parts.permits.acquire(*m_target, [self = weak_from_this(), attempt = m_attempts](bool granted) {
        const auto exchange = self.lock();
        if (!exchange || exchange->m_finished || !exchange->m_link || attempt != exchange->m_attempts)
            return;
        exchange->m_copyRequestPending = false;
        if (granted && exchange->m_copyHolder)
            exchange->sendCopyRequest();
    });
}

void exchange::sendCopyRequest()
{
    m_parts.metrics.count("copy_orders");
    m_copyRequestPending = true;
    m_parts.copies.copyRun(m_target->address, m_caller.attempt, m_copyHolder->address,
        [self = weak_from_this(), attempt = m_attempts](const std::optional<std::string>& handle) {
            const auto exchange = self.lock();
            if (exchange && !exchange->m_finished && exchange->m_link && attempt == exchange->m_attempts)
                exchange->onCopyResponse(handle);
        });
}

void exchange::onCopyResponse(const std::optional<std::string>& handle)
{
    m_copyRequestPending = false;
    m_parts.log.write("copy_ordered",
        { { "attempt", m_caller.attempt }, { "source", m_target->name.value() },
            { "holder", m_copyHolder ? m_copyHolder->name.value() : "" }, { "made", handle ? "true" : "false" } });
    if (handle) {
        m_requestedCopy = run_copy { m_target->address, *handle };
        publishRunCopy();
    } else {
        m_copyHolder.reset();
    }
}

void exchange::onSinkDrained()
{
    if (!std::exchange(m_sinkBlocked, false) || !m_link)
        return;
    m_stall.reattached(m_parts.timers.now()); // the caller's pause is not the target's
    m_link->pauseReading(false);
}

void exchange::startStallDetection()
{
    const auto prefillTime = m_parts.prefillTimes.estimate(m_service, m_continuesCopy ? 0 : m_caller.promptTokens);
    m_stall.attemptStarted(m_parts.timers.now(), prefillTime);
    checkForStall();
}

void exchange::scheduleStallCheck(instant due)
{
    m_watchTimer = m_parts.timers.at(due, [self = weak_from_this()] {
        const auto exchange = self.lock();
        if (exchange && !exchange->m_finished && exchange->m_link) {
            exchange->m_watchTimer = 0;
            exchange->checkForStall();
        }
    });
}

// A single timer covers the whole attempt. When the timer expires, it is restarted relative to the last event, instead
// of at each event.
void exchange::checkForStall()
{
    const auto now = m_parts.timers.now();
    const auto interval = probeInterval();
    const auto lastProgressAt = m_stall.lastProgress();
    if (!m_history.mayRepeat)
        return;
    if (m_sinkBlocked || now < lastProgressAt + interval) {
        scheduleStallCheck(std::max(lastProgressAt + interval, now + interval / 2));
        return;
    }
    if (m_link->hasPendingInput()) {
        scheduleStallCheck(now + PendingInputDelay);
        return;
    }
    if (!m_eventReceived && m_link->isConnected() && hasTakenMore()) {
        m_stall.reattached(now);
        scheduleStallCheck(now + interval);
        return;
    }
    if (now >= m_stall.suspectAt(std::nullopt) && !shouldKeepWaiting(now) && abandonSuspect("silent"))
        return;
    if (!m_probing) {
        m_probing = true;
        ++m_probesSinceLastEvent;
        m_parts.prober.probe(*m_target, probeTimeout(m_route->longestGap),
            [self = weak_from_this(), attempt = m_attempts](const target_prober::answer& answer) {
                if (const auto exchange = self.lock())
                    exchange->onProbe(attempt, answer);
            });
    }
    scheduleStallCheck(now + interval);
}

void exchange::onProbe(std::uint32_t attempt, const target_prober::answer& answer)
{
    if (m_finished || !m_link || attempt != m_attempts)
        return;
    m_probing = false;
    const auto now = m_parts.timers.now();
    if (answer.report && answer.report->mayContain(m_caller.attempt))
        m_runReportedAt = now;
    if (answer.alive || !isStalled(now))
        return;
    if (answer.isGone())
        failUnresponsiveTarget("dead", true, answer.problem);
    else if (answer.isSilent())
        onSilentProbe(answer);
}

bool exchange::isStalled(instant now) const
{
    return now >= m_stall.lastProgress() + probeDelay(m_route->longestGap) && !m_link->hasPendingInput();
}

// The run goes on elsewhere only if the target is absent: another path of this node may be as silent.
void exchange::onSilentProbe(const target_prober::answer& answer)
{
    m_parts.absences.recordSilence({ *m_target, m_caller.attempt, answer.problem, answer.sentAt, answer.due, false },
        [self = weak_from_this(), attempt = m_attempts, problem = answer.problem](bool absent) {
            const auto exchange = self.lock();
            if (!absent || !exchange || exchange->m_finished || !exchange->m_link || attempt != exchange->m_attempts)
                return;
            const auto now = exchange->m_parts.timers.now();
            if (exchange->isStalled(now) && exchange->isRestartWorthwhile(now))
                exchange->abandonSuspect("dead", problem);
        });
}

// Before the first event a loss costs only time, so the interval grows with each probe.
std::chrono::milliseconds exchange::probeInterval() const
{
    const auto interval = probeDelay(m_route->longestGap);
    if (m_responseStarted)
        return interval;
    const auto longest = std::max(interval, m_route->objective / MinProbesBeforeFirstEvent);
    return std::min(interval * (1 << std::min(m_probesSinceLastEvent, MaxProbeDoublings)), longest);
}

bool exchange::canUseCopy(instant now) const
{
    return m_responseStarted && m_copyHolder && isAllowedVersion(*m_copyHolder)
        && m_parts.targetTracker.canResumeAt(*m_copyHolder, now);
}

// An overloaded engine prefills prompts one after another and preempts runs, so a run that it still holds is worth
// waiting for: another engine would have to prefill the prompt again, unless a copy is available.
bool exchange::shouldKeepWaiting(instant now) const
{
    const bool reportedRecently = m_runReportedAt && now < *m_runReportedAt + RunReportValidIntervals * probeInterval();
    return reportedRecently && !canUseCopy(now)
        && now < m_stall.lastProgress() + MaxHeldRunObjectives * m_route->objective;
}

// A target that is silent may go on a moment later. Without a copy, another target would have to prefill the prompt
// again, so the silence is tolerated for as long as that takes.
bool exchange::isRestartWorthwhile(instant now) const
{
    if (!isGeneration() || canUseCopy(now))
        return true;
    return now >= m_stall.lastProgress() + m_parts.prefillTimes.estimate(m_service, m_caller.promptTokens);
}

bool exchange::canContinueElsewhere(instant now)
{
    if (!m_sent)
        return true;
    auto history = m_history;
    ++history.answered;
    if (decideRetry(history, attempt_outcome::Lost) != retry_decision::RetryWithinBudget
        || !m_parts.retryBudget.mayTake(m_service, now, retryReserve()))
        return false;
    return canUseCopy(now)
        || m_parts.targetTracker.choose(
            withVersionCondition({ m_service, m_parts.settings.zone, { m_target->name }, m_lostZone }), now);
}

// Silence alone ends a run only if another target can take it on. Otherwise its target is waited for until the
// deadline, or until the connection ends. \return whether the attempt has ended
bool exchange::abandonSuspect(std::string_view faultName, std::string_view problem)
{
    if (canContinueElsewhere(m_parts.timers.now())) {
        failUnresponsiveTarget(faultName, false, problem);
        return true;
    }
    if (!std::exchange(m_suspected, true)) {
        m_parts.crashes.recordLostAttempt(m_suspect, *m_target, m_eventReceived); // checks whether the target is gone
        m_parts.metrics.count("suspected_targets_kept");
        m_parts.log.write("suspected_target_kept",
            { { "attempt", m_caller.attempt }, { "target", m_target->name.value() }, { "what", std::string(faultName) },
                { "why", std::string(problem) },
                { "last_event", m_lastEvent ? std::to_string(*m_lastEvent) : "none" } });
    }
    return false;
}

// A silent target may still run the request, so it counts against the targets that the route allows.
void exchange::failUnresponsiveTarget(std::string_view faultName, bool isGone, std::string_view problem)
{
    recordTargetFault(target_fault::NoResponse, faultName, problem);
    if (!isGone)
        recordVersionWait();
    if (m_sent) {
        if (!m_suspected || isGone) // the check of a suspected target may have ended while it still listened
            m_parts.crashes.recordLostAttempt(m_suspect, *m_target, m_eventReceived);
        m_history.mayHaveRun = true;
        ++(isGone ? m_history.lost : m_history.answered);
    }
    retryOrFail(m_sent ? attempt_outcome::Lost : attempt_outcome::NotSent);
}

} // namespace oriolepick
