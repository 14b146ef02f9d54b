// Runs every fault at every step of the life cycle, single and in pairs, under both policies. Guards the invariants of
// section 1.2 of the design: order, no mixing, one final answer, correct "not run", nothing started after the end,
// older attempts cancelled, and completion whenever the faults leave a way to complete.
#include "generation_simulation_impl.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

struct matrix_totals {
    int cases = 0;
    int reached = 0; ///< cells in which all planned faults fired
    int violations = 0;
    std::string first;
};

std::string describe(const resume_policy& policy, const std::vector<planned_fault>& faults)
{
    std::string text(policy.name());
    for (const auto& plan : faults)
        text += " fault " + std::to_string(static_cast<int>(plan.kind)) + " at step "
            + std::to_string(static_cast<int>(plan.step));
    return text;
}

int uncancelledRuns(const generation_simulation& world)
{
    int runs = 0;
    for (const auto& engine : world.engines)
        runs += static_cast<int>(std::count_if(
            engine.runs.begin(), engine.runs.end(), [](const auto& entry) { return !entry.second.cancelled; }));
    return runs;
}

constexpr std::initializer_list<fault> FaultsThatPreventCompletion
    = { fault::VersionGone, fault::Deadline, fault::CallerGone, fault::NodeHandOver };

bool firedAny(const generation_simulation& world, std::initializer_list<fault> kinds)
{
    return std::any_of(kinds.begin(), kinds.end(), [&world](fault kind) { return world.fired(kind); });
}

void checkEnd(generation_simulation& world)
{
    auto& violations = world.violations;
    if (!world.completed() && !firedAny(world, FaultsThatPreventCompletion))
        violations.push_back("failed although it could complete: "
            + std::string(world.failure() ? errorResponseFor(world.failure()->kind).code : "no answer"));
    // A node that is gone cancels nothing, and a refused cancel is lost; engines end such attempts by themselves.
    const bool cancelsLost = firedAny(
        world, { fault::NodeChange, fault::NodeChangeWithTokens, fault::NodeHandOver, fault::ConnectionRefused });
    if (!cancelsLost && uncancelledRuns(world) > (world.completed() ? 1 : 0))
        violations.emplace_back("an attempt was not cancelled");
}

void runCase(const resume_policy& policy, std::vector<planned_fault> faults, matrix_totals& totals, bool noisy = false)
{
    generation_simulation world(policy, faults);
    for (std::size_t index = 0; noisy && index < world.engines.size(); ++index)
        world.engines[index].outputSeed = index;
    world.run();
    // A replay on an engine with other arithmetic gives other tokens: the stream must end, not mix.
    if (!noisy || !world.fired(fault::NodeChange) || world.completed())
        checkEnd(world);
    else if (!firedAny(world, FaultsThatPreventCompletion) && world.failure()
        && world.failure()->kind != error_kind::GenerationLost)
        world.violations.emplace_back("replay with other tokens did not end in generation_lost");
    ++totals.cases;
    totals.reached += std::all_of(world.faults.begin(), world.faults.end(), [](auto& plan) { return plan.fired; });
    if (world.violations.empty())
        return;
    ++totals.violations;
    if (totals.first.empty())
        totals.first = describe(policy, faults) + ": " + world.violations.front();
}

void report(const char* name, const matrix_totals& totals)
{
    std::printf("%s: %d cells run, %d with every fault fired, %d violations\n", name, totals.cases, totals.reached,
        totals.violations);
    EXPECT_EQ(totals.violations, 0) << totals.first;
}

const latency_first_policy LatencyFirst;
const waiting_policy Waiting;
const resume_policy* const Policies[] = { &LatencyFirst, &Waiting };
// Sanitizer builds look for memory errors and races, not for wrong decisions: there every 11th pair is enough, and all
// pairs would take a minute. 11 has no common factor with the numbers of steps and faults, so each of them still
// occurs.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr int PairStride = 11;
#else
constexpr int PairStride = 1;
#endif
constexpr int Points = StepCount * FaultCount;

planned_fault pointAt(int index)
{
    return { static_cast<life_cycle_step>(index / FaultCount), static_cast<fault>(index % FaultCount) };
}

} // namespace

TEST(fault_matrix, every_single_fault_at_every_step)
{
    matrix_totals totals;
    for (const auto* policy : Policies) {
        for (int index = 0; index < Points; ++index)
            runCase(*policy, { pointAt(index) }, totals);
    }
    report("single faults", totals);
}

TEST(fault_matrix, baselines_keep_the_invariants_too)
{
    matrix_totals totals;
    const restart_policy restart;
    const fixed_timeout_policy fixedTimeout;
    const duplicate_policy duplicate;
    const resume_policy* const baselines[] = { &restart, &fixedTimeout, &duplicate };
    for (const auto* policy : baselines) {
        for (int index = 0; index < Points; ++index)
            runCase(*policy, { pointAt(index) }, totals);
    }
    report("single faults, baselines", totals);
}

TEST(fault_matrix, every_pair_of_faults)
{
    matrix_totals totals;
    matrix_totals noisyTotals;
    for (const auto* policy : Policies) {
        for (int first = 0; first < Points; ++first) {
            for (int second = first + first % PairStride; second < Points; second += PairStride) {
                runCase(*policy, { pointAt(first), pointAt(second) }, totals);
                runCase(*policy, { pointAt(first), pointAt(second) }, noisyTotals, true);
            }
        }
    }
    report("pairs of faults", totals);
    report("pairs of faults, engines that replay differently", noisyTotals);
    // Steps such as an attach exist only after another fault, so not every cell can fire both.
    EXPECT_GT(totals.reached, totals.cases / 4);
}
