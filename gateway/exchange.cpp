/// \file
/// Routing, deadline and final response of an exchange. Attempts are in exchange_attempts.cpp, the choice of engines in
/// exchange_engine_choice.cpp, places at targets in exchange_placement.cpp, responses of targets in
/// exchange_responses.cpp, streams in exchange_stream.cpp.
#include "gateway/exchange.h"

#include "core/seeded_random.h"
#include "core/text.h"
#include "gateway/active_config.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/http_error_response.h"
#include "gateway/place_allocation.h"
#include "gateway/response_sink.h"
#include "gateway/run_copy_client.h"
#include "gateway/run_handover.h"
#include "gateway/stream_stall_settings.h"
#include "gateway/target_permits.h"
#include "routing/node_retry_budget.h"
#include "routing/route_table.h"
#include "routing/target_tracker.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Classes by objective within one priority, so that the ten classes of engines cover priorities 0 to 2.
    constexpr std::uint32_t ClassesPerPriority = 3;

    /// Failures have short texts. Longer ones are not kept beside the next attempt.
    constexpr std::size_t MaxKeptFailureBytes = 4'096;

    std::string_view nameOf(const route* route)
    {
        if (!route)
            return "none";
        switch (route->kind) {
        case route_kind::Repeatable:
            return "repeatable";
        case route_kind::RunsOnce:
            return "runs_once";
        case route_kind::Stream:
            break;
        }
        return "stream";
    }

    std::chrono::milliseconds since(instant then, instant now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
    }

} // namespace

exchange::exchange(const gateway_parts& parts, http_request request, response_sink& sink)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_sink(&sink)
    , m_startedAt(parts.timers.now())
    , m_responseMemory(parts.memory)
    , m_stall(stall_settings {})
{
}

exchange::~exchange()
{
    cancel();
}

void exchange::start()
{
    if (!decode() || !admit())
        return;
    m_parts.retryBudget.recordRequest(m_service, m_startedAt);
    m_deadlineTimer = m_parts.timers.at(m_deadline, [self = weak_from_this()] {
        if (const auto exchange = self.lock()) {
            exchange->m_deadlineTimer = 0;
            exchange->onDeadline();
        }
    });
    if (m_caller.lastEvent && m_route->resumable && isGeneration())
        findRunCopy();
    else
        dispatch();
}

bool exchange::decode()
{
    auto decoded = m_parts.dialect.readRequest(m_request);
    if (!decoded) {
        failWith(decoded.error().kind, decoded.error().message);
        return false;
    }
    m_caller = std::move(decoded.value());
    m_lastEvent = m_caller.lastEvent;
    return true;
}

bool exchange::admit()
{
    m_table = m_parts.config.table();
    if (!m_table) {
        failWith(error_kind::NodeNotReady, "no configuration is known yet");
        return false;
    }
    m_route = m_table->find(m_caller.host, m_request.path());
    if (!m_route) {
        failWith(error_kind::UnknownService, "no route matches host and path");
        return false;
    }
    if (m_table->config().teamsDeclared && !m_route->anonymous) {
        m_team = m_caller.key ? m_table->teamOf(*m_caller.key) : nullptr;
        if (!m_team) {
            failWith(error_kind::Unauthorized, "the key belongs to no team");
            return false;
        }
    }
    m_suspect.request = fingerprintOf(m_team ? m_team->name.value() : m_caller.key.value_or(std::string()),
        m_request.method, m_request.target, m_request.body);
    for (const auto& part : m_caller.sharedParts)
        m_suspect.parts.push_back(partFingerprintOf(m_caller.model, part));
    m_service = route_table::chooseService(*m_route, m_parts.random.unit());
    m_deadline = m_startedAt + m_route->timeout;
    if (m_caller.patience)
        m_deadline = std::min(m_deadline, m_startedAt + *m_caller.patience);
    m_history.mayRepeat = m_route->mayRepeat();
    m_history.maxTargets = m_route->maxTargets;
    if (m_route->longestGap.count())
        m_stall = stall_detector(streamStallSettings(m_route->longestGap));
    return true;
}

std::chrono::milliseconds exchange::remainingTime() const
{
    return since(m_parts.timers.now(), m_deadline);
}

// Identifies the request in the logs of all nodes, independent of the attempt.
std::string exchange::fingerprintText() const
{
    return hexadecimal(m_suspect.request);
}

// Identifies the parts of the prompt that other requests share.
std::string exchange::sharedPartsText() const
{
    std::string text;
    for (const auto& part : m_caller.sharedParts)
        append(text, text.empty() ? "" : ",", part);
    return text;
}

// A request keeps the configuration that routed it; a newer one may be active when it ends.
std::uint64_t exchange::routedByVersion() const
{
    return m_table ? m_table->config().version : 0;
}

std::uint32_t exchange::priority() const
{
    return m_team && m_team->priority ? *m_team->priority : m_route->priority;
}

// Streams of the same priority are ordered by their objectives: the one that is late first has less time to wait.
std::uint32_t exchange::priorityClass() const
{
    return ClassesPerPriority * priority()
        + std::min(m_table->objectiveRank(*m_route, m_service), ClassesPerPriority - 1);
}

