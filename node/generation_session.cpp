#include "node/generation_session.h"

#include "node/event_channel.h"
#include "node/generation_names.h"
#include "node/node_metrics.h"
#include "node/node_status.h"
#include "node/target_directory.h"
#include "node/task_pool.h"
#include "node/trace_store.h"
#include "targets/engine_client.h"
#include "targets/prompt_blocks.h"

#include <algorithm>

// The state machine in core decides; this file only executes. All calls of the state machine happen on the thread that
// serves the caller, so it needs no lock.

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds ReconnectGrace { 3000 }; // callers reconnect within a few seconds or not at all
    constexpr std::chrono::milliseconds ProbeTimeout { 250 };
    constexpr std::chrono::milliseconds StopCheckPeriod { 250 };
    constexpr std::chrono::milliseconds CancelTimeout { 1000 };
    constexpr int HighestPriority = 9;

    instant clockNow()
    {
        return std::chrono::steady_clock::now();
    }

    /// \return the attempt whose stream the event ends, or null
    const attempt_id* endedAttempt(const generation_event& event)
    {
        if (const auto* broken = std::get_if<attempt_broken>(&event))
            return &broken->attempt;
        if (const auto* rejected = std::get_if<attempt_rejected>(&event))
            return &rejected->attempt;
        if (const auto* done = std::get_if<attempt_done>(&event))
            return &done->attempt;
        return nullptr;
    }

} // namespace

request_priority placementPriority(int priority)
{
    constexpr int LowestNormal = 3;
    constexpr int LowestUrgent = 7;
    if (priority >= LowestUrgent)
        return request_priority::Urgent;
    return priority >= LowestNormal ? request_priority::Normal : request_priority::Bulk;
}

generation_session::generation_session(
    session_request request, const resume_policy& policy, const session_services& services)
    : m_request(std::move(request))
    , m_services(services)
    , m_events(std::make_shared<event_channel>())
    , m_generation(m_request.generation, policy, services.admission, services.targets)
    , m_readerEpoch(m_request.readerEpoch)
{
}

generation_session::~generation_session()
{
    for (auto& [attempt, running] : m_attempts) {
        if (running.reader)
            running.reader->abort();
    }
}

void generation_session::start()
{
    trace("admitted deployment=" + m_request.deployment.text()
        + " version=" + m_request.generation.model.version.value());
    m_handledUntil = clockNow();
    execute(m_generation.start(m_handledUntil));
}

void generation_session::wait(instant limit)
{
    while (!ended() && m_tokens.empty()) {
        auto until = std::min(limit, clockNow() + StopCheckPeriod);
        if (m_timer)
            until = std::min(until, m_timer->due());
        if (m_disconnected)
            until = std::min(until, *m_disconnected + ReconnectGrace);
        if (const auto next = m_events->pop(until))
            handle(next->event, next->arrived);
        const auto now = clockNow();
        observePlannedStop(now);
        checkTimer(now);
        if (!ended() && m_disconnected && now >= *m_disconnected + ReconnectGrace)
            handle(caller_gone {}, now);
        if (now >= limit)
            return;
    }
}

// What has come in, or waits to be read, goes before a judgement about a target that this node made late. In a planned
// stop the timer also hands the generation over, which must not wait.
void generation_session::checkTimer(instant now)
{
    if (ended() || !m_timer || !m_timer->isUnresponsive(now, !m_draining && hasPendingInput()))
        return;
    m_timer.reset();
    m_handledUntil = std::max(m_handledUntil, now);
    execute(m_generation.handle(timer_fired {}, m_handledUntil));
}

bool generation_session::hasPendingInput() const
{
    return !m_events->empty() || std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto& entry) {
        return entry.second.reader && entry.second.reader->hasPendingInput();
    });
}

void generation_session::observePlannedStop(instant now)
{
    const auto end = m_services.status.workEndsAt.load();
    if (ended() || m_draining || end == instant::max())
        return;
    m_draining = true;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - now);
    m_handledUntil = std::max(m_handledUntil, now);
    execute(m_generation.handle(drain_requested { std::max(left, std::chrono::milliseconds(1)) }, m_handledUntil));
}

