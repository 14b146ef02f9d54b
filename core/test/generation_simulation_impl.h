/// \file
/// Implementation of generation_simulation; included by each test program that uses it.
#pragma once

#include "generation_simulation.h"

namespace oriolepick {

inline generation_simulation::generation_simulation(
    const resume_policy& policy, std::vector<planned_fault> plannedFaults, int engineCount)
    : faults(std::move(plannedFaults))
    , m_policy(policy)
{
    for (int index = 0; index < engineCount; ++index) {
        fake_engine engine;
        engine.id = target_id(fleet_name("one"), "engine" + std::to_string(index));
        engines.push_back(engine);
    }
    request.key = { team_id(fleet_name("one"), "desk"), "key" };
    request.attemptOrigin = "node1";
    request.model = { model_id(fleet_name("one"), "manuals"), model_version("3"), adapter_name() };
    request.targetGroup = "group";
    request.promptTokens = 100;
    request.maxTokens = 100;
    request.deadline = m_now + std::chrono::minutes(2);
}

inline void generation_simulation::begin()
{
    current = std::make_unique<generation>(request, m_policy, m_budget, m_paces);
    execute(current->start(m_now));
}

inline void generation_simulation::run()
{
    begin();
    const auto horizon = m_now + std::chrono::minutes(4);
    constexpr int MostSteps = 100'000; // a run takes a few hundred; more means a timer that fires without effect
    for (int step = 0; !m_queue.empty() && m_queue.begin()->first < horizon; ++step) {
        if (step == MostSteps) {
            violations.emplace_back("no end of events");
            return;
        }
        m_now = std::max(m_now, m_queue.begin()->first);
        const auto work = std::move(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        work();
    }
    if (finalActions.size() != 1)
        violations.push_back("final answers: " + std::to_string(finalActions.size()));
    if (completed() && received.size() != Length)
        violations.push_back("complete after " + std::to_string(received.size()) + " tokens");
    const auto* failed = failure();
    if (failed && engineRan && errorResponseFor(failed->kind).run == run_state::NotRun)
        violations.push_back("not run after a dispatch: " + std::string(errorResponseFor(failed->kind).code));
    if (dispatchesAfterEnd > 0)
        violations.emplace_back("dispatch after the end");
}

inline int generation_simulation::runningAttempts() const
{
    int running = 0;
    for (const auto& engine : engines) {
        for (const auto& [id, run] : engine.runs)
            running += !engine.dead && !run.cancelled && !run.finished;
    }
    return running;
}

inline void generation_simulation::post(const generation_event& event, milliseconds delay)
{
    at(m_now + delay, [this, event, node = m_node] {
        if (node == m_node)
            handle(event);
    });
}

inline void generation_simulation::handle(const generation_event& event)
{
    const auto* arrived = std::get_if<token_arrived>(&event);
    if (arrived && arrived->attempt == current->currentAttempt())
        m_paces.recordGap(current->currentTarget(), milliseconds(40), m_now);
    const bool late = request.deadline && *request.deadline <= m_now;
    const bool endedBefore = current->ended();
    execute(current->handle(event, m_now));
    if (late && !endedBefore && !current->ended())
        violations.emplace_back("no answer at the deadline");
    if (std::holds_alternative<attempt_accepted>(event))
        reachStep(life_cycle_step::Accepted);
    if (current->state() == generation_state::Suspect)
        reachStep(life_cycle_step::Suspected);
}

inline void generation_simulation::execute(generation_actions actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& typed) { act(typed); }, action);
    if (current->ended())
        reachStep(life_cycle_step::Final);
    else if (received.size() == Length)
        reachStep(life_cycle_step::LastToken);
    else if (received.size() >= Length / 2)
        reachStep(life_cycle_step::MidToken);
    else if (!received.empty())
        reachStep(life_cycle_step::FirstToken);
}

inline void generation_simulation::reachStep(life_cycle_step step)
{
    if (std::exchange(m_seen[step], true))
        return;
    for (auto& plan : faults) {
        if (plan.step != step || plan.fired)
            continue;
        plan.fired = true;
        at(m_now, [this, kind = plan.kind] { apply(kind); });
    }
}