void exchange::onDeadline()
{
    if (m_finished)
        return;
    recordVersionWait(m_route->objective);
    const bool sent = m_history.mayHaveRun || m_sent;
    m_history.mayHaveRun = sent;
    failWith(sent ? error_kind::DeadlineExceeded : error_kind::Overloaded, "the time for an answer is over");
}

void exchange::failWith(error_kind kind, std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter)
{
    if (m_finished)
        return;
    if (kind == error_kind::TargetFailed && m_targetFailure && !m_responseStarted) {
        m_head = std::move(m_targetFailure->head);
        m_body = std::move(m_targetFailure->body);
        deliverResponse();
        return;
    }
    const auto outcome = errorResponseFor(kind).code;
    if (m_responseStarted) {
        m_parts.log.write("stream_broken_off",
            { { "attempt", m_caller.attempt }, { "why", std::string(reason) },
                { "last_event", m_lastEvent ? std::to_string(*m_lastEvent) : "none" } });
        m_sink->abortResponse();
        finish(outcome);
        return;
    }
    const auto response = makeErrorResponse(kind, reason, m_parts.random, retryAfter);
    m_parts.log.write("refused",
        { { "attempt", m_caller.attempt }, { "request", fingerprintText() }, { "code", std::string(outcome) },
            { "why", std::string(reason) }, { "attempts", std::to_string(m_attempts) },
            { "config_version", std::to_string(m_parts.config.version()) },
            { "routed_by_version", std::to_string(routedByVersion()) },
            { "usable_targets",
                std::to_string(m_parts.targetTracker.usableTargets(m_service, m_parts.timers.now())) } });
    m_sink->sendResponse(response.head, response.body);
    finish(outcome);
}

void exchange::deliverResponse()
{
    m_sink->sendResponse(m_head, m_body);
    finish("answered");
}

// The answer of a target says more to the caller than that no other target could be reached.
void exchange::keepTargetFailure()
{
    if (!m_responseStarted && m_body.size() <= MaxKeptFailureBytes)
        m_targetFailure = target_failure { m_head, m_body };
}

void exchange::finish(std::string_view outcome)
{
    if (m_finished)
        return;
    m_finished = true;
    const auto now = m_parts.timers.now();
    m_parts.metrics.countAnswer(nameOf(m_route), outcome, since(m_startedAt, now));
    m_parts.log.write("answer",
        { { "attempt", m_caller.attempt }, { "route", m_route ? m_route->name : "" },
            { "target", m_target ? m_target->name.value() : "" }, { "outcome", std::string(outcome) },
            { "status", std::to_string(m_head.status) }, { "attempts", std::to_string(m_attempts) },
            { "target_limit", m_reply.requestLimit ? std::to_string(*m_reply.requestLimit) : "none" },
            { "config_version", std::to_string(m_parts.config.version()) },
            { "routed_by_version", std::to_string(routedByVersion()) },
            { "config_age_ms", std::to_string(since(m_parts.config.since(), now).count()) },
            { "ms", std::to_string(since(m_startedAt, now).count()) } });
    m_sink = nullptr;
    cancel();
}

void exchange::abortForShutdown()
{
    if (m_finished)
        return;
    if (!m_responseStarted) {
        const bool sent = m_history.mayHaveRun || m_sent;
        failWith(sent ? error_kind::OutcomeUnknown : error_kind::NodeDraining, "this node stops");
        return;
    }
    m_parts.log.write("cut_by_stop",
        { { "attempt", m_caller.attempt }, { "last_event", m_lastEvent ? std::to_string(*m_lastEvent) : "none" },
            { "copy_holder", m_copyHolder ? m_copyHolder->name.value() : "" } });
    m_sink->abortResponse();
    finish("cut_by_stop");
}

void exchange::cancel()
{
    if (!m_finished && m_sink) {
        if (m_route)
            recordVersionWait(m_route->objective); // the caller gave up on a late response
        m_finished = true;
        m_parts.metrics.countAnswer(nameOf(m_route), "cancelled", since(m_startedAt, m_parts.timers.now()));
        m_parts.log.write("caller_left",
            { { "attempt", m_caller.attempt }, { "target", m_target ? m_target->name.value() : "" },
                { "attempts", std::to_string(m_attempts) } });
    }
    m_finished = true;
    m_sink = nullptr;
    // A copy that is not released expires.
    const bool mayRelease = m_target && !m_parts.permits.isLimited(*m_target)
        && !m_parts.targetTracker.isPaused(m_target->name, m_parts.timers.now());
    if (m_requestedCopy && mayRelease)
        m_parts.copies.releaseCopy(m_requestedCopy->address, m_requestedCopy->name);
    m_requestedCopy.reset();
    m_parts.timers.cancel(m_deadlineTimer);
    m_parts.timers.cancel(m_waitTimer);
    if (m_publishedAttempt)
        m_parts.handover.withdraw(m_caller.attempt);
    leaveQueue();
    m_parts.places.cancel(std::exchange(m_placeRequest, 0));
    endAttempt();
}

} // namespace oriolepick
