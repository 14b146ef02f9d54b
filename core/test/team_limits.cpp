// Guards the declared overshoot of team limits under joins, deaths, partitions and lost messages, the time named in a
// refusal, and that a new owner does not add its grants to those of the previous one.
#include "core/grant_owner.h"
#include "core/seeded_random.h"
#include "core/team_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

const team_id Team(fleet_name("atelier"), "bench");
constexpr double Limit = 10'000;
constexpr double FixedShare = 0.1;
constexpr std::uint32_t LargestCost = 2'000;
constexpr double BurstSeconds = 2;
constexpr int StepMilliseconds = 100;

struct node_sim {
    node_id id;
    std::unique_ptr<team_limiter> limiter;
    std::unique_ptr<grant_owner> owner;
    int group = 0; // partition
    bool alive = true;
};

// Nodes whose view of the membership follows the partitions at once; reports and grants are lost with a probability.
class limit_simulation {
public:
    limit_simulation(std::uint64_t seed, std::uint32_t largestCost, int requestsPerStep)
        : m_random(seed)
        , m_largestCost(largestCost)
        , m_requestsPerStep(requestsPerStep)
    {
    }

    void addNode(instant now)
    {
        node_sim node;
        node.id = node_id("node-" + std::to_string(m_nodes.size()));
        node.limiter = std::make_unique<team_limiter>();
        node.owner = std::make_unique<grant_owner>(node.id);
        node.group = static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_groups)));
        m_nodes.push_back(std::move(node));
        ++m_starts;
        updateViews(now);
        m_nodes.back().limiter->setLimit(Team, { Limit, FixedShare }, now);
        m_nodes.back().owner->setLimit(Team, { Limit, FixedShare }, now);
    }

    void partition(int groups, instant now)
    {
        m_groups = groups;
        for (auto& node : m_nodes)
            node.group = static_cast<int>(m_random.below(static_cast<std::uint64_t>(groups)));
        updateViews(now);
    }

    void toggleAlive(std::size_t index, instant now)
    {
        auto& node = m_nodes[index % m_nodes.size()];
        node.alive = !node.alive;
        if (node.alive) { // a restarted process knows nothing
            node.limiter = std::make_unique<team_limiter>();
            node.owner = std::make_unique<grant_owner>(node.id);
            ++m_starts;
        }
        updateViews(now);
        if (node.alive) {
            node.limiter->setLimit(Team, { Limit, FixedShare }, now);
            node.owner->setLimit(Team, { Limit, FixedShare }, now);
        }
    }

    // One step of demand far above the limit. Returns the tokens admitted.
    double step(instant now, double loss)
    {
        double admitted = 0;
        for (auto& node : m_nodes) {
            if (!node.alive)
                continue;
            for (int request = 0; request < m_requestsPerStep; ++request) {
                const auto cost = static_cast<std::uint32_t>(1 + m_random.below(m_largestCost));
                if (node.limiter->admit(Team, cost, now))
                    admitted += cost;
            }
            for (const auto& report : node.limiter->dueReports(now)) {
                auto* owner = ownerFor(node);
                if (!owner || m_random.unit() < loss)
                    continue;
                const auto grant = owner->owner->answer(node.id, report, now);
                if (grant)
                    m_issuers[owner->id] = now + grant->validFor;
                if (grant && m_random.unit() >= loss)
                    node.limiter->applyGrant(*grant, now);
            }
        }
        return admitted;
    }

    // The rate factor of the declared formula, for the groups that have nodes.
    double rateBound(instant now) const
    {
        std::set<int> groups;
        for (const auto& node : m_nodes) {
            if (node.alive)
                groups.insert(node.group);
        }
        // Also an issuer that has since died or restarted: its grants are still in use.
        const auto owners = std::count_if(
            m_issuers.begin(), m_issuers.end(), [&](const auto& issuer) { return issuer.second > now; });
        return Limit
            * (static_cast<double>(owners) * (1 - FixedShare) + FixedShare * static_cast<double>(groups.size()));
    }

    int takeStarts() { return std::exchange(m_starts, 0); }
    std::size_t size() const { return m_nodes.size(); }
    const std::vector<node_sim>& nodes() const { return m_nodes; }