inline void generation_simulation::apply(fault kind)
{
    auto* target = engine(current->currentTarget());
    auto& hit = target ? *target : engines.front();
    switch (kind) {
    case fault::EngineCrash:
        hit.dead = true;
        breakConnections(hit, break_reason::Reset);
        ++hit.incarnation;
        hit.runs.clear();
        break;
    case fault::EnginePause:
        hit.pausedUntil = m_now + milliseconds(4000);
        break;
    case fault::EngineSlow:
        hit.pace = milliseconds(400);
        break;
    case fault::TruncatedStream:
        breakConnections(hit, break_reason::Truncated);
        break;
    case fault::ConnectionRefused:
        hit.refusesUntil = m_now + milliseconds(2000);
        break;
    case fault::LostConnection:
        breakConnections(hit, break_reason::Reset);
        break;
    case fault::NodeChange:
    case fault::NodeChangeWithTokens:
        changeNode(kind == fault::NodeChangeWithTokens);
        break;
    case fault::VersionGone:
        m_versionGone = true;
        break;
    case fault::WrongVersion:
        m_wrongVersion = true;
        break;
    case fault::TargetLeaving:
        hit.draining = true;
        break;
    case fault::QueueFull:
        hit.full = true;
        break;
    case fault::PlatformDown: // nothing of a generation's life cycle uses the platform
        break;
    case fault::FalseLossReport:
        handle(target_lost { hit.id });
        break;
    case fault::Deadline:
        m_now = *request.deadline; // the node was paused past the deadline
        break;
    case fault::CallerGone:
        m_callerConnected = false;
        handle(caller_gone {});
        break;
    case fault::NodeDrain:
        handle(drain_requested {});
        break;
    case fault::NodeHandOver:
        handle(drain_requested { milliseconds(50) });
        break;
    }
}

inline void generation_simulation::changeNode(bool withTokens)
{
    if (!finalActions.empty())
        return; // the caller has its answer and does not reconnect
    ++m_node;
    request.attemptOrigin = "node" + std::to_string(m_node);
    request.callerRetry = received.empty();
    if (!received.empty()) {
        resume_point resume { m_cursorAttempt, m_cursorTarget, static_cast<std::uint32_t>(received.size()),
            digestOf(received), std::nullopt };
        if (withTokens)
            resume.receivedTokens = received;
        request.resume = resume;
    }
    begin();
}

inline fake_engine* generation_simulation::engine(const target_id& id)
{
    for (auto& engine : engines) {
        if (engine.id == id)
            return &engine;
    }
    return nullptr;
}

inline void generation_simulation::breakConnections(fake_engine& engine, break_reason reason)
{
    for (auto& [id, run] : engine.runs) {
        ++run.connection;
        post(attempt_broken { id, reason });
    }
}

inline void generation_simulation::whenUnpaused(const target_id& target, std::function<void(fake_engine&)> work)
{
    at(std::max(m_now, engine(target)->pausedUntil), [this, target, work] {
        auto& awake = *engine(target);
        if (awake.pausedUntil > m_now)
            whenUnpaused(target, work);
        else
            work(awake);
    });
}

inline void generation_simulation::send(
    const target_id& target, const attempt_id& id, int connection, const generation_event& event)
{
    at(m_now + NetworkDelay, [=] {
        auto& sender = *engine(target);
        const auto run = sender.runs.find(id);
        if (run != sender.runs.end() && run->second.connection == connection)
            handle(event);
    });
}

