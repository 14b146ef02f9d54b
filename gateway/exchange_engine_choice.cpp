/// \file
/// Choice of an engine for a generation: the holder of its copy, or the best of a few engines that are polled for load.
#include "gateway/exchange.h"

#include "gateway/absence_detector.h"
#include "gateway/admission_queue.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/replacement_finder.h"
#include "gateway/response_sink.h"
#include "gateway/run_handover.h"
#include "gateway/stop_schedule.h"
#include "gateway/target_permits.h"
#include "routing/generation_time_estimator.h"
#include "routing/path_monitor.h"
#include "routing/prefill_time_estimator.h"
#include "routing/response_time_estimator.h"
#include "routing/route_table.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Engines polled before a generation: three random engines are rarely all busy, and each further one adds little.
    constexpr std::size_t PolledEngineCount = 3;
    /// A live engine responds within a round trip; waiting for the retransmission of a lost packet would take too long.
    constexpr std::chrono::milliseconds PollTimeout { 60 };
    /// Age of the load that engines report.
    constexpr std::chrono::milliseconds ReportDelay { 300 };
    /// Share of the time until the first event is late that queueing and prefill together may take.
    constexpr double MaxQueueTimeShare = 0.8;
    /// A request may wait at least the objective divided by this number, even when engines are too slow for the
    /// objective anyway.
    constexpr int MinQueueTimeDivisor = 8;
    /// The minimum prefill time is the estimate divided by this number: half of the prompt may be cached, or the engine
    /// may be fast.
    constexpr int MinPrefillDivisor = 3;
    /// Largest retry delay of callers that must use another node: they retry immediately, but not all simultaneously.
    constexpr std::chrono::milliseconds MaxRetryAfterElsewhere { 100 };
    /// Team of requests that need no API key.
    constexpr std::string_view AnonymousTeam = "anonymous";

    /// Last class, see exchange::priorityClass(), of each priority of the admission queue: requests of the highest
    /// priority whose objective is the shortest, then the others of that priority with those of the next one whose
    /// objective is the shortest.
    constexpr std::uint32_t LastUrgentClass = 0;
    constexpr std::uint32_t LastNormalClass = 3;

    request_priority queuePriorityOf(std::uint32_t priorityClass)
    {
        if (priorityClass <= LastUrgentClass)
            return request_priority::Urgent;
        return priorityClass <= LastNormalClass ? request_priority::Normal : request_priority::Bulk;
    }

} // namespace

bool exchange::hasUsableCopy() const
{
    return m_copy && m_copyHolder && isAllowedVersion(*m_copyHolder)
        && m_parts.targetTracker.canResumeAt(*m_copyHolder, m_parts.timers.now());
}

// The caller received a part of the stream from another node, which may have failed: the run can continue from its
// copy.
void exchange::findRunCopy()
{
    m_parts.handover.find(
        m_parts.dialect.requestHashOf(m_request), [self = weak_from_this()](const std::optional<run_record>& record) {
            const auto exchange = self.lock();
            if (!exchange || exchange->m_finished)
                return;
            const auto* holder = record ? exchange->m_parts.targetTracker.find(record->holder) : nullptr;
            // The route may have moved to another service since.
            if (holder && exchange->m_route->leadsTo(holder->service)) {
                exchange->m_service = holder->service;
                exchange->m_copyHolder = *holder;
                exchange->m_copy = record->copy;
                exchange->m_parts.handover.takeOver(*record);
            }
            exchange->dispatch();
        });
}

// Publishes the location of the copy to other nodes as soon as the caller has received an event to resume from.
void exchange::publishRunCopy()
{
    if (!m_copyHolder)
        return;
    m_publishedAttempt = m_attempts;
    const auto copy = m_requestedCopy ? *m_requestedCopy : run_copy { m_copyHolder->address, m_caller.attempt };
    m_parts.handover.publish({ m_parts.dialect.requestHashOf(m_request), {}, m_caller.attempt, m_copyHolder->name, copy,
                                 m_caller.lastEvent.has_value() },
        [self = weak_from_this()] {
            const auto exchange = self.lock();
            if (!exchange || exchange->m_finished)
                return;
            exchange->m_sink->abortResponse();
            exchange->finish("taken_over");
        });
}