void generation_session::callerDisconnected()
{
    if (m_disconnected)
        return;
    m_disconnected = clockNow();
    trace("caller disconnected");
}

std::vector<session_token> generation_session::takeTokens()
{
    std::vector<session_token> tokens(
        std::make_move_iterator(m_tokens.begin()), std::make_move_iterator(m_tokens.end()));
    m_tokens.clear();
    return tokens;
}

void generation_session::handle(const generation_event& event, instant arrived)
{
    m_handledUntil = std::max(m_handledUntil, arrived);
    const auto now = m_handledUntil;
    if (const auto* token = std::get_if<token_arrived>(&event)) {
        auto& running = m_attempts[token->attempt];
        if (!running.started && running.counted) {
            running.started = true;
            m_services.targets.recordFirstToken(running.target, running.uncachedTokens);
            if (m_request.permit) {
                m_request.permit->recordFirstToken(
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - running.dispatched));
            }
        }
    }
    if (std::holds_alternative<attempt_broken>(event))
        m_interrupted = true;
    const auto* ended = endedAttempt(event);
    // The finished reader goes first: the state machine may attach to the same attempt again with a new one.
    if (ended)
        m_attempts[*ended].reader.reset();
    execute(m_generation.handle(event, now));
    if (ended && !m_attempts[*ended].reader)
        stopReader(*ended);
}

void generation_session::execute(const generation_actions& actions)
{
    countUsage();
    for (const auto& action : actions)
        std::visit([this](const auto& typed) { run(typed); }, action);
}

placement_query generation_session::placementQuery(const choose_target& action) const
{
    placement_query query;
    query.work = m_request.generation.model;
    query.prefixBlocks = promptBlocks(m_request.generation.model, m_request.prompt);
    query.prefixTokens = m_request.generation.promptTokens + action.prefixLength;
    query.priority = placementPriority(m_request.priority);
    query.excluded = action.excluded;
    query.latencyWeight = action.preferCached ? 0 : m_request.latencyWeight;
    return query;
}

std::variant<placed_target, placement_failure> generation_session::place(
    const choose_target& action, placement_query query) const
{
    const auto now = clockNow();
    const auto avoided = m_services.crashes.targetsToAvoid(m_request.guarded.fingerprint);
    query.excluded.insert(query.excluded.end(), avoided.forbidden.begin(), avoided.forbidden.end());
    auto strict = query;
    strict.excluded.insert(strict.excluded.end(), avoided.discouraged.begin(), avoided.discouraged.end());
    if (action.preferOtherZone) {
        const auto suspected = m_services.targets.inZonesOf(action.excluded);
        strict.excluded.insert(strict.excluded.end(), suspected.begin(), suspected.end());
    }
    auto decision = m_services.targets.choose(strict, m_request.allowedTargets, strict.prefixTokens, now);
    if (std::holds_alternative<placed_target>(decision) || strict.excluded.size() == query.excluded.size())
        return decision;
    return m_services.targets.choose(query, m_request.allowedTargets, query.prefixTokens, now);
}