inline void generation_simulation::produceToken(const target_id& target, const attempt_id& id, int incarnation)
{
    whenUnpaused(target, [=](fake_engine& engine) {
        const auto found = engine.runs.find(id);
        if (engine.incarnation != incarnation || found == engine.runs.end() || found->second.cancelled)
            return;
        auto& run = found->second;
        const auto position = static_cast<std::uint32_t>(run.history.size());
        if (position >= Length) {
            run.finished = true;
            send(target, id, run.connection, attempt_done { id, finish_reason::Stop, Length });
            return;
        }
        const auto before = digestOf(run.history);
        const token value { static_cast<token_id>((before ^ engine.outputSeed) % 50'000), std::to_string(before) };
        run.history.push_back(value.id);
        send(target, id, run.connection, token_arrived { id, position, value });
        at(m_now + engine.pace, [=] { produceToken(target, id, incarnation); });
    });
}

inline void generation_simulation::act(const choose_target& action)
{
    dispatchesAfterEnd += !finalActions.empty();
    reachStep(action.purpose == attempt_purpose::Start ? life_cycle_step::Choose : life_cycle_step::Resume);
    target_chosen answer { action.attempt, {}, request.model, milliseconds(100) };
    for (const auto& engine : engines) {
        const auto& excluded = action.excluded;
        if (answer.target.empty() && std::find(excluded.begin(), excluded.end(), engine.id) == excluded.end())
            answer.target = engine.id;
    }
    if (std::exchange(m_wrongVersion, false))
        answer.model.version = model_version("4");
    if (m_versionGone)
        post(no_target { action.attempt, no_target_reason::VersionGone, {} });
    else if (answer.target.empty())
        post(no_target { action.attempt, no_target_reason::NoneAvailable, milliseconds(100) });
    else
        post(answer);
}

inline void generation_simulation::act(const start_attempt& action)
{
    ++starts;
    dispatchesAfterEnd += !finalActions.empty();
    reachStep(life_cycle_step::Start);
    at(m_now + NetworkDelay, [this, action] {
        if (engine(action.target)->dead || engine(action.target)->refusesUntil > m_now) {
            post(attempt_broken { action.attempt, break_reason::Refused });
            return;
        }
        whenUnpaused(action.target, [this, action](fake_engine& engine) {
            if (engine.draining || engine.full) {
                const auto reason = engine.full ? reject_reason::QueueFull : reject_reason::Draining;
                post(attempt_rejected { action.attempt, reason, milliseconds(100) });
                return;
            }
            if (engine.dead)
                return;
            engineRan = true;
            engine.runs[action.attempt].history = action.prefix;
            post(attempt_accepted { action.attempt });
            at(m_now + milliseconds(100), [this, action, incarnation = engine.incarnation] {
                produceToken(action.target, action.attempt, incarnation);
            });
        });
    });
}

inline void generation_simulation::act(const attach_attempt& action)
{
    dispatchesAfterEnd += !finalActions.empty();
    reachStep(life_cycle_step::Attach);
    at(m_now + NetworkDelay, [this, action] {
        if (engine(action.target)->dead || engine(action.target)->refusesUntil > m_now) {
            post(attempt_broken { action.attempt, break_reason::Refused });
            return;
        }
        whenUnpaused(action.target, [this, action](fake_engine& engine) {
            const auto found = engine.runs.find(action.attempt);
            if (found == engine.runs.end() || found->second.cancelled) {
                post(attempt_broken { action.attempt, break_reason::UnknownAttempt });
                return;
            }
            auto& run = found->second;
            ++run.connection;
            post(attempt_accepted { action.attempt });
            std::uint64_t digest = 0;
            for (std::uint32_t position = 0; position < run.history.size(); ++position) {
                const token value { run.history[position], std::to_string(digest) };
                digest = extendDigest(digest, value.id);
                if (position >= action.from)
                    send(action.target, action.attempt, run.connection,
                        token_arrived { action.attempt, position, value });
            }
            if (run.finished)
                send(action.target, action.attempt, run.connection,
                    attempt_done { action.attempt, finish_reason::Stop, Length });
        });
    });
}

inline void generation_simulation::act(const cancel_attempt& action)
{
    at(m_now + NetworkDelay, [this, action] {
        if (engine(action.target)->refusesUntil > m_now)
            return; // the cancel is lost
        whenUnpaused(action.target, [action](fake_engine& engine) {
            const auto found = engine.runs.find(action.attempt);
            if (found != engine.runs.end())
                found->second.cancelled = true;
        });
    });
}

inline void generation_simulation::act(const probe_target& action)
{
    auto& probed = *engine(action.target);
    if (probed.pausedUntil > m_now) {
        post(probe_answered { action.target, false, false }, milliseconds(250));
        return;
    }
    const bool alive = !probed.dead && probed.refusesUntil <= m_now;
    const auto run = probed.runs.find(action.attempt);
    post(probe_answered { action.target, alive, alive && run != probed.runs.end() && !run->second.cancelled },
        NetworkDelay * 2);
}

inline void generation_simulation::act(const deliver_token& action)
{
    // The text carries the digest of the producing attempt's own history, so a mixed response shows.
    if (action.position != received.size())
        violations.push_back("position " + std::to_string(action.position) + " delivered out of order");
    if (action.value.text != std::to_string(digestOf(received)))
        violations.push_back("mixed token at " + std::to_string(action.position));
    if (!finalActions.empty() || !m_callerConnected)
        violations.emplace_back("token after the end");
    received.push_back(action.value.id);
    deliveredAt.push_back(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()));
    m_cursorAttempt = current->currentAttempt();
    m_cursorTarget = current->currentTarget();
}

inline void generation_simulation::act(const set_timer& action)
{
    m_timer = action.at;
    at(action.at, [this, due = action.at, node = m_node] {
        if (node == m_node && due == m_timer)
            handle(timer_fired {});
    });
}

inline void generation_simulation::end(const generation_action& action)
{
    finalActions.push_back(action);
}

} // namespace oriolepick