// Probes the holder before sending: a holder that has crashed is then detected sooner and without using a retry.
// A probe of a limited holder would use up the permit of the request.
void exchange::probeCopyHolder(const target_entry& holder)
{
    if (m_parts.permits.isLimited(holder)) {
        sendToCopyHolder(holder);
        return;
    }
    m_parts.prober.probe(holder, PollTimeout, [self = weak_from_this(), holder](const target_prober::answer& answer) {
        const auto exchange = self.lock();
        if (!exchange || exchange->m_finished)
            return;
        const bool isUsable = answer.alive || (!answer.isGone() && !answer.isSilent());
        if (isUsable && exchange->hasUsableCopy()) {
            exchange->sendToCopyHolder(holder);
            return;
        }
        if (!answer.alive)
            exchange->recordFailedProbe(holder, answer);
        exchange->m_copy.reset();
        exchange->dispatch();
    });
}

// Without a permit the run does not wait for its copy: another engine prefills the prompt again.
void exchange::sendToCopyHolder(const target_entry& holder)
{
    m_parts.permits.acquire(holder, [self = weak_from_this(), holder](bool granted) {
        const auto exchange = self.lock();
        if (!exchange || exchange->m_finished)
            return;
        if (granted && exchange->hasUsableCopy()) {
            exchange->send(holder);
            return;
        }
        exchange->m_copy.reset();
        exchange->dispatch();
    });
}

std::vector<availability_zone> exchange::avoidedPaths() const
{
    if (m_usesLossyPaths)
        return {};
    return m_parts.paths.lossyZones(m_parts.timers.now());
}

// Polls a few engines for their load, because other nodes send requests to them too, and concurrent prefills delay each
// other. Engines in the zone of this node are not preferred: after most of a zone is lost, all its nodes would choose
// the one engine left there.
bool exchange::pollEngines()
{
    if (!isGeneration())
        return false;
    if (mayQueue() && !m_isScheduled && m_parts.admissionQueue.hasWaiting(m_service)) {
        waitInQueue();
        return true;
    }
    const auto query = withExposure({ m_service, std::nullopt, m_triedTargets, m_lostZone, avoidedPaths() });
    const auto now = m_parts.timers.now();
    m_polledEngines.clear();
    auto candidates = m_parts.targetTracker.candidates(query, PolledEngineCount, now);
    const auto isOnLossyPath = [&query](const target_entry& target) {
        return std::find(query.lossyZones.begin(), query.lossyZones.end(), target.zone) != query.lossyZones.end();
    };
    if (!candidates.empty() && !isOnLossyPath(candidates.front()))
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isOnLossyPath), candidates.end());
    // A poll would use up a permit. So a limited engine that ranks first gets the request without a poll, and others
    // are left out.
    if (!candidates.empty() && m_parts.permits.isLimited(candidates.front())) {
        sendWithPermit(candidates.front());
        return true;
    }
    for (auto& target : candidates) {
        if (m_parts.permits.isLimited(target))
            continue;
        const auto unreported = m_parts.targetTracker.attemptsSince(target.name, now - ReportDelay);
        m_polledEngines.push_back({ std::move(target), false, std::nullopt, unreported });
    }
    if (m_polledEngines.empty())
        return false;
    m_pendingPolls = m_polledEngines.size();
    for (std::size_t index = 0; index < m_polledEngines.size(); ++index) {
        m_parts.prober.probe(m_polledEngines[index].target, PollTimeout,
            [self = weak_from_this(), index](const target_prober::answer& answer) {
                if (const auto exchange = self.lock())
                    exchange->onPollResponse(index, answer);
            });
    }
    return true;
}

void exchange::onPollResponse(std::size_t index, const target_prober::answer& answer)
{
    if (m_finished)
        return;
    auto& engine = m_polledEngines[index];
    engine.report = answer.report;
    engine.alive = answer.alive;
    if (!answer.alive)
        recordFailedProbe(engine.target, answer);
    if (!--m_pendingPolls)
        onPollCompleted();
}

void exchange::recordFailedProbe(const target_entry& target, const target_prober::answer& answer)
{
    if (answer.isSilent()) {
        m_parts.absences.recordSilence({ target, m_caller.attempt, answer.problem, answer.sentAt, answer.due, true });
        return;
    }
    const auto now = m_parts.timers.now();
    const auto* current = m_parts.targetTracker.find(target.name);
    if (!current || current->startedAt != target.startedAt)
        return; // the target was registered anew while the probe was on its way
    m_parts.log.write("target_absent",
        { { "attempt", m_caller.attempt }, { "target", target.name.value() }, { "why", answer.problem },
            { "node_delay_ms", std::to_string(m_parts.timers.delay().count()) } });
    if (answer.failedHere())
        return;
    if (!answer.replaced) {
        m_parts.targetTracker.recordFault(target.name, target_fault::Unreachable, now);
        return;
    }
    m_parts.targetTracker.recordFault(target.name, target_fault::AddressReused, now);
    m_parts.onTargetsOutdated();
    if (answer.report)
        m_parts.replacements.find(target, answer.report->startedAt);
}