void generation_session::run(const choose_target& action)
{
    // Another request may have shown meanwhile that a part of the prompt crashes targets.
    const bool isRetry = m_request.guarded.parts.size() && !m_attempts.empty() && !m_begunAttempt;
    if (isRetry && !m_services.crashes.mayRepeat(m_request.guarded.fingerprint, m_request.guarded.parts)) {
        session_end end;
        end.kind = error_kind::RequestCrashesTargets;
        finish(end);
        return;
    }
    const auto query = placementQuery(action);
    const auto decision = place(action, query);
    if (const auto* none = std::get_if<placement_failure>(&decision)) {
        const bool gone = !m_services.targets.anyLoaded(m_request.generation.model, m_request.allowedTargets);
        const auto reason = gone && action.purpose != attempt_purpose::Start ? no_target_reason::VersionGone
                                                                             : no_target_reason::NoneAvailable;
        m_events->push(no_target { action.attempt, reason, none->retryAfter });
        return;
    }
    const auto& placed = std::get<placed_target>(decision);
    auto& running = m_attempts[action.attempt];
    running.target = placed.target;
    running.address = placed.address;
    running.uncachedTokens = query.prefixTokens - std::min(placed.cachedTokens, query.prefixTokens);
    running.counted = true;
    running.dispatched = clockNow();
    m_services.crashes.attemptStarted(m_request.guarded.fingerprint, placed.target, m_events, m_request.guarded.parts);
    trace("attempt=" + action.attempt.text() + " purpose=" + toString(action.purpose)
        + " target=" + placed.target.text());
    const auto prefill = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(running.uncachedTokens / placement_costs {}.prefillTokensPerSecond));
    m_events->push(target_chosen { action.attempt, placed.target, placed.model, prefill });
}

attempt_observer generation_session::observerFor(const target_id& target) const
{
    auto& targets = m_services.targets;
    return { [&targets, target](const engine_load& load, instant requestSent) {
        targets.recordLoad(target, { load.running, load.waiting, load.batch, load.kvFree }, requestSent);
    } };
}

void generation_session::run(const start_attempt& action)
{
    auto& running = m_attempts[action.attempt];
    attempt_request request;
    request.id = action.attempt;
    request.model = m_request.generation.model;
    request.prompt = m_request.prompt;
    request.prefix = action.prefix;
    request.seed = m_request.seed;
    request.maxTokens = m_request.generation.maxTokens;
    // A caller's stream that stands still goes before requests that have not begun.
    request.priority = action.interrupted ? HighestPriority : m_request.priority;
    running.reader = std::make_unique<attempt_reader_thread>(m_services.engines, running.address, std::move(request),
        stream_timeouts {}, m_events, observerFor(action.target));
}

void generation_session::run(const attach_attempt& action)
{
    const auto address = m_services.targets.addressOf(action.target);
    if (!address) {
        m_events->push(attempt_broken { action.attempt, break_reason::Refused });
        return;
    }
    stopReader(action.attempt);
    auto& running = m_attempts[action.attempt];
    running.target = action.target;
    running.address = *address;
    trace("attach attempt=" + action.attempt.text() + " from=" + std::to_string(action.from));
    running.reader = std::make_unique<attempt_reader_thread>(m_services.engines, *address, action.attempt, action.from,
        ++m_readerEpoch, stream_timeouts {}, m_events, observerFor(action.target));
}

void generation_session::run(const cancel_attempt& action)
{
    const auto address = m_services.targets.addressOf(action.target);
    stopReader(action.attempt);
    if (!address)
        return;
    auto& engines = m_services.engines;
    m_services.tasks.submit([&engines, address = *address, attempt = action.attempt] {
        // An engine that cannot be reached cancels by itself when its reader is gone.
        (void)engines.cancel(address, attempt, CancelTimeout);
    });
}

void generation_session::run(const probe_target& action)
{
    const auto address = m_services.targets.addressOf(action.target);
    if (!address) {
        m_events->push(probe_answered { action.target, false, false });
        return;
    }
    auto& engines = m_services.engines;
    const bool queued = m_services.tasks.submit([&engines, events = m_events, address = *address, action] {
        const auto answer = engines.probe(address, action.attempt, ProbeTimeout);
        events->push(probe_answered { action.target, answer.alive, answer.hasAttempt.value_or(false) });
    });
    if (!queued) {
        trace("probe not sent attempt=" + action.attempt.text() + " target=" + action.target.text()
            + " reason=task queue full");
        m_events->push(probe_answered { action.target, false, false, true });
    }
}

void generation_session::run(const deliver_token& action)
{
    observeToken(clockNow());
    if (m_begunAttempt != m_generation.currentAttempt()) {
        m_begunAttempt = m_generation.currentAttempt();
        m_services.crashes.answerBegun(
            m_request.guarded.fingerprint, m_generation.currentTarget(), m_request.guarded.parts);
    }
    if (!m_disconnected)
        m_tokens.push_back({ action, m_generation.currentAttempt(), m_generation.currentTarget() });
}

