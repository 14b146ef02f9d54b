/// \file
/// Places at targets for the attempts of an exchange: a request to an allocated service asks for a place instead of
/// choosing a target by itself.
#include "gateway/exchange.h"

#include "core/stable_hash.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/place_allocation.h"
#include "gateway/target_permits.h"
#include "routing/generation_time_estimator.h"
#include "routing/prefill_time_estimator.h"
#include "routing/response_time_estimator.h"
#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// A decision after this time counts as waited for: a message and its answer between zones take less.
    constexpr std::chrono::milliseconds MinWait { 10 };
    /// Of a request whose objective has passed: 0 would mean none.
    constexpr std::chrono::milliseconds MinObjective { 1 };
    /// A live engine responds within a round trip, as in polls.
    constexpr std::chrono::milliseconds GrantProbeTimeout { 60 };
    /// Granted targets in a row that take no requests, until the node chooses by itself.
    constexpr std::uint32_t MaxUnusablePlaces = 3;

    std::chrono::milliseconds since(instant then, instant now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
    }

    bool contains(const std::vector<target_name>& names, const target_name& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

} // namespace

// A stream that has begun takes precedence over new requests, so it is neither refused nor made to wait.
// \return whether the request waits for a decision, or was handled after one
bool exchange::askForPlace()
{
    if (m_placeRequest)
        return true;
    releaseUnsentPlace();
    if (m_decidesLocally || m_isExposed || m_responseStarted || m_caller.lastEvent
        || !m_parts.places.isAllocated(m_service))
        return false;
    const auto targets = m_parts.places.targetsOf(m_service);
    if (!areAllowedVersions(targets))
        return false; // allocators do not know which versions a rollout excludes
    if (m_unusablePlaces >= MaxUnusablePlaces) {
        decideLocally("unusable_places");
        return true;
    }
    auto excluded = targetsWithoutPlace();
    const bool isAnyLeft = std::any_of(
        targets.begin(), targets.end(), [&excluded](const target_name& target) { return !contains(excluded, target); });
    if (!isAnyLeft) {
        decideLocally("all_tried");
        return true;
    }
    m_polledEngines.clear();
    m_placeAskedAt = m_parts.timers.now();
    const auto number
        = m_parts.places.acquire(makePlaceDemand(std::move(excluded)), m_parts.dialect.requestHashOf(m_request).low,
            [self = weak_from_this()](const place_allocation::decision& decided, held_place place) {
                const auto exchange = self.lock();
                if (!exchange || exchange->m_finished)
                    return;
                exchange->m_placeRequest = 0;
                if (const auto* granted = std::get_if<place_granted>(&decided))
                    exchange->onPlaceGranted(granted->target, std::move(place));
                else if (const auto* refused = std::get_if<place_refused>(&decided))
                    exchange->onPlaceRefused(refused->retryAfter);
                else
                    exchange->decideLocally(
                        exchange->m_parts.timers.now() < exchange->m_placeAskedAt + std::chrono::milliseconds(1)
                            ? "no_allocator"
                            : "no_answer");
            });
    // After a decision before the return, another request may have been made.
    if (number)
        m_placeRequest = number;
    return true;
}

// The permit was denied, or the target takes no requests any more.
void exchange::releaseUnsentPlace()
{
    if (!m_place.isHeld())
        return;
    m_triedTargets.push_back(m_place.target());
    m_place.end(place_end::Completed);
    ++m_unusablePlaces;
    m_parts.metrics.count("places_unusable");
}

std::vector<target_name> exchange::targetsWithoutPlace() const
{
    auto excluded = m_triedTargets;
    if (!m_asksReceiversOnly)
        return excluded;
    excluded.clear();
    for (auto& target : m_parts.places.targetsOf(m_service)) {
        if (!contains(m_receivers, target) || !m_parts.targetTracker.takesRequests(target, m_parts.timers.now()))
            excluded.push_back(std::move(target));
    }
    return excluded;
}

place_demand exchange::makePlaceDemand(std::vector<target_name> excluded) const
{
    place_demand demand;
    demand.service = m_service;
    demand.rank = isGeneration() ? priorityClass() : priority();
    demand.team = m_team ? stableHash(m_team->name.value()) : 0;
    demand.latestStart = std::max(latestUsefulStart(), std::chrono::milliseconds(0));
    demand.objective = std::max(since(m_parts.timers.now(), m_startedAt + m_route->objective), MinObjective);
    if (isGeneration()) {
        const auto generation = makeGenerationDemand();
        demand.promptTokens = generation.promptTokens;
        demand.outputTokens = generation.outputTokens;
        demand.prefillTime = generation.prefillTime;
        // A caller that is refused early can return in time.
        demand.latestStart = std::clamp(maxQueueTime(generation), std::chrono::milliseconds(0), demand.latestStart);
    }
    demand.excluded = std::move(excluded);
    return demand;
}