void exchange::onPollCompleted()
{
    // While the poll was running, targets may have been removed, started to drain or proved to be replaced.
    const auto unusable = [this](const polled_engine& engine) {
        return !engine.alive || !m_parts.targetTracker.takesRequests(engine.target.name, m_parts.timers.now());
    };
    for (const auto& engine : m_polledEngines) {
        if (unusable(engine))
            m_triedTargets.push_back(engine.target.name);
    }
    m_polledEngines.erase(
        std::remove_if(m_polledEngines.begin(), m_polledEngines.end(), unusable), m_polledEngines.end());
    const auto demand = makeGenerationDemand();
    const auto full = [&demand](const polled_engine& engine) {
        return !canAdmit(engine, demand) && !canAdmit(withoutLessUrgent(engine, demand), demand);
    };
    if (mayQueue() && !m_polledEngines.empty() && std::all_of(m_polledEngines.begin(), m_polledEngines.end(), full)) {
        m_parts.metrics.count("surveys_without_room");
        if (dropExposure()) {
            dispatch(); // a permit is not kept for later
        } else if (avoidedPaths().empty()) {
            waitInQueue();
        } else {
            m_usesLossyPaths = true; // a place on a lossy path is better than none
            dispatch();
        }
        return;
    }
    const auto chosen = chooseEngine(m_polledEngines, demand.total(), load_score_settings {});
    if (!chosen) {
        dispatch();
        return;
    }
    const auto engine = m_polledEngines[*chosen];
    m_prefilledAlone = expectedTimeToFirstEvent(engine, demand) == demand.prefillTime;
    const auto polledCount = m_polledEngines.size();
    sendWithPermit(engine.target); // the response to the poll may have named a limit
    if (m_link && m_target->name == engine.target.name)
        logEngineChoice(engine, demand, polledCount);
}

void exchange::logEngineChoice(const polled_engine& engine, const generation_demand& demand, std::size_t polledCount)
{
    if (!engine.report)
        return; // the log line of the response names the target
    m_parts.log.write("engine_chosen",
        { { "attempt", m_caller.attempt }, { "target", engine.target.name.value() },
            { "surveyed", std::to_string(polledCount) }, { "admitted", std::to_string(engine.report->admitted) },
            { "reading", std::to_string(engine.report->prefilling()) },
            { "queued", std::to_string(engine.report->queued) }, { "unreported", std::to_string(engine.ownUnreported) },
            { "copy_holder", m_copyHolder ? m_copyHolder->name.value() : "" },
            { "committed_tokens", std::to_string(committedTokens(engine, demand)) },
            { "expected_start_ms", std::to_string(expectedTimeToFirstEvent(engine, demand).count()) } });
}

generation_demand exchange::makeGenerationDemand() const
{
    generation_demand demand;
    demand.promptTokens = m_caller.promptTokens;
    if (m_route->kind == route_kind::Stream && m_table->hasSeveralObjectives(m_service))
        demand.priority = priorityClass();
    demand.outputTokens = m_caller.maxOutputTokens;
    demand.prefillTime = m_parts.prefillTimes.estimate(m_service, m_caller.promptTokens);
    demand.firstEventWithin = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::min(m_deadline, m_startedAt + m_route->objective) - m_parts.timers.now());
    return demand;
}

std::uint64_t exchange::estimatedRemainingEvents() const
{
    const auto tokens = m_caller.estimatedOutputTokens.value_or(m_caller.maxOutputTokens / 2);
    const auto events = tokens / m_table->rulesOf(m_service)->engine->tokensPerEvent;
    return events - std::min(events, m_lastEvent.value_or(0));
}

// A generation that cannot end in time only delays those that can. An early error lets its caller act sooner.
bool exchange::rejectIfDeadlineUnreachable()
{
    if (!isGeneration() || m_responseStarted)
        return false;
    const auto prefillTime = hasUsableCopy()
        ? std::chrono::milliseconds(0)
        : m_parts.prefillTimes.estimate(m_service, m_caller.promptTokens) / MinPrefillDivisor;
    if (remainingTime() >= prefillTime + m_parts.generationTimes.minTime(m_service, estimatedRemainingEvents()))
        return false;
    m_parts.metrics.count("hopeless_generations");
    failWith(m_history.mayHaveRun ? error_kind::TargetFailed : error_kind::NoTimeLeft,
        "the generation cannot end before its deadline");
    return true;
}

