// Guards against a target that is sent more requests than the limit it names, because each node keeps the limit by
// itself (rule LIMIT), and against a limit that leaves most of its requests unused. All times are virtual.
#include "core/test/limit_simulation.h"

#include <gtest/gtest.h>

#include <cmath>
#include <set>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Zones = 3;
constexpr std::size_t Targets = 4;
constexpr auto SettlingTime = 5s;

struct load_pattern {
    std::size_t nodes;
    double limit; ///< requests a second of each limited target
    double busyShare; ///< share of the nodes that receive two thirds of the requests
};

std::ostream& operator<<(std::ostream& stream, const load_pattern& pattern)
{
    return stream << pattern.nodes << " nodes, limit " << pattern.limit << ", busy share " << pattern.busyShare;
}

class TargetLimits : public testing::TestWithParam<load_pattern> { };

INSTANTIATE_TEST_SUITE_P(FleetsAndCallers, TargetLimits,
    testing::Values(load_pattern { 6, 4, 1 }, load_pattern { 6, 4, 0.34 }, load_pattern { 6, 0.7, 0.34 },
        load_pattern { 20, 4, 1 }, load_pattern { 20, 4, 0.34 }, load_pattern { 20, 0.7, 0.1 },
        load_pattern { 100, 4, 0.05 }, load_pattern { 300, 4, 1 }, load_pattern { 300, 4, 0.34 },
        load_pattern { 300, 4, 0.01 }, load_pattern { 370, 4, 0.34 }, load_pattern { 370, 12, 0.01 }));

// Load pattern: more than three times what the limited targets accept together.
TEST_P(TargetLimits, AllTargetsLimitedGetNineTenthsOfTheirLimitAndNotMoreThanAllowed)
{
    const auto pattern = GetParam();
    limit_simulation fleet(pattern.nodes, Targets, Zones, 1);
    fleet.run(2s);
    for (std::size_t target = 0; target < Targets; ++target)
        fleet.setLimit(target, pattern.limit);
    const auto begin = fleet.now();
    const double demand = std::max(60.0, 4 * Targets * pattern.limit);
    fleet.offer(demand, pattern.busyShare, SettlingTime + 20s);
    const double accepted = pattern.limit * 20;
    for (std::size_t target = 0; target < Targets; ++target) {
        EXPECT_LE(fleet.mostOverAllowed(target, pattern.limit, begin + fleet.contactTime), 0) << target;
        EXPECT_GE(fleet.received(target, begin + SettlingTime), 0.9 * accepted) << target;
        EXPECT_LE(fleet.received(target, begin + SettlingTime), 1.05 * accepted + 2) << target;
    }
}

// Load pattern: a fleet with room for all, but for one target in need.
TEST_P(TargetLimits, OneLimitedTargetIsRelievedByTheOthers)
{
    const auto pattern = GetParam();
    limit_simulation fleet(pattern.nodes, Targets, Zones, 2);
    fleet.run(2s);
    fleet.setLimit(0, pattern.limit);
    const auto begin = fleet.now();
    const double demand = std::max(60.0, 4 * Targets * pattern.limit);
    fleet.offer(demand, pattern.busyShare, SettlingTime + 20s);
    EXPECT_LE(fleet.mostOverAllowed(0, pattern.limit, begin + fleet.contactTime), 0);
    EXPECT_GE(fleet.received(0, begin + SettlingTime), 0.9 * pattern.limit * 20);
    EXPECT_TRUE(fleet.refusals.empty());
}

TEST_P(TargetLimits, EveryNodeKnowsALimitWithinASecond)
{
    const auto pattern = GetParam();
    limit_simulation fleet(pattern.nodes, Targets, Zones, 3);
    fleet.run(2s);
    fleet.setLimit(0, pattern.limit);
    fleet.offer(60, pattern.busyShare, 1s);
    EXPECT_EQ(fleet.informedNodes(0), fleet.size());
}

