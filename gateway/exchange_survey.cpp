/// \file
/// Choice of an engine for a generation: the holder of its copy, or the best of a few that are asked for their load.
#include "gateway/exchange.h"

#include "gateway/answer_sink.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/place_line.h"
#include "gateway/replacement_finder.h"
#include "gateway/run_handover.h"
#include "routing/generation_time_estimator.h"
#include "routing/prefill_time_estimator.h"
#include "routing/route_table.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Engines asked before a generation: three random ones are rarely all busy, each further one adds little.
    constexpr std::size_t SurveyedEngines = 3;
    /// A live engine answers within a round trip; a lost packet is not worth waiting for.
    constexpr std::chrono::milliseconds SurveyPatience { 60 };
    /// Age of what engines report.
    constexpr std::chrono::milliseconds ReportLag { 300 };
    /// Of the time until a first event is late, how much may pass before its prompt has been read.
    constexpr double LongestWaitShare = 0.8;
    /// Part of the objective for which a request waits at least, when engines are too slow for the objective anyway.
    constexpr int ShortestWaitPart = 8;
    /// Part of the usual time for a prompt that none falls below: half of it may be cached, or the engine be fast.
    constexpr int ReadingPart = 3;
    /// Callers that this node sends elsewhere return at once, only not all together.
    constexpr std::chrono::milliseconds LongestReturnElsewhere { 100 };
    /// Team of requests that need no key.
    constexpr std::string_view AnonymousTeam = "anonymous";

    request_priority priorityOf(std::uint32_t rank)
    {
        switch (rank) {
        case 0:
            return request_priority::Urgent;
        case 1:
            return request_priority::Normal;
        default:
            return request_priority::Bulk;
        }
    }

} // namespace

bool exchange::hasUsableCopy() const
{
    return m_copy && m_copyHolder && m_parts.targetTracker.canResumeAt(*m_copyHolder, m_parts.timers.now());
}

// The caller had a part of the stream at another node, which may be gone: its run may go on from its copy.
void exchange::findCopy()
{
    m_parts.handover.find(
        m_parts.dialect.printOf(m_request), [self = weak_from_this()](const std::optional<run_record>& record) {
            const auto exchange = self.lock();
            if (!exchange || exchange->m_over)
                return;
            const auto* holder = record ? exchange->m_parts.targetTracker.find(record->holder) : nullptr;
            if (holder) {
                exchange->m_copyHolder = *holder;
                exchange->m_copy = record->copy;
                exchange->m_parts.handover.take(*record);
            }
            exchange->dispatch();
        });
}

// Other nodes learn where the copy lies as soon as the caller has anything to go on from.
void exchange::publishRun()
{
    if (!m_copyHolder)
        return;
    m_publishedAttempt = m_attempts;
    const auto copy = m_orderedCopy ? *m_orderedCopy : run_copy { m_copyHolder->address, m_caller.attempt };
    m_parts.handover.publish({ m_parts.dialect.printOf(m_request), {}, m_caller.attempt, m_copyHolder->name, copy,
                                 m_caller.lastEvent.has_value() },
        [self = weak_from_this()] {
            const auto exchange = self.lock();
            if (!exchange || exchange->m_over)
                return;
            exchange->m_sink->breakOff();
            exchange->finish("taken_over");
        });
}

// A holder that crashed meanwhile would refuse the request: that is known sooner and costs no repeat when it is asked.
void exchange::askCopyHolder(const target_entry& holder)
{
    m_parts.prober.probe(
        holder, SurveyPatience, [self = weak_from_this(), holder](const target_prober::answer& answer) {
            const auto exchange = self.lock();
            if (!exchange || exchange->m_over)
                return;
            if (answer.alive && exchange->hasUsableCopy()) {
                exchange->send(holder);
                return;
            }
            if (!answer.alive)
                exchange->recordAbsence(holder, answer);
            exchange->m_copy.reset();
            exchange->dispatch();
        });
}

