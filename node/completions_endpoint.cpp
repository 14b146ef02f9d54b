#include "node/completions_endpoint.h"

#include "core/fleet_state.h"
#include "core/resume_policy.h"
#include "core/stable_hash.h"
#include "node/authenticator.h"
#include "node/completion_request.h"
#include "node/cursor_codec.h"
#include "node/gate_pass.h"
#include "node/generation_gate.h"
#include "node/state_keeper.h"
#include "node/target_directory.h"
#include "node/team_limits.h"
#include "targets/prompt_blocks.h"

#include <algorithm>
#include <random>

namespace oriolepick {

namespace {

    constexpr std::size_t MaximumKeyBytes = 128;

    std::uint64_t wallMilliseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    bool validKey(const std::string& key)
    {
        return key.size() <= MaximumKeyBytes && std::all_of(key.begin(), key.end(), [](unsigned char character) {
            return character > ' ' && character < 127;
        });
    }

    std::uint64_t randomSeed()
    {
        thread_local std::mt19937_64 generator { std::random_device {}() };
        return generator() >> 1;
    }

} // namespace

struct completions_endpoint::resolved_call {
    std::shared_ptr<const fleet_state> state;
    team_id team;
    deployment_id deployment;
    const deployment_settings* settings = nullptr;
    cursor base; ///< the fields of the cursor that stay the same
    std::optional<resume_point> resume;
};

completions_endpoint::completions_endpoint(std::string originPrefix, const state_keeper& states,
    const authenticator& callers, const cursor_codec& cursors, std::chrono::seconds cursorLifetime,
    const session_services& services, team_limits& limits, generation_gate& gate)
    : m_originPrefix(std::move(originPrefix))
    , m_states(states)
    , m_callers(callers)
    , m_cursors(cursors)
    , m_cursorLifetime(cursorLifetime)
    , m_services(services)
    , m_limits(limits)
    , m_gate(gate)
    , m_latencyFirst(makeResumePolicy("latency_first"))
    , m_waiting(makeResumePolicy("waiting"))
{
}

completions_endpoint::~completions_endpoint() = default;

result<opened_completion> completions_endpoint::open(const completion_call& call)
{
    const auto team = m_callers.team(call.authorization);
    if (!team)
        return team.error();
    if (!validKey(call.requestKey))
        return error { error_kind::BadRequest, "Idempotency-Key: at most 128 printable characters without spaces", {} };
    const auto request = parseCompletionRequest(call.body);
    if (!request)
        return request.error();
    resolved_call resolved;
    resolved.state = m_states.current();
    resolved.team = team.value();
    const auto outcome = call.lastEventId.empty() ? resolveNew(request.value(), resolved)
                                                  : resolveCursor(call, request.value(), resolved);
    if (!outcome)
        return outcome.error();
    if (resolved.base.key.key.empty())
        resolved.base.key = { resolved.team, call.requestKey.empty() ? "gen-" + nextOrigin() : call.requestKey };
    const auto* policySettings = resolved.state->policy(resolved.deployment.fleet(), resolved.settings->resumePolicy);
    const bool waits = policySettings && policySettings->strategy == resume_strategy::Waiting;
    auto session = sessionFor(request.value(), resolved, call);
    session.latencyWeight = waits ? 0 : 1;
    const auto admitted = admit(session, call);
    if (!admitted)
        return admitted.error();
    opened_completion opened;
    opened.streamed = request.value().stream;
    opened.stream = std::make_unique<completion_stream>(
        std::make_unique<generation_session>(std::move(session), waits ? *m_waiting : *m_latencyFirst, m_services),
        resolved.base, m_cursors, m_cursorLifetime, request.value().model);
    return opened;
}

result<void> completions_endpoint::resolveNew(const completion_request& request, resolved_call& resolved) const
{
    const auto deployment = resolved.state->resolveDeployment(resolved.team.fleet(), request.model);
    if (!deployment) {
        return error { error_kind::UnknownModel,
            "model: \"" + request.model + "\" is not a deployment of fleet " + resolved.team.fleet().value(), {} };
    }
    resolved.deployment = *deployment;
    resolved.settings = resolved.state->deployment(*deployment);
    resolved.base.deployment = *deployment;
    resolved.base.model = versionInService(*resolved.settings);
    resolved.base.seed = request.seed.value_or(randomSeed());
    resolved.base.promptDigest = stableHash(request.prompt);
    resolved.base.maximumTokens = request.maximumTokens;
    resolved.base.readerEpoch = wallMilliseconds();
    return success();
}

model_ref completions_endpoint::versionInService(const deployment_settings& settings) const
{
    auto wanted = settings.servedModel();
    const auto versions = m_services.targets.versionsOf(wanted, settings.targets);
    // While a ticket's new version is being loaded, requests are spread over both versions by their places. Only new
    // requests choose: a stream keeps the version that it began with.
    std::size_t places = 0;
    for (const auto& version : versions)
        places += version.places;
    if (!places)
        return wanted;
    auto chosen = randomSeed() % places;
    for (const auto& version : versions) {
        if (chosen < version.places)
            return version.model;
        chosen -= version.places;
    }
    return wanted;
}

result<void> completions_endpoint::resolveCursor(
    const completion_call& call, const completion_request& request, resolved_call& resolved) const
{
    const auto decoded = m_cursors.decode(call.lastEventId, std::chrono::system_clock::now());
    if (!decoded)
        return decoded.error();
    const auto& point = decoded.value();
    if (point.key.team != resolved.team)
        return error { error_kind::CursorInvalid, "Last-Event-ID: the cursor belongs to another team", {} };
    if (!call.requestKey.empty() && call.requestKey != point.key.key)
        return error { error_kind::CursorInvalid, "Last-Event-ID: the cursor belongs to another request key", {} };
    if (point.promptDigest != stableHash(request.prompt))
        return error { error_kind::CursorInvalid, "prompt: differs from the prompt of the cursor's request", {} };
    resolved.deployment = point.deployment;
    resolved.settings = resolved.state->deploymentForStream(point.deployment);
    if (!resolved.settings)
        return error { error_kind::GenerationLost, "the deployment " + point.deployment.text() + " was retired", {} };
    resolved.base = point;
    // A reader that takes over must have a higher epoch than the one it replaces, also after several takeovers.
    resolved.base.readerEpoch = std::max(point.readerEpoch + 1, wallMilliseconds());
    resume_point resume;
    resume.attempt = point.attempt;
    resume.target = point.target;
    resume.position = point.nextPosition;
    resume.digest = point.answerDigest;
    resume.receivedTokens = request.receivedTokens;
    resolved.resume = std::move(resume);
    return success();
}

session_request completions_endpoint::sessionFor(
    const completion_request& request, const resolved_call& resolved, const completion_call& call)
{
    session_request session;
    session.generation.key = resolved.base.key;
    session.generation.attemptOrigin = nextOrigin();
    session.generation.model = resolved.base.model;
    session.generation.targetGroup = resolved.deployment.text();
    session.generation.promptTokens = promptTokens(request.prompt);
    session.generation.maxTokens = resolved.base.maximumTokens;
    if (request.deadline)
        session.generation.deadline = call.arrived + *request.deadline;
    session.generation.resume = resolved.resume;
    session.deployment = resolved.deployment;
    session.allowedTargets = resolved.settings->targets;
    session.prompt = request.prompt;
    session.seed = resolved.base.seed;
    const auto& range = resolved.settings->priorities;
    session.priority = std::clamp(request.priority.value_or(range.defaultPriority), range.lowest, range.highest);
    if (const auto* team = resolved.state->team(resolved.team))
        session.priority = std::min(session.priority, team->highestPriority);
    session.readerEpoch = resolved.base.readerEpoch;
    session.arrived = call.arrived;
    return session;
}

result<void> completions_endpoint::admit(session_request& session, const completion_call& call)
{
    const auto& team = session.generation.key.team;
    const bool resumed = session.generation.resume.has_value();
    const auto tokens = session.generation.promptTokens + session.generation.maxTokens;
    // A resumed stream was admitted and charged before.
    const auto reserved = resumed ? 0 : tokens;
    auto limited = m_limits.admit(team, reserved, call.arrived);
    if (!limited)
        return limited;
    session.permit = std::make_unique<request_permit>(m_limits, team, reserved);
    auto guarded = m_services.crashes.admit(fingerprintOf(session.generation.model, session.prompt),
        sharedPartsOf(session.generation.model, session.prompt));
    if (!guarded)
        return guarded.error();
    session.guarded = std::move(guarded.value());
    gate_request request;
    request.deployment = session.deployment;
    request.targets = session.allowedTargets;
    request.key = session.generation.key;
    request.priority = placementPriority(session.priority);
    request.cost = tokens;
    request.deadline = session.generation.deadline;
    request.resumed = resumed;
    auto pass = m_gate.enter(request);
    if (!pass) {
        m_services.crashes.finish(session.guarded, false);
        return pass.error();
    }
    session.permit->setPass(std::move(pass.value()));
    return success();
}

std::string completions_endpoint::nextOrigin()
{
    return m_originPrefix + "-" + std::to_string(++m_counter);
}

} // namespace oriolepick