TEST_P(TargetLimits, RefusedCallersLearnWhenTheyMayReturn)
{
    const auto pattern = GetParam();
    limit_simulation fleet(pattern.nodes, Targets, Zones, 4);
    fleet.run(2s);
    for (std::size_t target = 0; target < Targets; ++target)
        fleet.setLimit(target, pattern.limit);
    const double demand = std::max(60.0, 4 * Targets * pattern.limit);
    fleet.offer(demand, pattern.busyShare, 15s);
    fleet.refusals.clear();
    fleet.offer(demand, pattern.busyShare, 10s);
    ASSERT_FALSE(fleet.refusals.empty());
    // The targets serve the callers that are refused in one second in `drain`; their returns are spread over no less
    // than a fourth of it, and most return within it.
    const double refusedPerSecond = fleet.refusals.size() / 10.0;
    const double drain = refusedPerSecond / (Targets * pattern.limit);
    std::vector<double> waits;
    for (const auto& refusal : fleet.refusals)
        waits.push_back(refusal.retryAfter->count() / 1'000.0);
    std::sort(waits.begin(), waits.end());
    EXPECT_GE(waits[waits.size() * 9 / 10] - waits[waits.size() / 10], drain / 4);
    EXPECT_LE(waits[waits.size() / 2], drain + 1 / pattern.limit);
    EXPECT_LE(waits.back(), 30 + 2 / pattern.limit);
}

TEST_P(TargetLimits, MessagesStayInProportionToTheRequests)
{
    const auto pattern = GetParam();
    limit_simulation fleet(pattern.nodes, Targets, Zones, 5);
    fleet.run(2s);
    for (std::size_t target = 0; target < Targets; ++target)
        fleet.setLimit(target, pattern.limit);
    fleet.offer(60, pattern.busyShare, SettlingTime);
    fleet.datagrams = 0;
    fleet.offer(60, pattern.busyShare, 10s);
    const auto claims = pattern.nodes * Targets * 10 / 2; // every owner informs every node each two seconds
    EXPECT_LE(fleet.datagrams, 60 * 10 * Targets * 2 + claims) << "a request and an answer for each target tried";
}

struct fault_case {
    const char* name;
    void (*apply)(limit_simulation&, std::size_t round);
};

class FaultsAndLimits : public testing::TestWithParam<fault_case> { };

void killOwner(limit_simulation& fleet, std::size_t round)
{
    const auto owner = fleet.ownerOf(round % Targets);
    fleet.kill(owner);
    fleet.start(owner, 1'500ms);
}

void freezeOwner(limit_simulation& fleet, std::size_t round)
{
    fleet.freeze(fleet.ownerOf(round % Targets), 4s);
}

void cutOwner(limit_simulation& fleet, std::size_t round)
{
    fleet.cut(fleet.ownerOf(round % Targets), 5s);
}

void cutHalf(limit_simulation& fleet, std::size_t)
{
    for (std::size_t node = 0; node < fleet.size(); node += 2)
        fleet.cut(node, 5s);
}

void restartAll(limit_simulation& fleet, std::size_t)
{
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        fleet.kill(node);
        fleet.start(node, 1s + std::chrono::milliseconds(fleet.random().below(300)));
    }
}

void restartInTurn(limit_simulation& fleet, std::size_t round)
{
    for (std::size_t node = round; node < fleet.size(); node += 4) {
        fleet.kill(node);
        fleet.start(node, 500ms);
    }
}

void loseMessages(limit_simulation& fleet, std::size_t)
{
    fleet.setLoss(0.05);
}

void distortViews(limit_simulation& fleet, std::size_t)
{
    fleet.distortViews(0.2);
}

INSTANTIATE_TEST_SUITE_P(Disruptions, FaultsAndLimits,
    testing::Values(fault_case { "KilledOwner", killOwner }, fault_case { "FrozenOwner", freezeOwner },
        fault_case { "CutOwner", cutOwner }, fault_case { "HalfOfTheNodesCut", cutHalf },
        fault_case { "AllRestart", restartAll }, fault_case { "RestartsInTurn", restartInTurn },
        fault_case { "LostMessages", loseMessages }, fault_case { "WrongViews", distortViews }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(FaultsAndLimits, TheLimitHoldsForNodesThatAreNotDisturbed)
{
    for (const std::size_t nodes : { 6, 20, 60 }) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            constexpr double Limit = 4;
            limit_simulation fleet(nodes, Targets, Zones, seed);
            fleet.run(2s);
            for (std::size_t target = 0; target < Targets; ++target)
                fleet.setLimit(target, Limit);
            const auto begin = fleet.now();
            fleet.offer(60, 0.34, 4s);
            for (std::size_t round = 0; round < 4; ++round) {
                GetParam().apply(fleet, round);
                fleet.offer(60, 0.34, 6s);
            }
            const auto quiet = fleet.now() + 6s;
            fleet.offer(60, 0.34, 26s);
            for (std::size_t target = 0; target < Targets; ++target) {
                EXPECT_LE(fleet.mostOverAllowed(target, Limit, begin + fleet.contactTime), 0)
                    << target << " of " << nodes << " nodes, seed " << seed;
                EXPECT_GE(fleet.received(target, quiet), 0.8 * Limit * 20)
                    << target << " of " << nodes << " nodes, seed " << seed;
            }
        }
    }
}

TEST(TargetLimitChanges, ASmallerLimitHoldsOnceItIsNamed)
{
    for (const std::size_t nodes : { 6, 20, 300 }) {
        limit_simulation fleet(nodes, Targets, Zones, 6);
        fleet.run(2s);
        for (std::size_t target = 0; target < Targets; ++target)
            fleet.setLimit(target, 6);
        fleet.offer(60, 0.34, 8s);
        for (std::size_t target = 0; target < Targets; ++target)
            fleet.setLimit(target, 3);
        const auto changed = fleet.now();
        fleet.offer(60, 0.34, 16s);
        for (std::size_t target = 0; target < Targets; ++target) {
            EXPECT_LE(fleet.mostOverAllowed(target, 3, changed + 1s), 0) << nodes;
            EXPECT_GE(fleet.received(target, changed + 6s), 0.9 * 3 * 10) << nodes;
        }
    }
}

TEST(TargetLimitChanges, AfterTheEndOfALimitTheTargetGetsAllAgain)
{
    for (const std::size_t nodes : { 6, 300 }) {
        limit_simulation fleet(nodes, 1, Zones, 7);
        fleet.run(2s);
        fleet.setLimit(0, 2);
        fleet.offer(60, 0.34, 8s);
        EXPECT_FALSE(fleet.refusals.empty());
        fleet.setLimit(0, std::nullopt);
        fleet.offer(60, 0.34, 2s);
        EXPECT_EQ(fleet.informedNodes(0), 0U) << nodes;
        fleet.refusals.clear();
        const auto ended = fleet.now();
        fleet.offer(60, 0.34, 10s);
        EXPECT_TRUE(fleet.refusals.empty());
        EXPECT_GE(fleet.received(0, ended), 550U);
    }
}

TEST(TargetLimitChanges, ALimitOfZeroEndsWhenTheTargetSaysSo)
{
    limit_simulation fleet(20, Targets, Zones, 8);
    fleet.run(2s);
    fleet.setLimit(0, readLimit(0).requestsPerSecond);
    const auto begin = fleet.now();
    fleet.offer(60, 0.34, 20s);
    EXPECT_LE(fleet.mostOverAllowed(0, 0, begin + fleet.contactTime), 0);
    fleet.setLimit(0, std::nullopt);
    fleet.offer(60, 0.34, 10s);
    EXPECT_EQ(fleet.informedNodes(0), 0U);
}

// A number is a limit from MinRequestLimit to MaxRequestLimit. Less is raised, more is no limit, all else is ignored.
TEST(TargetLimitReading, EveryNumberHasADefinedMeaning)
{
    struct expectation {
        double named;
        limit_reading reading;
        std::optional<double> kept;
    };
    const std::vector<expectation> expectations { { 4.2, limit_reading::AsNamed, 4.2 },
        { 0.25, limit_reading::AsNamed, 0.25 }, { 0.01, limit_reading::Raised, 0.25 },
        { 0, limit_reading::Raised, 0.25 }, { 1e5, limit_reading::AsNamed, 1e5 },
        { 1e6, limit_reading::Ignored, std::nullopt }, { 1e300, limit_reading::Ignored, std::nullopt },
        { -1, limit_reading::Invalid, std::nullopt }, { -0.001, limit_reading::Invalid, std::nullopt },
        { std::nan(""), limit_reading::Invalid, std::nullopt }, { INFINITY, limit_reading::Invalid, std::nullopt } };
    for (const auto& expected : expectations) {
        const auto limit = readLimit(expected.named);
        EXPECT_EQ(limit.reading, expected.reading) << expected.named;
        EXPECT_EQ(limit.requestsPerSecond, expected.kept) << expected.named;
    }
}

class LimiterOfOneNode : public testing::Test {
protected:
    template <typename Action> static std::size_t countOf(const target_limiter::actions& actions)
    {
        return static_cast<std::size_t>(std::count_if(
            actions.begin(), actions.end(), [](const auto& action) { return std::holds_alternative<Action>(action); }));
    }

    const limited_target target { "t" };
    const availability_zone zone { "z" };
    instant now { 1'000s };
    target_limiter limiter { { node_id("10.0.0.1:7200"), zone }, {}, now };
};

TEST_F(LimiterOfOneNode, AStatementOfAnEarlierIncarnationIsIgnored)
{
    limiter.observe(target, zone, { 4, 2 }, now);
    EXPECT_EQ(countOf<outdated_limit_ignored>(limiter.observe(target, zone, { std::nullopt, 1 }, now + 1s)), 1U);
    EXPECT_EQ(limiter.limitOf(target, 2), 4);
    EXPECT_FALSE(limiter.limitOf(target, 1));
}

TEST_F(LimiterOfOneNode, ANewIncarnationIsNotHeldToTheLimitOfTheOneBefore)
{
    limiter.observe(target, zone, { 4, 2 }, now);
    EXPECT_EQ(limiter.acquire(target, 3, now + 2s).decision, permit_decision::NotNeeded);
    limiter.observe(target, zone, { std::nullopt, 3 }, now + 2s);
    EXPECT_EQ(limiter.limitedTargets(), 0U);
}

TEST_F(LimiterOfOneNode, ATargetWithoutALimitNeedsNoPermitAndNoRecord)
{
    EXPECT_EQ(limiter.acquire(target, 1, now).decision, permit_decision::NotNeeded);
    EXPECT_TRUE(limiter.observe(target, zone, { std::nullopt, 1 }, now).empty());
}

TEST_F(LimiterOfOneNode, WithoutOtherNodesTheLimitIsUsedInFullOnceTheSearchForThemHasEnded)
{
    limiter.observe(target, zone, { 2, 1 }, now);
    EXPECT_EQ(limiter.acquire(target, 1, now + 900ms).decision, permit_decision::Denied);
    const auto grantedFrom = [this](instant begin) {
        std::size_t granted = 0;
        for (auto at = begin; at < begin + 10s; at += 10ms)
            granted += limiter.acquire(target, 1, at).decision == permit_decision::Granted;
        return granted;
    };
    EXPECT_NEAR(static_cast<double>(grantedFrom(now + 4s)), 10, 2) << "half of the limit";
    EXPECT_NEAR(static_cast<double>(grantedFrom(now + 31s)), 20, 2);
}

TEST_F(LimiterOfOneNode, APermitIsDeniedWhenNeitherOwnerNorDeputyAnswers)
{
    limiter.setNodes({ { node_id("10.0.0.2:7200"), availability_zone("other") },
                         { node_id("10.0.0.3:7200"), availability_zone("other") } },
        3, now);
    limiter.observe(target, availability_zone("other"), { 2, 1 }, now);
    const auto first = limiter.acquire(target, 1, now);
    ASSERT_EQ(first.decision, permit_decision::Pending);
    EXPECT_EQ(countOf<send_target_limit_message>(limiter.tick(now + 60ms)), 1U) << "the deputy is asked";
    const auto last = limiter.tick(now + 120ms);
    ASSERT_EQ(countOf<permit_decided>(last), 1U);
    EXPECT_EQ(limiter.acquire(target, 1, now + 130ms).decision, permit_decision::Denied) << "at once";
}

TEST_F(LimiterOfOneNode, APermitThatArrivesAfterItsTimeoutIsNotUsed)
{
    limiter.setNodes({ { node_id("10.0.0.2:7200"), availability_zone("other") } }, 2, now);
    limiter.observe(target, availability_zone("other"), { 2, 1 }, now);
    const auto pending = limiter.acquire(target, 1, now);
    permit_answer answer;
    answer.number = pending.number;
    answer.granted = true;
    answer.known = { { 2, 1 }, 0ms };
    const auto actions
        = limiter.receive(node_id("10.0.0.2:7200"), { target, availability_zone("other"), answer }, now + 8s);
    for (const auto& action : actions) {
        if (const auto* decided = std::get_if<permit_decided>(&action)) {
            EXPECT_FALSE(decided->granted) << "the process was suspended for eight seconds";
        }
    }
    EXPECT_EQ(countOf<permit_decided>(actions), 1U);
}

TEST_F(LimiterOfOneNode, AFlappingLimitIsNotAnnouncedWithEachResponse)
{
    limiter.setNodes({ { node_id("10.0.0.2:7200"), zone }, { node_id("10.0.0.3:7200"), zone } }, 3, now);
    std::size_t messages = 0;
    for (int response = 0; response < 100; ++response) {
        now += 10ms;
        messages
            += countOf<send_target_limit_message>(limiter.observe(target, zone, { response % 2 ? 4.0 : 2.0, 1 }, now));
        if (now >= limiter.nextDue())
            messages += countOf<send_target_limit_message>(limiter.tick(now));
    }
    EXPECT_LE(messages, 10U) << "one notice in 250 ms to at most two nodes";
}

} // namespace