// The allocator serves what can meet its objective first. What can't is still of use until the deadline, except for a
// request that goes on only because its objective allows it.
std::chrono::milliseconds exchange::latestUsefulStart() const
{
    if (isGeneration())
        return remainingTime() - m_parts.prefillTimes.estimate(m_service, m_caller.promptTokens)
            - m_parts.generationTimes.minTime(m_service, estimatedRemainingEvents());
    const auto now = m_parts.timers.now();
    const auto end = m_asksReceiversOnly ? std::min(m_deadline, m_startedAt + m_route->objective) : m_deadline;
    return since(now, end) - m_parts.responseTimes.patience(m_service, std::chrono::milliseconds(0));
}

void exchange::onPlaceGranted(const target_name& name, held_place place)
{
    const auto now = m_parts.timers.now();
    m_place = std::move(place);
    m_parts.metrics.count("places_granted");
    if (now >= m_placeAskedAt + MinWait) {
        m_parts.metrics.count("places_waited");
        m_parts.log.write("place_granted",
            { { "attempt", m_caller.attempt }, { "service", m_service.value() }, { "target", name.value() },
                { "waited_ms", std::to_string(since(m_placeAskedAt, now).count()) } });
    }
    const auto* target = m_parts.targetTracker.find(name);
    if (!target || !m_parts.targetTracker.takesRequests(name, now))
        dispatch(); // releases the place
    else if (isGeneration() && !m_parts.permits.isLimited(*target))
        probeGranted(target_entry(*target));
    else
        sendWithPermit(target_entry(*target));
}

// The account does not show that an engine has crashed since its last request. A probe finds it without using a retry.
void exchange::probeGranted(const target_entry& target)
{
    m_parts.prober.probe(target, GrantProbeTimeout, [self = weak_from_this(), target](const auto& answer) {
        const auto exchange = self.lock();
        if (!exchange || exchange->m_finished)
            return;
        if (answer.alive) {
            exchange->sendWithPermit(target);
            return;
        }
        exchange->recordFailedProbe(target, answer);
        exchange->m_place.end(place_end::Failed);
        exchange->m_triedTargets.push_back(target.name);
        ++exchange->m_unusablePlaces;
        exchange->dispatch();
    });
}

// Nothing is refused as not run that may have run: a retry after a lost attempt goes on as without allocators.
void exchange::onPlaceRefused(std::chrono::milliseconds retryAfter)
{
    if (m_history.mayHaveRun) {
        decideLocally("may_have_run");
        return;
    }
    m_parts.metrics.count("places_refused");
    m_parts.log.write("place_refused",
        { { "attempt", m_caller.attempt }, { "service", m_service.value() }, { "rank", std::to_string(priority()) },
            { "asked_ms", std::to_string(since(m_placeAskedAt, m_parts.timers.now()).count()) },
            { "retry_after_ms", std::to_string(retryAfter.count()) } });
    failWith(error_kind::Overloaded, "no target has a place in time", retryAfter);
}

void exchange::decideLocally(std::string_view reason)
{
    m_parts.metrics.count("places_decided_locally");
    m_parts.log.write("place_local",
        { { "attempt", m_caller.attempt }, { "service", m_service.value() }, { "why", std::string(reason) },
            { "node_delay_ms", std::to_string(m_parts.timers.delay().count()) } });
    if (m_asksReceiversOnly) {
        failWith(finalErrorKind(m_history), "no further target may be tried");
        return;
    }
    m_decidesLocally = true;
    dispatch();
}

void exchange::holdPlace(const target_entry& target)
{
    if (m_copyPlace.isAt(target.name))
        m_copyPlace.end(place_end::Completed); // the run goes on in the memory of its copy
    if (!m_place.isAt(target.name))
        m_place = m_parts.places.begin(m_service, target.name, isGeneration() ? m_caller.promptTokens : 0);
    m_decidesLocally = false;
    m_unusablePlaces = 0;
}

void exchange::recordEventAtPlace()
{
    if (!m_place.isHeld())
        return;
    m_place.recordPromptRead();
    if (!isGeneration())
        return;
    const auto heldTokens
        = m_caller.promptTokens + (m_eventsForwarded + 1) * m_table->rulesOf(m_service)->engine->tokensPerEvent;
    m_place.recordTokens(heldTokens);
    recordCopyAtPlace(heldTokens);
}

// A copy takes as much memory as its run. Without it, allocators fill engines that have no room left, which then
// preempt runs and refuse streams that move to their copy.
void exchange::recordCopyAtPlace(std::uint64_t heldTokens)
{
    if (!m_copyHolder || !m_route->resumable)
        m_copyPlace.end(place_end::Completed);
    else if (!m_copyPlace.isAt(m_copyHolder->name))
        m_copyPlace = m_parts.places.beginCopy(m_service, m_copyHolder->name, heldTokens);
    m_copyPlace.recordTokens(heldTokens);
}

// The route limits the targets that may receive a request, not how often one of them may refuse it.
bool exchange::mayAskReceiversAgain(attempt_outcome attemptOutcome) const
{
    return attemptOutcome == attempt_outcome::NotRun && !m_history.mayHaveRun && !m_responseStarted
        && !m_receivers.empty() && !isGeneration() && m_parts.places.isAllocated(m_service)
        && m_parts.timers.now() < std::min(m_startedAt + m_route->objective, m_deadline);
}

} // namespace oriolepick