void generation_session::observeToken(instant now)
{
    const node_metrics::labels at { { "fleet", m_request.deployment.fleet().value() },
        { "deployment", m_request.deployment.name() }, { "priority", std::to_string(m_request.priority) } };
    if (!m_lastToken) {
        if (!m_request.generation.resume)
            m_services.metrics.observe(histogram_metric::FirstToken, at, now - m_request.arrived);
    } else {
        const auto gap = now - *m_lastToken;
        m_services.metrics.observe(m_interrupted ? histogram_metric::Resume : histogram_metric::InterToken, at, gap);
        if (!m_interrupted) {
            m_services.targets.recordGap(
                m_generation.currentTarget(), std::chrono::duration_cast<std::chrono::microseconds>(gap), now);
        }
    }
    m_services.metrics.add(counter_metric::TokensDelivered, at);
    m_lastToken = now;
    m_interrupted = false;
}

void generation_session::run(const complete& action)
{
    session_end end;
    end.finished = action.reason;
    finish(end);
}

void generation_session::run(const fail& action)
{
    session_end end;
    end.kind = action.kind;
    end.retryAfter = action.retryAfter;
    end.handedOver = m_generation.state() == generation_state::HandedOver;
    finish(end);
}

void generation_session::run(const set_timer& action)
{
    const auto now = clockNow();
    m_timer.emplace(std::chrono::ceil<std::chrono::milliseconds>(action.at - now), now);
}

void generation_session::run(const report_crash& action)
{
    trace("target lost target=" + action.target.text());
    m_services.targets.recordUnreachable(action.target);
    m_services.crashes.streamsLost(action.target);
}

void generation_session::run(const count& action)
{
    if (action.counter == generation_counter::Suspicion)
        m_interrupted = true;
    m_services.metrics.add(counter_metric::GenerationEvents,
        { { "fleet", m_request.deployment.fleet().value() }, { "event", toString(action.counter) } });
    if (action.counter == generation_counter::Suspicion || action.counter == generation_counter::Resumed)
        trace(std::string(toString(action.counter)) + " position=" + std::to_string(m_generation.position()));
}

void generation_session::stopReader(const attempt_id& attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    auto& running = found->second;
    running.reader.reset();
    if (!running.counted)
        return;
    running.counted = false;
    m_services.targets.recordFinished(running.target, running.uncachedTokens, running.started, clockNow());
    m_services.crashes.attemptEnded(m_request.guarded.fingerprint, running.target, m_events);
}

void generation_session::countUsage()
{
    const auto usage = m_generation.usage();
    const auto add = [this](const char* kind, std::uint64_t now, std::uint64_t before) {
        if (now == before)
            return;
        m_services.metrics.add(counter_metric::TokensExtra,
            { { "fleet", m_request.deployment.fleet().value() }, { "deployment", m_request.deployment.name() },
                { "kind", kind } },
            static_cast<double>(now - before));
    };
    add("output", usage.extraOutput, m_countedUsage.extraOutput);
    add("prefill", usage.extraPrefill, m_countedUsage.extraPrefill);
    m_countedUsage = usage;
}

void generation_session::finish(session_end end)
{
    if (m_end)
        return;
    trace(end.finished ? "complete tokens=" + std::to_string(m_generation.position())
                       : "ended code=" + std::string(errorResponseFor(end.kind).code));
    m_end = end;
    for (auto& [attempt, running] : m_attempts)
        stopReader(attempt);
    m_services.crashes.finish(m_request.guarded, end.finished.has_value());
    if (m_request.permit)
        m_request.permit->finish(m_request.generation.promptTokens + m_generation.position());
}

void generation_session::trace(const std::string& line)
{
    m_services.traces.record(m_request.generation.key, std::chrono::system_clock::now(), line);
}

} // namespace oriolepick