// The time that the request takes if the generation has the maximum length and the engine is slow.
std::chrono::milliseconds exchange::longestTime() const
{
    if (!isGeneration())
        return m_parts.responseTimes.patience(m_service, m_route->objective);
    const auto events = m_caller.maxOutputTokens / m_table->rulesOf(m_service)->engine->tokensPerEvent;
    return m_parts.prefillTimes.estimate(m_service, m_caller.promptTokens)
        + m_parts.generationTimes.maxTime(m_service, events - std::min(events, m_lastEvent.value_or(0)));
}

bool exchange::endsBefore(const stop_schedule& stop) const
{
    const auto now = m_parts.timers.now();
    if (m_deadline <= stop.cutFrom)
        return true;
    if (now >= stop.certainFrom)
        return false;
    // Another node can resume such a generation. Starting it here saves its caller a retry, unless the stop is near.
    const bool canMove
        = isGeneration() && m_route->resumable && m_table->rulesOf(m_service)->engine->supportsContinuousCopies;
    return now + longestTime() <= stop.cutFrom || (canMove && now + m_parts.settings.stopGrace / 2 <= stop.cutFrom);
}

// Rejects a request that has not run and might be cut off when this node stops, because another node can complete it.
bool exchange::rejectIfEndingAfterShutdown()
{
    const auto stop = m_parts.stopSchedule();
    if (!stop || m_history.mayHaveRun || m_responseStarted || endsBefore(*stop))
        return false;
    m_parts.metrics.count("requests_sent_elsewhere");
    failWith(
        error_kind::NodeDraining, "this node stops before the request can end", randomDelay(MaxRetryAfterElsewhere));
    return true;
}

void exchange::rejectIfWaitingAtShutdown()
{
    if (!m_finished && !m_link)
        rejectIfEndingAfterShutdown();
}

// A generation that was already started takes precedence over new ones: work was done for it, and its caller may have
// received a part of the response.
bool exchange::mayQueue() const
{
    return !m_attempts && !m_caller.lastEvent;
}

// After a longer wait, the first event would be late.
std::chrono::milliseconds exchange::maxQueueTime(const generation_demand& demand) const
{
    const auto latestUsefulWait
        = std::chrono::duration_cast<std::chrono::milliseconds>(demand.firstEventWithin * MaxQueueTimeShare)
        - demand.prefillTime;
    const auto minTime = m_parts.generationTimes.minTime(m_service, estimatedRemainingEvents());
    return std::min(std::max(latestUsefulWait, m_route->objective / MinQueueTimeDivisor), remainingTime() - minTime);
}

void exchange::waitInQueue()
{
    if (m_isScheduled) {
        m_isScheduled = false;
        m_parts.admissionQueue.notPlaced(m_service);
        return;
    }
    const auto demand = makeGenerationDemand();
    const auto queueTimeLimit = maxQueueTime(demand);
    const auto team = m_team ? m_team->name.value() : std::string(AnonymousTeam);
    queued_request waiting { { team_id(fleet_name("local"), team), m_caller.attempt }, queuePriorityOf(priorityClass()),
        static_cast<std::uint32_t>(demand.total()), m_parts.timers.now() + queueTimeLimit };
    m_parts.metrics.count("waits_for_place");
    m_parts.log.write("waits_for_place",
        { { "attempt", m_caller.attempt }, { "class", std::to_string(priorityClass()) },
            { "surveyed", std::to_string(m_polledEngines.size()) },
            { "patience_ms", std::to_string(queueTimeLimit.count()) } });
    const auto self = weak_from_this();
    m_queueNumber = m_parts.admissionQueue.enqueue(m_service, std::move(waiting),
        { [self] {
             if (const auto exchange = self.lock()) {
                 exchange->m_isScheduled = true;
                 exchange->m_usesLossyPaths = false;
                 exchange->dispatch();
             }
         },
            [self](const queue_refusal& refusal) {
                if (const auto exchange = self.lock()) {
                    exchange->m_queueNumber = 0;
                    exchange->failWith(error_kind::Overloaded, "no engine has a place in time", refusal.retryAfter);
                }
            } });
}

void exchange::leaveQueue()
{
    if (m_isScheduled)
        m_parts.admissionQueue.placed(m_service);
    else if (m_queueNumber)
        m_parts.admissionQueue.remove(m_service, m_queueNumber);
    m_isScheduled = false;
    m_queueNumber = 0;
}

} // namespace oriolepick