private:
    std::vector<node_id> viewOf(int group) const
    {
        std::vector<node_id> view;
        for (const auto& node : m_nodes) {
            if (node.alive && node.group == group)
                view.push_back(node.id);
        }
        return view;
    }

    void updateViews(instant now)
    {
        m_owners.clear();
        for (int group = 0; group < 3; ++group)
            m_owners.push_back(grantOwnerOf(Team, viewOf(group)));
        for (auto& node : m_nodes) {
            if (!node.alive)
                continue;
            const auto view = viewOf(node.group);
            node.limiter->setNodeCount(static_cast<std::uint32_t>(view.size()), now);
            node.owner->setNodes(view, now);
        }
    }

    node_sim* ownerFor(const node_sim& reporter)
    {
        const auto& id = m_owners[static_cast<std::size_t>(reporter.group)];
        const auto found
            = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return node.id == id; });
        return found == m_nodes.end() ? nullptr : &*found;
    }

    seeded_random m_random;
    std::uint32_t m_largestCost;
    int m_requestsPerStep;
    std::vector<node_sim> m_nodes;
    std::vector<node_id> m_owners; // of each group
    int m_groups = 1;
    int m_starts = 0;
    std::map<node_id, instant> m_issuers; // when the last grant of each issuer expires
};

void checkOvershoot(std::uint64_t seed, bool partitions)
{
    seeded_random random(seed);
    limit_simulation simulation(random.next(), LargestCost, 1);
    instant now;
    for (int count = 0; count < 3; ++count)
        simulation.addNode(now);
    simulation.takeStarts();
    const double loss = random.below(2) ? 0.2 : 0;
    std::vector<double> excess { 0 }; // running sum of admitted tokens less the allowed ones
    double lowest = 0;
    for (int step = 0; step < 600; ++step) {
        now += milliseconds(StepMilliseconds);
        const auto event = random.below(60);
        if (event == 0 && simulation.size() < 9)
            simulation.addNode(now);
        else if (event == 1)
            simulation.toggleAlive(random.below(9), now);
        else if (event == 2 && partitions)
            simulation.partition(1 + static_cast<int>(random.below(3)), now);
        const double before = simulation.rateBound(now);
        const double admitted = simulation.step(now, loss);
        const double bound = std::max(before, simulation.rateBound(now));
        const double starts = simulation.takeStarts() * static_cast<double>(LargestCost);
        excess.push_back(excess.back() + admitted - bound * StepMilliseconds / 1000 - starts);
        lowest = std::min(lowest, excess.back());
        const double groups = partitions ? 3 : 1;
        const double allowed = groups * Limit * BurstSeconds + 9.0 * LargestCost;
        // No window ends higher above any earlier point than the burst and one request per node and start.
        RC_ASSERT(excess.back() - lowest <= allowed);
    }
}

} // namespace

RC_GTEST_PROP(team_limits, overshoot_is_bounded_under_joins_and_crashes, (std::uint64_t seed))
{
    checkOvershoot(seed, false);
}

RC_GTEST_PROP(team_limits, overshoot_is_bounded_under_partitions, (std::uint64_t seed))
{
    checkOvershoot(seed, true);
}

// The bound above follows the owners that have grants outstanding; this one does not. Failure: a new owner adds its
// grants to those of the previous one.
RC_GTEST_PROP(team_limits, a_crash_of_the_owner_never_doubles_the_limit, (std::uint64_t seed))
{
    // Many small requests keep the buckets empty, so that neither burst nor debt hides an overlap of grants.
    constexpr std::uint32_t SmallCost = 200;
    limit_simulation simulation(seed, SmallCost, 6);
    instant now;
    for (int count = 0; count < 6; ++count)
        simulation.addNode(now);
    double admitted = 0;
    double excess = 0;
    double lowest = 0;
    for (int step = 1; step <= 200; ++step) {
        now += milliseconds(StepMilliseconds);
        if (step % 80 == 0) {
            for (std::size_t index = 0; index < simulation.size(); ++index) {
                if (simulation.nodes()[index].alive && simulation.nodes()[index].owner->owns(Team)) {
                    simulation.toggleAlive(index, now);
                    break;
                }
            }
        }
        const double tokens = simulation.step(now, 0);
        admitted += tokens;
        excess += tokens - Limit * StepMilliseconds / 1000;
        lowest = std::min(lowest, excess);
        RC_ASSERT(excess - lowest <= Limit * 0.2 + 6.0 * SmallCost);
    }
    RC_ASSERT(admitted >= Limit * 20 * 0.4); // the silent periods may not make the limit useless
}

TEST(team_limits, steady_demand_gets_the_whole_limit)
{
    limit_simulation simulation(7, LargestCost, 1);
    instant now;
    for (int count = 0; count < 6; ++count)
        simulation.addNode(now);
    double admitted = 0;
    for (int step = 0; step < 600; ++step) {
        now += milliseconds(StepMilliseconds);
        const double tokens = simulation.step(now, 0);
        admitted += step >= 200 ? tokens : 0;
    }
    EXPECT_GT(admitted, 0.95 * Limit * 40);
}

