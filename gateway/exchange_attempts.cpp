/// \file
/// Attempts of an exchange: choosing targets, sending, and retrying or failing when an attempt ends. Responses of
/// targets are handled in exchange_responses.cpp.
#include "gateway/exchange.h"

#include "gateway/crash_detector.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/response_sink.h"
#include "gateway/retry_sharing.h"
#include "gateway/target_connection_pool.h"
#include "gateway/target_permits.h"
#include "routing/generation_time_estimator.h"
#include "routing/node_retry_budget.h"
#include "routing/response_time_estimator.h"
#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Delay before the next lookup when there is no target: a fraction of the second that a crashed engine needs to
    /// restart.
    constexpr std::chrono::milliseconds NoTargetRetryDelay { 50 };
    /// Interval at which the result of a crash check is polled; the check takes a round trip.
    constexpr std::chrono::milliseconds CrashCheckPollInterval { 5 };
    /// Several round trips between zones.
    constexpr std::chrono::milliseconds TrialAnswerTimeout { 30 };
    /// Retries of callers after a pause are spread over at least this time.
    constexpr std::chrono::milliseconds MinRetryAfterSpread { 300 };
    /// Time until a copy is usable: copying begins with the first part of the prompt and sends several times a second.
    constexpr std::chrono::milliseconds InitialCopyDelay { 350 };
    /// Delay before a run that started without a copy for lack of memory requests one: a third of a typical generation.
    constexpr std::chrono::milliseconds LowMemoryCopyDelay { 2'000 };
    /// Interval at which a stream that has begun asks again for a retry: a small share of the pause that routes allow.
    constexpr std::chrono::milliseconds RetryBudgetPollInterval { 100 };
    /// Retries of a service that are left for streams that have begun.
    constexpr double ContinuationReserve = 1;
    /// Longest wait of a request that has not begun for retries of other nodes: three requests to them. Later retries
    /// would be taken from streams that have begun.
    constexpr std::chrono::milliseconds SharedRetryWait { 60 };
    constexpr std::chrono::milliseconds SharedRetryPollInterval { 10 }; ///< a round trip between zones
    constexpr std::string_view BudgetUsedUp = "the retry budget of the service is used up";

    retry_decision decisionWithoutBudget(attempt_outcome attemptOutcome)
    {
        return attemptOutcome == attempt_outcome::TargetError ? retry_decision::Deliver : retry_decision::Fail;
    }

    std::chrono::milliseconds toMilliseconds(instant::duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

} // namespace

void exchange::dispatch()
{
    if (m_finished)
        return;
    const auto now = m_parts.timers.now();
    if (rejectIfEndingAfterShutdown() || tryQuarantinedParts() || rejectIfQuarantined()
        || rejectIfDeadlineUnreachable())
        return;
    if (m_parts.crashes.isVerdictPending(m_suspect.request)) {
        dispatchAt(now + CrashCheckPollInterval);
        return;
    }
    if (hasUsableCopy()) {
        probeCopyHolder(*m_copyHolder);
        return;
    }
    m_copy.reset();
    m_prefilledAlone = false;
    if (awaitExposure() || askForPlace() || pollEngines())
        return;
    auto query = withExposure({ m_service, m_parts.settings.zone, m_triedTargets, m_lostZone, avoidedPaths() });
    auto target = m_parts.targetTracker.choose(query, now);
    if (!target && dropExposure()) {
        dispatch();
        return;
    }
    if (!target && !m_triedTargets.empty()) {
        // Every target was tried. A request that may be retried tries them again, as some may have recovered.
        m_triedTargets.clear();
        query.excluded.clear();
        if (m_history.mayRepeat)
            target = m_parts.targetTracker.choose(query, now);
        if (target && m_wasUnsent) {
            waitForTarget(); // no target accepts connections
            return;
        }
    }
    if (!target) {
        waitForTarget();
        return;
    }
    sendWithPermit(*target);
}

// After a denial the target tracker offers other targets, and finally none.
void exchange::sendWithPermit(const target_entry& target)
{
    m_parts.permits.acquire(target, [self = weak_from_this(), target](bool granted) {
        const auto exchange = self.lock();
        if (!exchange || exchange->m_finished)
            return;
        // The target may have been removed or have announced its shutdown while the permit was pending.
        if (granted && exchange->m_parts.targetTracker.takesRequests(target.name, exchange->m_parts.timers.now()))
            exchange->send(target);
        else
            exchange->dispatch();
    });
}

void exchange::waitForTarget()
{
    const auto now = m_parts.timers.now();
    // What may have run cannot be refused as not run, so a caller is served better late than by a failure.
    const bool isOpen = m_responseStarted || (m_history.mayHaveRun && !m_targetFailure);
    const auto latest = isOpen ? m_deadline : std::min(m_startedAt + m_route->objective / 2, m_deadline);
    const auto outlook = m_parts.targetTracker.allUnavailable(m_service, now, versionCondition());
    if (now + NoTargetRetryDelay >= latest || (outlook && outlook->next + outlook->spread >= latest)) {
        const auto kind = m_history.mayHaveRun ? error_kind::TargetFailed : error_kind::NoTarget;
        if (outlook && outlook->limited) {
            m_parts.metrics.count("refused_at_limit");
            m_parts.permits.recordRefused(m_service);
            failWith(kind, "all targets have reached their request limits", retryAfter(*outlook));
        } else if (outlook) {
            failWith(kind, "all targets ask for a pause", retryAfter(*outlook));
        } else {
            failWith(kind, "no target is in service");
        }
        return;
    }
    if (outlook && isGeneration() && mayQueue()) {
        waitInQueue(); // the queue schedules one request at a time
        return;
    }
    // A random delay keeps requests that wait for the same time from being sent simultaneously.
    dispatchAt(outlook ? outlook->next + randomDelay(NoTargetRetryDelay) : now + NoTargetRetryDelay);
}

// A request that crashed several targets would crash the next one too, and so would one with a part that did.
bool exchange::rejectIfQuarantined()
{
    if ((m_isTrial && !m_attempts) || !m_parts.crashes.isQuarantined(m_suspect))
        return false;
    m_parts.metrics.count("quarantined_requests_refused");
    failWith(m_history.mayHaveRun ? error_kind::TargetFailed : error_kind::RequestQuarantined,
        "the request, or a part of its prompt, crashes its targets");
    return true;
}

// Whether a part still crashes targets shows only if a request with it is sent now and then.
// \return whether this request is sent, or waits for the answer of the node that decides
bool exchange::tryQuarantinedParts()
{
    if (m_attempts || m_isTrial || !m_parts.crashes.isQuarantined(m_suspect))
        return false;
    switch (m_parts.crashes.requestTrial(m_suspect)) {
    case trial_answer::Granted:
        m_isTrial = true;
        return false;
    case trial_answer::Requested:
        dispatchAt(m_parts.timers.now() + TrialAnswerTimeout);
        return true;
    case trial_answer::Refused:
        break;
    }
    return false;
}

void exchange::dispatchAt(instant due)
{
    m_waitTimer = m_parts.timers.at(due, [self = weak_from_this()] {
        if (const auto exchange = self.lock()) {
            exchange->m_waitTimer = 0;
            exchange->dispatch();
        }
    });
}

std::chrono::milliseconds exchange::randomDelay(std::chrono::milliseconds range)
{
    return std::chrono::milliseconds(m_parts.random.below(static_cast<std::uint64_t>(range.count()) + 1));
}

// Spreads the retries of callers over the time in which the targets can serve them, or over a time as long as a pause,
// so that the targets are not overloaded at its end.
std::chrono::milliseconds exchange::retryAfter(const service_outlook& outlook)
{
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(outlook.next - m_parts.timers.now());
    return remaining + randomDelay(std::max(outlook.limited ? outlook.spread : remaining, MinRetryAfterSpread));
}

bool exchange::isGeneration() const
{
    const auto* rules = m_table->rulesOf(m_service);
    return rules && rules->engine;
}

target_instruction exchange::instructionFor(const target_entry& target) const
{
    target_instruction instruction;
    instruction.expectedTarget = target.name;
    instruction.patience = std::max(remainingTime(), std::chrono::milliseconds(1));
    if (m_team)
        instruction.team = m_team->name;
    if (m_route->kind == route_kind::Stream)
        instruction.priority = priorityClass();
    instruction.lastEvent = m_lastEvent;
    instruction.resumeFrom = m_copy;
    if (m_copyHolder)
        instruction.copyTo = m_copyHolder->address;
    return instruction;
}

// The run is copied continuously to an engine in another zone, because zones fail as a whole.
void exchange::chooseCopyHolder(const target_entry& target)
{
    m_copyHolder.reset();
    const auto* rules = m_table->rulesOf(m_service);
    if (!m_route->resumable || !rules || !rules->engine || !rules->engine->supportsContinuousCopies)
        return;
    const auto polledEngines = std::exchange(m_polledEngines, {});
    const auto demand = makeGenerationDemand();
    bool memoryIsScarce = !polledEngines.empty();
    for (const auto& engine : polledEngines) {
        if (!hasMemory(engine, demand) || !isAllowedVersion(engine.target))
            continue;
        memoryIsScarce = false;
        if (engine.target.zone != target.zone) {
            m_copyHolder = engine.target;
            return;
        }
    }
    if (memoryIsScarce) {
        m_copyRequestedAt = m_parts.timers.now() + LowMemoryCopyDelay;
        return;
    }
    auto query
        = withVersionCondition({ m_service, m_parts.settings.zone, m_triedTargets, target.zone, avoidedPaths() });
    query.excluded.push_back(target.name);
    m_copyHolder = m_parts.targetTracker.choose(query, m_parts.timers.now());
}

void exchange::send(const target_entry& target)
{
    const auto now = m_parts.timers.now();
    if (rejectIfQuarantined() || rejectIfEndingAfterShutdown())
        return; // a crash or the stop has become known while the engines were polled or a permit was pending
    if (!mayReceive(target)) {
        dropExposure(); // the rollout of a version has moved on since the target was chosen
        dispatch();
        return;
    }
    leaveQueue();
    m_copyRequestedAt = {};
    chooseCopyHolder(target);
    const auto instruction = instructionFor(target);
    m_continuesCopy = m_copy.has_value();
    m_copy.reset();
    m_target = target;
    holdPlace(target);
    m_requestedCopy.reset();
    m_copyRequestPending = false;
    m_sent = false;
    m_streaming = false;
    m_eventReceived = false;
    m_body = {}; // releases its memory too
    m_events.reset();
    m_responseMemory.set(0);
    m_attemptAt = m_sentAt = now;
    m_attemptWait.reset();
    m_suspected = false;
    m_sinkBlocked = false;
    m_probing = false;
    m_probesSinceLastEvent = 0;
    m_runReportedAt.reset();
    ++m_attempts;
    if (m_attempts > 1)
        m_parts.log.write("attempt_repeated",
            { { "attempt", m_caller.attempt }, { "target", target.name.value() }, { "zone", target.zone.value() },
                { "try", std::to_string(m_attempts) }, { "copy", m_continuesCopy ? instruction.resumeFrom->name : "" },
                { "last_event", m_lastEvent ? std::to_string(*m_lastEvent) : "none" } });
    m_parts.targetTracker.attemptStarted(target.name, now);
    recordVersionStart(target);
    m_link = m_parts.targetConnections.take(target.address, m_caller.attempt, now);
    m_takenBytes = m_link->sentBytes();
    m_isUploading = false;
    if (m_route->kind == route_kind::Stream)
        startStallDetection();
    else if (m_route->kind == route_kind::Repeatable)
        startAttemptTimeout();
    m_link->send(m_parts.dialect.writeRequest(m_request, instruction), m_caller.attempt, weak_from_this());
}

bool exchange::maySend() const
{
    return m_parts.targetTracker.takesRequests(m_target->name, m_parts.timers.now()) && mayReceive(*m_target);
}

void exchange::onSent()
{
    m_sent = true;
    m_receivers.push_back(m_target->name);
    m_sentAt = m_parts.timers.now();
    // The time until the connection was open, and noticed, is not the target's.
    if (m_attemptWait)
        m_attemptWait->restart(m_sentAt);
    if (m_route->kind == route_kind::Stream)
        m_stall.reattached(m_sentAt);
}

void exchange::endAttempt()
{
    m_parts.timers.cancel(m_watchTimer);
    if (m_link) {
        m_link->abandon();
        m_link.reset();
        m_parts.targetTracker.attemptEnded(m_target->name);
        recordVersionEnd();
    }
    m_isExposed = false;
    m_place.end(place_end::Completed); // unless a fault has ended it
    m_sent = false;
}

void exchange::startAttemptTimeout()
{
    m_attemptWait.emplace(m_parts.responseTimes.patience(m_service, m_route->objective), m_attemptAt);
    armAttemptTimeout();
}

void exchange::armAttemptTimeout()
{
    m_watchTimer = m_parts.timers.at(m_attemptWait->due(), [self = weak_from_this()] {
        if (const auto exchange = self.lock()) {
            exchange->m_watchTimer = 0;
            exchange->onAttemptTimeout();
        }
    });
}

// Abandons a hanging target for another one while the caller can still be served in time. Without another target or
// retry budget, waiting longer is more likely to succeed.
void exchange::onAttemptTimeout()
{
    if (m_finished || !m_link || m_history.answered + 1 >= m_history.maxTargets)
        return;
    if (!m_attemptWait->isUnresponsive(m_parts.timers.now(), m_link->hasPendingInput())) {
        armAttemptTimeout();
        return;
    }
    if (hasTakenMore()) {
        m_attemptWait->restart(m_parts.timers.now());
        armAttemptTimeout();
        return;
    }
    auto tried = m_triedTargets;
    tried.push_back(m_target->name);
    const auto next = m_parts.targetTracker.choose(
        withVersionCondition({ m_service, m_parts.settings.zone, tried, std::nullopt }), m_parts.timers.now());
    if (!next)
        return;
    if (m_parts.permits.isLimited(*next)) {
        m_parts.permits.acquire(*next, [self = weak_from_this(), attempt = m_attempts, next = *next](bool granted) {
            const auto exchange = self.lock();
            const bool isCurrent
                = exchange && !exchange->m_finished && exchange->m_link && attempt == exchange->m_attempts;
            if (granted && isCurrent
                && exchange->m_parts.targetTracker.takesRequests(next.name, exchange->m_parts.timers.now()))
                exchange->onLatePermit(next);
        });
        return;
    }
    if (!m_parts.retryBudget.take(m_service, m_parts.timers.now(), retryReserve()))
        return;
    abandonLateAttempt();
    dispatch();
}

// A target that still takes the request, however slowly, cannot respond yet.
bool exchange::hasTakenMore()
{
    const auto before = std::exchange(m_takenBytes, m_link->takenBytes());
    const bool wasUploading = std::exchange(m_isUploading, m_takenBytes < m_link->sentBytes());
    return m_takenBytes > before && (m_isUploading || wasUploading);
}

void exchange::onLatePermit(const target_entry& next)
{
    if (!m_parts.retryBudget.take(m_service, m_parts.timers.now(), retryReserve()))
        return;
    abandonLateAttempt();
    send(next);
}

void exchange::abandonLateAttempt()
{
    recordTargetFault(target_fault::NoResponse, "late");
    recordVersionWait();
    m_history.mayHaveRun = m_history.mayHaveRun || m_sent;
    ++m_history.answered;
    endAttempt();
}

void exchange::recordTargetFault(target_fault fault, std::string_view faultName, std::string_view problem)
{
    const auto now = m_parts.timers.now();
    m_parts.targetTracker.recordFault(m_target->name, fault, now);
    m_place.end(fault == target_fault::AtCapacity ? place_end::Refused : place_end::Failed);
    m_parts.metrics.count(faultName);
    if (fault != target_fault::AtCapacity)
        m_triedTargets.push_back(m_target->name);
    m_parts.log.write("attempt_failed",
        { { "attempt", m_caller.attempt }, { "request", fingerprintText() }, { "parts", sharedPartsText() },
            { "target", m_target->name.value() }, { "what", std::string(faultName) }, { "why", std::string(problem) },
            { "last_event", m_lastEvent ? std::to_string(*m_lastEvent) : "none" },
            { "sent", m_sent ? "true" : "false" },
            { "since_sent_ms", std::to_string(toMilliseconds(now - m_sentAt).count()) },
            { "node_delay_ms", std::to_string(m_parts.timers.delay().count()) } });
}

void exchange::retryOrFail(attempt_outcome attemptOutcome)
{
    const auto now = m_parts.timers.now();
    const bool lost = attemptOutcome == attempt_outcome::Lost;
    m_wasUnsent = attemptOutcome == attempt_outcome::NotSent;
    endAttempt();
    if (lost && m_target) {
        m_lostZone = m_target->zone;
        const bool hasMemory = m_streaming || now >= m_attemptAt + InitialCopyDelay;
        if (m_copyHolder && m_route->resumable && hasMemory)
            m_copy = m_requestedCopy ? m_requestedCopy : run_copy { m_copyHolder->address, m_caller.attempt };
        m_requestedCopy.reset();
    }
    auto decision = decideRetry(m_history, attemptOutcome);
    m_asksReceiversOnly = decision == retry_decision::Fail && mayAskReceiversAgain(attemptOutcome);
    if (m_asksReceiversOnly)
        decision = retry_decision::RetryWithinBudget;
    if (decision == retry_decision::RetryWithinBudget && !m_parts.retryBudget.take(m_service, now, retryReserve())) {
        m_parts.metrics.count("repeats_denied");
        m_parts.retrySharing.request(m_service, now);
        if (m_responseStarted || m_parts.retrySharing.isAvailable()) {
            m_deniedOutcome = attemptOutcome;
            m_budgetWaitEnds = m_responseStarted ? m_deadline : std::min(m_deadline, now + SharedRetryWait);
            waitForRetryBudget();
            return;
        }
        conclude(decisionWithoutBudget(attemptOutcome), attemptOutcome, BudgetUsedUp);
        return;
    }
    conclude(decision, attemptOutcome, "no further target may be tried");
}

void exchange::conclude(retry_decision decision, attempt_outcome attemptOutcome, std::string_view reason)
{
    switch (decision) {
    case retry_decision::Retry:
    case retry_decision::RetryWithinBudget:
        // Full targets need a moment until one has a place for a stream that has begun.
        if (attemptOutcome == attempt_outcome::NotRun && m_responseStarted)
            dispatchAt(m_parts.timers.now() + RetryBudgetPollInterval);
        else
            dispatch();
        return;
    case retry_decision::Deliver:
        if (!m_responseStarted && !promisesNotRun(m_head.status)) {
            deliverResponse();
            return;
        }
        break;
    case retry_decision::Fail:
        break;
    }
    failWith(finalErrorKind(m_history), reason);
}

double exchange::retryReserve() const
{
    return isGeneration() && !m_responseStarted ? ContinuationReserve : 0;
}

// The caller has received a part of the stream, so waiting for a retry is better than breaking the stream off. A
// request that has not begun waits only for the answers of other nodes.
void exchange::waitForRetryBudget()
{
    const auto interval = m_responseStarted ? RetryBudgetPollInterval : SharedRetryPollInterval;
    m_waitTimer = m_parts.timers.at(m_parts.timers.now() + interval, [self = weak_from_this()] {
        const auto exchange = self.lock();
        if (!exchange || exchange->m_finished)
            return;
        exchange->m_waitTimer = 0;
        const auto now = exchange->m_parts.timers.now();
        const auto reserve = exchange->retryReserve();
        auto& budget = exchange->m_parts.retryBudget;
        if (budget.mayTake(exchange->m_service, now, reserve) && budget.take(exchange->m_service, now, reserve)) {
            exchange->dispatch();
        } else if (exchange->m_responseStarted || now < exchange->m_budgetWaitEnds) {
            exchange->m_parts.retrySharing.request(exchange->m_service, now);
            exchange->waitForRetryBudget();
        } else {
            const auto outcome = exchange->m_deniedOutcome;
            exchange->conclude(decisionWithoutBudget(outcome), outcome, BudgetUsedUp);
        }
    });
}

} // namespace oriolepick