// Asks a few engines for their load: other nodes send to them too, and prompts read side by side delay each other.
// The zone of this node is not preferred: after the loss of a zone all its nodes would choose the one engine left
// there.
bool exchange::survey()
{
    if (!isGeneration())
        return false;
    if (mayBeMadeToWait() && !m_hasTurn && m_parts.admissionQueue.hasWaiting(m_service)) {
        waitForPlace();
        return true;
    }
    const target_query wish { m_service, std::nullopt, m_tried, m_lostZone };
    const auto now = m_parts.timers.now();
    m_survey.clear();
    for (auto& target : m_parts.targetTracker.candidates(wish, SurveyedEngines, now)) {
        const auto unreported = m_parts.targetTracker.attemptsSince(target.name, now - ReportLag);
        m_survey.push_back({ std::move(target), false, std::nullopt, unreported });
    }
    if (m_survey.empty())
        return false;
    m_surveyPending = m_survey.size();
    for (std::size_t index = 0; index < m_survey.size(); ++index) {
        m_parts.prober.probe(m_survey[index].target, SurveyPatience,
            [self = weak_from_this(), index](const target_prober::answer& answer) {
                if (const auto exchange = self.lock())
                    exchange->onSurveyAnswer(index, answer);
            });
    }
    return true;
}

void exchange::onSurveyAnswer(std::size_t index, const target_prober::answer& answer)
{
    if (m_over)
        return;
    auto& engine = m_survey[index];
    engine.report = answer.report;
    engine.alive = answer.alive;
    if (!answer.alive)
        recordAbsence(engine.target, answer);
    if (!--m_surveyPending)
        onSurveyed();
}

void exchange::recordAbsence(const target_entry& target, const target_prober::answer& answer)
{
    const auto now = m_parts.timers.now();
    m_parts.log.write("target_absent",
        { { "attempt", m_caller.attempt }, { "target", target.name.value() },
            { "why", answer.replaced ? "replaced" : "no answer" } });
    if (!answer.replaced) {
        m_parts.targetTracker.recordFault(target.name, target_fault::Unreachable, now);
        return;
    }
    m_parts.targetTracker.recordFault(target.name, target_fault::AddressReused, now);
    m_parts.onTargetsOutdated();
    if (answer.report)
        m_parts.replacements.find(target, answer.report->startedAt);
}

void exchange::onSurveyed()
{
    // The survey took a moment: targets may have left, begun to drain or turned out to be others.
    const auto unusable = [this](const polled_engine& engine) {
        return !engine.alive || !m_parts.targetTracker.takesRequests(engine.target.name, m_parts.timers.now());
    };
    for (const auto& engine : m_survey) {
        if (unusable(engine))
            m_tried.push_back(engine.target.name);
    }
    m_survey.erase(std::remove_if(m_survey.begin(), m_survey.end(), unusable), m_survey.end());
    const auto need = generationNeed();
    const auto full = [&need](const polled_engine& engine) { return !canAdmit(engine, need); };
    if (mayBeMadeToWait() && !m_survey.empty() && std::all_of(m_survey.begin(), m_survey.end(), full)) {
        m_parts.metrics.count("surveys_without_room");
        waitForPlace();
        return;
    }
    const auto chosen = chooseEngine(m_survey, need.total(), load_score_settings {});
    if (!chosen) {
        dispatch();
        return;
    }
    const auto engine = m_survey[*chosen];
    m_readAlone = expectedTimeToFirstEvent(engine, need) == need.prefillTime;
    const auto surveyed = m_survey.size();
    send(engine.target);
    logChoice(engine, need, surveyed);
}

void exchange::logChoice(const polled_engine& engine, const generation_demand& need, std::size_t surveyed)
{
    if (!engine.report)
        return; // the answer's line names the target
    m_parts.log.write("engine_chosen",
        { { "attempt", m_caller.attempt }, { "target", engine.target.name.value() },
            { "surveyed", std::to_string(surveyed) }, { "admitted", std::to_string(engine.report->admitted) },
            { "reading", std::to_string(engine.report->prefilling()) },
            { "queued", std::to_string(engine.report->queued) }, { "unreported", std::to_string(engine.ownUnreported) },
            { "copy_holder", m_copyHolder ? m_copyHolder->name.value() : "" },
            { "committed_tokens", std::to_string(committedTokens(engine, need)) },
            { "expected_start_ms", std::to_string(expectedTimeToFirstEvent(engine, need).count()) } });
}

generation_demand exchange::generationNeed() const
{
    generation_demand need;
    need.promptTokens = m_caller.promptTokens;
    need.outputTokens = m_caller.maxOutputTokens;
    need.prefillTime = m_parts.prefillTimes.estimate(m_service, m_caller.promptTokens);
    need.firstEventWithin = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::min(m_deadline, m_startedAt + m_route->objective) - m_parts.timers.now());
    return need;
}