TEST(team_limiter, refusal_names_the_time_after_which_the_next_request_is_admitted)
{
    team_limiter limiter;
    limiter.setLimit(Team, { 1000, 1.0 }, instant());
    EXPECT_TRUE(limiter.admit(Team, 2001, instant())); // the one token of a start, 2000 of debt
    const auto refused = limiter.admit(Team, 100, instant());
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, error_kind::LimitExceeded);
    EXPECT_EQ(refused.error().retryAfter, milliseconds(2001));
    EXPECT_NE(refused.error().message.find("atelier/bench"), std::string::npos);
    EXPECT_FALSE(limiter.admit(Team, 100, instant(milliseconds(2000))));
    EXPECT_TRUE(limiter.admit(Team, 100, instant(milliseconds(2001))));
    EXPECT_TRUE(limiter.admit(team_id(fleet_name("atelier"), "other"), 100'000, instant()));
}

TEST(team_limiter, a_grant_ends_counted_from_the_report_and_an_old_one_is_ignored)
{
    team_limiter limiter;
    limiter.setLimit(Team, { 1000, 0.1 }, instant());
    EXPECT_TRUE(limiter.admit(Team, 10, instant()));
    const auto first = limiter.dueReports(instant()).at(0);
    const auto second = limiter.dueReports(instant(milliseconds(2000))).at(0);
    limiter.applyGrant({ Team, 500, milliseconds(5000), second.sequence }, instant(milliseconds(4000)));
    limiter.applyGrant({ Team, 900, milliseconds(5000), first.sequence }, instant(milliseconds(4100)));
    EXPECT_DOUBLE_EQ(limiter.rate(Team, instant(milliseconds(6999))), 600);
    EXPECT_DOUBLE_EQ(limiter.rate(Team, instant(milliseconds(7000))), 100);
}

TEST(team_limiter, a_refund_is_usable_but_not_above_the_burst)
{
    team_limiter limiter;
    limiter.setLimit(Team, { 1000, 1.0 }, instant());
    EXPECT_TRUE(limiter.admit(Team, 3000, instant()));
    EXPECT_FALSE(limiter.admit(Team, 1, instant()));
    limiter.refund(Team, 3000, instant());
    EXPECT_TRUE(limiter.admit(Team, 500, instant()));
    limiter.refund(Team, 1'000'000, instant());
    EXPECT_TRUE(limiter.admit(Team, 2000, instant()));
    EXPECT_FALSE(limiter.admit(Team, 1, instant()));
}

TEST(grant_owner, small_demands_are_met_in_full)
{
    const node_id self("n1");
    grant_owner owner(self);
    owner.setLimit(Team, { 1000, 0.1 }, instant());
    owner.setNodes({ self }, instant());
    const instant later(milliseconds(5000));
    EXPECT_FALSE(owner.answer(node_id("small"), { Team, 100, 1 }, instant(milliseconds(4999))));
    EXPECT_FALSE(owner.answer(node_id("large"), { Team, 5000, 1 }, instant(milliseconds(4999))));
    const auto large = owner.answer(node_id("large"), { Team, 5000, 2 }, later);
    const auto small = owner.answer(node_id("small"), { Team, 100, 2 }, later);
    ASSERT_TRUE(large && small);
    EXPECT_NEAR(small->tokensPerSecond, 100, 1);
    EXPECT_NEAR(large->tokensPerSecond, 800, 1);
    EXPECT_LE(owner.outstanding(Team, later), 900 + 1e-6);
}

// Failure: a node that joins takes a share that others still hold.
TEST(grant_owner, rate_in_use_elsewhere_is_not_granted_again)
{
    const node_id self("n1");
    grant_owner owner(self);
    owner.setLimit(Team, { 1000, 0.1 }, instant());
    owner.setNodes({ self }, instant());
    const auto at = [](int time) { return instant(milliseconds(time)); };
    EXPECT_NEAR(owner.answer(node_id("first"), { Team, 5000, 1 }, at(5000))->tokensPerSecond, 900, 1e-6);
    EXPECT_NEAR(owner.answer(node_id("second"), { Team, 5000, 1 }, at(6000))->tokensPerSecond, 0, 1e-6);
    // The first is cut to its fair share, but its larger grant counts until it expires: the answer may be lost.
    EXPECT_NEAR(owner.answer(node_id("first"), { Team, 5000, 2 }, at(7000))->tokensPerSecond, 450, 1e-6);
    EXPECT_NEAR(owner.answer(node_id("second"), { Team, 5000, 2 }, at(8000))->tokensPerSecond, 0, 1e-6);
    EXPECT_NEAR(owner.answer(node_id("second"), { Team, 5000, 3 }, at(10'000))->tokensPerSecond, 450, 1e-6);
}
