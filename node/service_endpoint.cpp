#include "node/service_endpoint.h"

#include "core/fleet_state.h"
#include "core/idempotent_call.h"
#include "core/resume_admission.h"
#include "core/stable_hash.h"
#include "core/text.h"
#include "node/active_call.h"
#include "node/authenticator.h"
#include "node/call_driver.h"
#include "node/crash_guard.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/state_keeper.h"
#include "node/target_directory.h"
#include "node/target_limits.h"
#include "node/team_limits.h"
#include "node/trace_store.h"

#include <algorithm>
#include <future>
#include <variant>

namespace oriolepick {

namespace {

    constexpr std::size_t MaximumKeyBytes = 128;
    constexpr std::uint32_t RepeatableAttempts = 3;
    constexpr std::chrono::milliseconds RetryAfter { 500 };
    constexpr std::uint32_t BytesPerToken = 4; // a call's size in the unit of the teams' token limits

    bool validKey(const std::string& key)
    {
        return key.size() <= MaximumKeyBytes && std::all_of(key.begin(), key.end(), [](unsigned char character) {
            return character > ' ' && character < 127;
        });
    }

    call_answer answerOf(service_outcome&& outcome)
    {
        std::string type = "application/octet-stream";
        for (const auto& [name, value] : outcome.headers) {
            if (name == "Content-Type" || name == "content-type")
                type = value;
        }
        return { outcome.status, type, std::move(outcome.body), std::move(outcome.memory) };
    }

    /// Ends the count of an open request of a team.
    class limit_release {
    public:
        limit_release(team_limits& limits, team_id team)
            : m_limits(limits)
            , m_team(std::move(team))
        {
        }
        ~limit_release() { m_limits.release(m_team, 0, std::chrono::steady_clock::now()); }
        limit_release(const limit_release&) = delete;
        limit_release& operator=(const limit_release&) = delete;

