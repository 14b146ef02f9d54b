/// \file
/// A few fake engines, one caller and a node in virtual time around one real generation, with faults on command.
#pragma once

#include "core/generation.h"
#include "core/resume_policy.h"
#include "core/retry_budget.h"
#include "core/seeded_random.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolepick {

using std::chrono::milliseconds;

enum class fault {
    EngineCrash,
    EnginePause,
    EngineSlow,
    TruncatedStream,
    ConnectionRefused,
    LostConnection,
    NodeChange,
    NodeChangeWithTokens,
    VersionGone,
    WrongVersion,
    TargetLeaving,
    QueueFull,
    PlatformDown,
    FalseLossReport,
    Deadline,
    CallerGone,
    NodeDrain,
    NodeHandOver,
};
constexpr int FaultCount = static_cast<int>(fault::NodeHandOver) + 1;

enum class life_cycle_step {
    Choose,
    Start,
    Accepted,
    FirstToken,
    MidToken,
    LastToken,
    Suspected,
    Attach,
    Resume,
    Final
};
constexpr int StepCount = static_cast<int>(life_cycle_step::Final) + 1;

struct planned_fault {
    life_cycle_step step;
    fault kind;
    bool fired = false;
};

struct fake_run {
    token_list history;
    int connection = 0;
    bool cancelled = false;
    bool finished = false;
};

struct fake_engine {
    target_id id;
    bool dead = false;
    bool draining = false;
    bool full = false;
    int incarnation = 0;
    instant pausedUntil;
    instant refusesUntil;
    milliseconds pace { 40 };
    std::uint64_t outputSeed = 0; ///< differs where a replay on this engine gives other tokens
    std::map<attempt_id, fake_run> runs;
};

class generation_simulation {
public:
    static constexpr std::uint32_t Length = 8; ///< tokens of the response
    static constexpr milliseconds NetworkDelay { 1 };

    explicit generation_simulation(
        const resume_policy& policy, std::vector<planned_fault> faults = {}, int engines = 5);

    /// Runs to the end of all activity.
    void run();

    // What the caller saw, and violations found on the way.
    std::vector<std::string> violations;
    std::vector<token_id> received;
    std::vector<generation_action> finalActions; ///< of the caller's last connection
    std::array<int, 16> counters {};
    bool engineRan = false; ///< any engine began any attempt
    int starts = 0;
    int dispatchesAfterEnd = 0;
    std::vector<milliseconds> deliveredAt;
    std::vector<planned_fault> faults;
    std::vector<fake_engine> engines;
    std::unique_ptr<generation> current;
    generation_request request;

    bool completed() const { return !finalActions.empty() && std::holds_alternative<complete>(finalActions.back()); }
    const fail* failure() const { return finalActions.empty() ? nullptr : std::get_if<fail>(&finalActions.back()); }
    bool fired(fault kind) const
    {
        return std::any_of(
            faults.begin(), faults.end(), [kind](auto& plan) { return plan.fired && plan.kind == kind; });
    }
    void apply(fault kind);
    /// Plans a fault at a time after the start instead of at a step.
    void applyAt(milliseconds offset, fault kind)
    {
        at(m_now + offset, [this, kind] { apply(kind); });
    }
    int runningAttempts() const;

private:
    void begin();
    void at(instant time, std::function<void()> work) { m_queue.emplace(time, std::move(work)); }
    void post(const generation_event& event, milliseconds delay = NetworkDelay);
    void handle(const generation_event& event);
    void execute(generation_actions actions);
    void reachStep(life_cycle_step step);
    void changeNode(bool withTokens);
    fake_engine* engine(const target_id& id);
    void breakConnections(fake_engine& engine, break_reason reason);
    void whenUnpaused(const target_id& target, std::function<void(fake_engine&)> work);
    void produceToken(const target_id& target, const attempt_id& id, int incarnation);
    void send(const target_id& target, const attempt_id& id, int connection, const generation_event& event);

    void act(const choose_target& action);
    void act(const start_attempt& action);
    void act(const attach_attempt& action);
    void act(const cancel_attempt& action);
    void act(const probe_target& action);
    void act(const deliver_token& action);
    void act(const complete& action) { end(action); }
    void act(const fail& action) { end(action); }
    void act(const set_timer& action);
    void act(const report_crash& /*action*/) { }
    void act(const count& action) { ++counters[static_cast<std::size_t>(action.counter)]; }
    void end(const generation_action& action);

    const resume_policy& m_policy;
    seeded_random m_random { 7 };
    instant m_now { std::chrono::hours(1) };
    retry_budget m_budget { {}, nullptr, m_random, m_now };
    target_pace_tracker m_paces;
    std::multimap<instant, std::function<void()>> m_queue;
    std::map<life_cycle_step, bool> m_seen;
    int m_node = 1;
    instant m_timer;
    attempt_id m_cursorAttempt;
    target_id m_cursorTarget;
    bool m_versionGone = false;
    bool m_wrongVersion = false;
    bool m_callerConnected = true;
};

} // namespace oriolepick