std::uint64_t exchange::likelyEventsLeft() const
{
    const auto tokens = m_caller.likelyOutputTokens.value_or(m_caller.maxOutputTokens / 2);
    const auto events = tokens / m_table->rulesOf(m_service)->engine->tokensPerEvent;
    return events - std::min(events, m_lastEvent.value_or(0));
}

// A generation that cannot end in time only delays those that can, and its caller can do something else meanwhile.
bool exchange::refuseHopeless()
{
    if (!isGeneration() || m_answerBegun)
        return false;
    const auto prefillTime = hasUsableCopy()
        ? std::chrono::milliseconds(0)
        : m_parts.prefillTimes.estimate(m_service, m_caller.promptTokens) / ReadingPart;
    if (remaining() >= prefillTime + m_parts.generationTimes.minTime(m_service, likelyEventsLeft()))
        return false;
    m_parts.metrics.count("hopeless_generations");
    refuse(m_history.mayHaveRun ? error_kind::TargetFailed : error_kind::NoTimeLeft,
        "the generation cannot end before its deadline");
    return true;
}

// Another node can bring it to its end; here it would be cut off halfway. One that another node can go on with is begun
// here: that costs its caller no return.
bool exchange::refuseWhileStopping()
{
    const auto stopsAt = m_parts.stopsAt();
    if (!stopsAt || !isGeneration())
        return false;
    if (m_route->resumable && m_table->rulesOf(m_service)->engine->supportsContinuousCopies)
        return false;
    const auto expectedTime = m_parts.prefillTimes.estimate(m_service, m_caller.promptTokens)
        + m_parts.generationTimes.expectedTime(m_service, likelyEventsLeft());
    if (m_parts.timers.now() + expectedTime <= *stopsAt)
        return false;
    m_parts.metrics.count("generations_sent_elsewhere");
    refuse(error_kind::NodeDraining, "this node stops before the generation can end", spread(LongestReturnElsewhere));
    return true;
}

// A generation that was begun goes on before new ones: work was done for it, and its caller may have a part already.
bool exchange::mayBeMadeToWait() const
{
    return !m_attempts && !m_caller.lastEvent;
}

void exchange::waitForPlace()
{
    if (m_hasTurn) {
        m_hasTurn = false;
        m_parts.admissionQueue.foundNone(m_service);
        return;
    }
    const auto need = generationNeed();
    const auto inTime = std::chrono::duration_cast<std::chrono::milliseconds>(need.firstEventWithin * LongestWaitShare)
        - need.prefillTime;
    const auto minTime = m_parts.generationTimes.minTime(m_service, likelyEventsLeft());
    const auto patience = std::min(std::max(inTime, m_route->objective / ShortestWaitPart), remaining() - minTime);
    const auto team = m_team ? m_team->name.value() : std::string(AnonymousTeam);
    queued_request waiting { { team_id(fleet_name("local"), team), m_caller.attempt }, priorityOf(priority()),
        static_cast<std::uint32_t>(need.total()), m_parts.timers.now() + patience };
    m_parts.metrics.count("waits_for_place");
    m_parts.log.write("waits_for_place",
        { { "attempt", m_caller.attempt }, { "surveyed", std::to_string(m_survey.size()) },
            { "patience_ms", std::to_string(patience.count()) } });
    const auto self = weak_from_this();
    m_placeInLine = m_parts.admissionQueue.join(m_service, std::move(waiting),
        { [self] {
             if (const auto exchange = self.lock()) {
                 exchange->m_hasTurn = true;
                 exchange->dispatch();
             }
         },
            [self](const queue_refusal& refusal) {
                if (const auto exchange = self.lock()) {
                    exchange->m_placeInLine = 0;
                    exchange->refuse(error_kind::Overloaded, "no engine has a place in time", refusal.retryAfter);
                }
            } });
}

void exchange::leaveLine()
{
    if (m_hasTurn)
        m_parts.admissionQueue.placed(m_service);
    else if (m_placeInLine)
        m_parts.admissionQueue.leave(m_service, m_placeInLine);
    m_hasTurn = false;
    m_placeInLine = 0;
}

} // namespace oriolepick