    private:
        team_limits& m_limits;
        team_id m_team;
    };

} // namespace

service_endpoint::service_endpoint(std::string keyPrefix, const state_keeper& states, const authenticator& callers,
    call_driver& calls, service_client& services, target_directory& targets, crash_guard& crashes,
    target_limits& targetLimits, active_calls& active, team_limits& limits, resume_admission& retries,
    node_metrics& metrics, trace_store& traces)
    : m_keyPrefix(std::move(keyPrefix))
    , m_states(states)
    , m_callers(callers)
    , m_calls(calls)
    , m_services(services)
    , m_targets(targets)
    , m_crashes(crashes)
    , m_targetLimits(targetLimits)
    , m_active(active)
    , m_limits(limits)
    , m_retries(retries)
    , m_metrics(metrics)
    , m_traces(traces)
{
}

service_reply service_endpoint::call(const service_call& call)
{
    const auto team = m_callers.team(call.authorization);
    if (!team)
        return { team.error(), "unknown" };
    const auto fleet = team.value().fleet().value();
    if (!validKey(call.requestKey))
        return { error {
                     error_kind::BadRequest, "Idempotency-Key: at most 128 printable characters without spaces", {} },
            fleet };
    return { serve(call, team.value()), fleet };
}

call_reply service_endpoint::serve(const service_call& call, const team_id& team)
{
    const auto state = m_states.current();
    const auto service = state->resolveService(team.fleet(), call.service);
    if (!service)
        return error { error_kind::UnknownService,
            "service: \"" + call.service + "\" is not a service of fleet " + team.fleet().value(), {} };
    const auto* settings = state->service(*service);
    const auto* method = fleet_state::findMethod(*settings, call.method);
    if (!method)
        return error { error_kind::MethodNotAllowed,
            "method: " + call.method + " is not declared by " + service->text(), {} };
    const auto deadline = call.arrived + method->timeLimit;
    call_dispatch dispatch { *service, settings->targets, { call.method, call.path, {}, call.body }, {},
        fingerprintOf(concatenated(team.text(), " ", service->text()), call.method, call.path, call.body) };
    dispatch.timeouts.idle = method->timeLimit;
    dispatch.timeouts.total = method->timeLimit;
    if (!call.contentType.empty())
        dispatch.request.headers.emplace_back("Content-Type", call.contentType);
    const request_key key { team,
        call.requestKey.empty() ? m_keyPrefix + "-" + std::to_string(++m_counter) : call.requestKey };
    dispatch.request.headers.emplace_back("Idempotency-Key", key.text());
    const auto cost = static_cast<std::uint32_t>(call.body.size()) / BytesPerToken + 1;
    const auto admitted = m_limits.admit(team, cost, call.arrived);
    call_reply reply = admitted ? call_reply(call_answer {}) : call_reply(admitted.error());
    if (admitted) {
        const limit_release release(m_limits, team);
        reply = serveAdmitted(call, key, std::move(dispatch), *method, deadline);
    } else if (!method->idempotent) {
        reply = refuse(call, key, admitted.error());
    }
    count(team.fleet().value(), service->text(), reply, call.arrived);
    m_traces.record(key, std::chrono::system_clock::now(),
        "call service=" + service->text() + " method=" + call.method
            + (reply ? " status=" + std::to_string(reply.value().status)
                     : " code=" + std::string(errorResponseFor(reply.error().kind).code)));
    return reply;
}

call_reply service_endpoint::serveAdmitted(const service_call& call, const request_key& key, call_dispatch dispatch,
    const service_method& method, instant deadline)
{
    auto guarded = m_crashes.admit(dispatch.fingerprint);
    if (!guarded)
        return refuseForCrashes(call, key, method, guarded.error());
    auto reply = method.idempotent ? callRepeatable(key.team, dispatch, deadline)
                                   : callOnce(call, key, std::move(dispatch), deadline);
    m_crashes.finish(guarded.value(), reply.has_value());
    return reply;
}

call_reply service_endpoint::refuseForCrashes(
    const service_call& call, const request_key& key, const service_method& method, const error& reason)
{
    if (method.idempotent)
        return reason;
    // "Not run" has to be proved by the key's row; a quarantined request may have run under this key before.
    if (errorResponseFor(reason.kind).run == run_state::NotRun)
        return refuse(call, key, reason);
    if (!call.requestKey.empty()) {
        auto known = m_calls.lookUp(key);
        if (known)
            return known;
    }
    return reason;
}

call_reply service_endpoint::callRepeatable(const team_id& team, const call_dispatch& dispatch, instant deadline)
{
    idempotent_call machine(deadline, RepeatableAttempts, RetryAfter);
    auto actions = machine.start();
    for (;;) {
        if (actions.empty())
            actions = machine.timerFired(std::chrono::steady_clock::now());
        const auto action = actions.front();
        const auto now = std::chrono::steady_clock::now();
        if (const auto* answer = std::get_if<complete_idempotent_call>(&action)) {
            if (answer->reply)
                m_retries.recordSuccess(team, dispatch.service.text(), now);
            return answer->reply;
        }
        if (const auto* place = std::get_if<choose_idempotent_call_target>(&action)) {
            placement_query query;
            query.work = dispatch.service;
            query.priority = request_priority::Urgent;
            query.excluded = place->excluded;
            const auto chosen = m_targets.choose(query, dispatch.targets, 0, now);
            const auto* none = std::get_if<placement_failure>(&chosen);
            actions = none ? machine.noTarget(m_targetLimits.retryAfterRefusal(m_targets.addressesOf(dispatch.targets))
                                                  .value_or(none->retryAfter))
                           : machine.targetChosen(now, std::get<placed_target>(chosen).target);
            continue;
        }
        const auto& send = std::get<send_idempotent_attempt>(action);
        auto timeouts = dispatch.timeouts;
        timeouts.idle = std::max(
            std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
        timeouts.total = timeouts.idle;
        active_call active(m_active);
        const auto address = m_targets.addressOf(send.target);
        m_crashes.attemptStarted(dispatch.fingerprint, send.target, nullptr);
        auto outcome
            = address ? m_services.call(*address, dispatch.request, timeouts, active.handle()) : service_outcome {};
        if (outcome.kind == service_outcome_kind::MayHaveRun) {
            logWarning("call ended without a response",
                { { "service", dispatch.service.text() }, { "target", send.target.text() },
                    { "reason", outcome.detail } });
            m_crashes.callLost(send.target);
        }
        m_crashes.attemptEnded(dispatch.fingerprint, send.target, nullptr);
        const auto after = std::chrono::steady_clock::now();
        m_targets.recordFinished(send.target, 0, true, after);
        if (outcome.kind == service_outcome_kind::Response) {
            actions = machine.attemptAnswered(send.ordinal, answerOf(std::move(outcome)));
        } else if (outcome.kind == service_outcome_kind::NotSent) {
            if (!outcome.limited)
                m_targets.recordUnreachable(send.target);
            actions = machine.attemptNotSent(send.ordinal);
        } else {
            const bool allowed = !active.handle().aborted() && m_crashes.mayRepeat(dispatch.fingerprint)
                && m_retries.admit({ team, dispatch.service.text(), 0, false, false }, after).has_value();
            actions = machine.attemptBroken(send.ordinal, allowed);
        }
    }
}

call_reply service_endpoint::callOnce(
    const service_call& call, const request_key& key, call_dispatch dispatch, instant deadline)
{
    call_request request;
    request.key = key;
    request.callerSuppliedKey = !call.requestKey.empty();
    request.bodyDigest = stableHash(call.body, stableHash(call.path, stableHash(call.method)));
    request.arrival = std::chrono::system_clock::now();
    request.deadline = deadline;
    std::promise<call_reply> promise;
    m_calls.open(
        std::move(request), std::move(dispatch), [&promise](const call_reply& reply) { promise.set_value(reply); });
    return promise.get_future().get();
}

call_reply service_endpoint::refuse(const service_call& call, const request_key& key, const error& reason)
{
    // A key that the node made cannot have been used elsewhere, so the refusal needs no proof in the table.
    if (call.requestKey.empty())
        return reason;
    call_request request;
    request.key = key;
    request.bodyDigest = stableHash(call.body, stableHash(call.path, stableHash(call.method)));
    request.arrival = std::chrono::system_clock::now();
    request.deadline = call.arrived + std::chrono::seconds(5);
    std::promise<call_reply> promise;
    m_calls.refuse(std::move(request), reason, [&promise](const call_reply& reply) { promise.set_value(reply); });
    return promise.get_future().get();
}

call_reply service_endpoint::lookUp(const std::string& authorization, const std::string& key)
{
    const auto team = m_callers.team(authorization);
    if (!team)
        return team.error();
    if (key.empty() || !validKey(key))
        return error { error_kind::BadRequest, "key: at most 128 printable characters without spaces", {} };
    return m_calls.lookUp({ team.value(), key });
}

void service_endpoint::count(
    const std::string& fleet, const std::string& service, const call_reply& reply, instant arrived)
{
    std::string outcome = "answered";
    if (!reply)
        outcome = std::string(toString(errorResponseFor(reply.error().kind).run));
    m_metrics.add(counter_metric::Calls, { { "fleet", fleet }, { "service", service }, { "outcome", outcome } });
    m_metrics.observe(histogram_metric::CallTime, { { "fleet", fleet }, { "service", service } },
        std::chrono::steady_clock::now() - arrived);
}

} // namespace oriolepick
