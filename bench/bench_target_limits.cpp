// Compares ways to keep a limit that is summed over all nodes: an equal share per node, shares that an owner grants by
// demand, few nodes per target, and permits of an owner for single requests. Four targets of one service, all limited;
// the callers offer 60 requests a second. Prints one JSON object a line.
#include "bench/json_line.h"
#include "core/grant_owner.h"
#include "core/rendezvous.h"
#include "core/seeded_random.h"
#include "core/stable_hash.h"
#include "core/target_limiter.h"
#include "core/team_limiter.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace oriolepick;

namespace {

using ms = std::chrono::milliseconds;

constexpr std::size_t Targets = 4;
constexpr double OfferedPerSecond = 60;
constexpr ms Step { 1 };
constexpr ms Duration { 60'000 };
constexpr ms SettlingTime { 10'000 };
constexpr ms RuleWindow { 4'000 };
constexpr double AllowedFactor = 1.5; ///< by the platform's rule, like AllowedExtra
constexpr double AllowedExtra = 5;
constexpr std::uint64_t Seed = 1;

struct load {
    std::size_t nodes;
    double limit;
    double busyShare; ///< share of the nodes that receive two thirds of the requests
};

/// Decides whether a node may send a request to a target now. Messages between nodes take no time here.
class limit_policy {
public:
    virtual ~limit_policy() = default;
    virtual bool admit(std::size_t node, std::size_t target, instant now) = 0;
    virtual void tick(instant) { }
    std::size_t messages = 0;
};

std::vector<node_id> nodeNames(std::size_t count)
{
    std::vector<node_id> names;
    for (std::size_t index = 0; index < count; ++index)
        names.emplace_back("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7200");
    return names;
}

/// Every node sends its equal share. Buckets begin at random levels: full ones would send a request each at once.
class equal_share final : public limit_policy {
public:
    equal_share(const load& pattern, std::size_t sharers, instant now)
        : m_buckets(pattern.nodes, std::vector<double>(Targets))
        , m_refilled(pattern.nodes, std::vector<instant>(Targets, now))
        , m_rate(pattern.limit / static_cast<double>(sharers))
        , m_sharers(sharers)
    {
        seeded_random random(3);
        const auto names = nodeNames(pattern.nodes);
        for (std::size_t target = 0; target < Targets; ++target) {
            const auto chosen = responsibleNodes(stableHash(std::to_string(target)), names, sharers);
            for (std::size_t node = 0; node < pattern.nodes; ++node) {
                const bool shares = std::find(chosen.begin(), chosen.end(), names[node]) != chosen.end();
                m_buckets[node][target] = shares ? random.unit() : -1;
            }
        }
    }

    bool admit(std::size_t node, std::size_t target, instant now) override
    {
        auto& bucket = m_buckets[node][target];
        if (bucket < 0)
            return false;
        auto& refilled = m_refilled[node][target];
        bucket = std::min(bucket + m_rate * std::chrono::duration<double>(now - refilled).count(), 1.0);
        refilled = now;
        if (bucket < 1)
            return false;
        bucket -= 1;
        return true;
    }

private:
    std::vector<std::vector<double>> m_buckets;
    std::vector<std::vector<instant>> m_refilled;
    double m_rate;
    std::size_t m_sharers;
};

/// The way of the teams' limits: nodes report demand, and an owner grants rates.
class granted_shares final : public limit_policy {
public:
    granted_shares(const load& pattern, instant now)
        : m_names(nodeNames(pattern.nodes))
        , m_owner(m_names[0], grant_owner_settings {})
    {
        m_owner.setNodes({ m_names[0] }, now);
        for (std::size_t target = 0; target < Targets; ++target) {
            m_keys.emplace_back(fleet_name("one"), "t" + std::to_string(target));
            m_owner.setLimit(m_keys[target], { pattern.limit }, now);
        }
        for (std::size_t node = 0; node < pattern.nodes; ++node) {
            auto& limiter = m_limiters.emplace_back(std::make_unique<team_limiter>());
            for (const auto& key : m_keys)
                limiter->setLimit(key, { pattern.limit }, now);
            limiter->setNodeCount(static_cast<std::uint32_t>(pattern.nodes), now);
        }
    }

    bool admit(std::size_t node, std::size_t target, instant now) override
    {
        return m_limiters[node]->admit(m_keys[target], 1, now).has_value();
    }

    void tick(instant now) override
    {
        if (now < m_nextReports)
            return;
        m_nextReports = now + ms(100);
        for (std::size_t node = 0; node < m_limiters.size(); ++node) {
            for (const auto& report : m_limiters[node]->dueReports(now)) {
                messages += 2;
                if (const auto grant = m_owner.answer(m_names[node], report, now))
                    m_limiters[node]->applyGrant(*grant, now);
            }
        }
    }

private:
    std::vector<node_id> m_names;
    std::vector<team_id> m_keys;
    grant_owner m_owner;
    std::vector<std::unique_ptr<team_limiter>> m_limiters;
    instant m_nextReports;
};

/// The way of target_limiter.
class owner_permits final : public limit_policy {
public:
    owner_permits(const load& pattern, instant now)
        : m_names(nodeNames(pattern.nodes))
    {
        for (std::size_t target = 0; target < Targets; ++target)
            m_targets.emplace_back("t" + std::to_string(target));
        for (std::size_t node = 0; node < pattern.nodes; ++node) {
            m_index[m_names[node]] = node;
            m_limiters.push_back(
                std::make_unique<target_limiter>(limit_node { m_names[node], {} }, target_limiter_settings {}, now));
            std::vector<limit_node> others;
            for (const auto& name : m_names) {
                if (name != m_names[node])
                    others.push_back({ name, {} });
            }
            m_limiters[node]->setNodes(std::move(others), pattern.nodes, now);
        }
        for (const auto& target : m_targets)
            deliver(0, m_limiters[0]->observe(target, {}, { pattern.limit, 1 }, now), now);
    }

    bool admit(std::size_t node, std::size_t target, instant now) override
    {
        const auto result = m_limiters[node]->acquire(m_targets[target], 1, now);
        m_granted = result.decision == permit_decision::Granted;
        deliver(node, result.actions, now);
        return m_granted;
    }

    void tick(instant now) override
    {
        for (std::size_t node = 0; node < m_limiters.size(); ++node) {
            if (now >= m_limiters[node]->nextDue())
                deliver(node, m_limiters[node]->tick(now), now);
        }
    }

private:
    void deliver(std::size_t from, const target_limiter::actions& actions, instant now)
    {
        for (const auto& action : actions) {
            if (const auto* outgoing = std::get_if<send_target_limit_message>(&action)) {
                ++messages;
                const auto to = m_index.at(outgoing->to);
                deliver(to, m_limiters[to]->receive(m_names[from], outgoing->message, now), now);
            } else if (const auto* decided = std::get_if<permit_decided>(&action)) {
                m_granted = decided->granted;
            }
        }
    }

    std::vector<node_id> m_names;
    std::map<node_id, std::size_t> m_index;
    std::vector<limited_target> m_targets;
    std::vector<std::unique_ptr<target_limiter>> m_limiters;
    bool m_granted = false;
};

void play(const char* name, limit_policy& policy, const load& pattern, instant begin)
{
    seeded_random random(Seed);
    const auto busy = std::max<std::size_t>(static_cast<std::size_t>(pattern.busyShare * pattern.nodes), 1);
    std::array<std::deque<instant>, Targets> recent;
    std::size_t most = 0;
    std::size_t served = 0;
    std::size_t messagesBefore = 0;
    for (auto now = begin; now < begin + Duration; now += Step) {
        policy.tick(now);
        if (now == begin + SettlingTime)
            messagesBefore = policy.messages;
        if (random.unit() >= OfferedPerSecond / 1'000)
            continue;
        const auto node = random.below(3) ? random.below(busy) : random.below(pattern.nodes);
        const auto first = random.below(Targets);
        for (std::size_t tried = 0; tried < Targets; ++tried) {
            const auto target = (first + tried) % Targets;
            if (!policy.admit(node, target, now))
                continue;
            if (now < begin + SettlingTime)
                break;
            ++served;
            recent[target].push_back(now);
            while (now - recent[target].front() >= RuleWindow)
                recent[target].pop_front();
            most = std::max(most, recent[target].size());
            break;
        }
    }
    const double seconds = std::chrono::duration<double>(Duration - SettlingTime).count();
    printResult("target_limits", Seed,
        { { "policy", name }, { "nodes", pattern.nodes }, { "limit_per_second", pattern.limit },
            { "busy_share", pattern.busyShare }, { "targets", Targets }, { "offered_per_second", OfferedPerSecond } },
        { { "used_share", static_cast<double>(served) / (seconds * pattern.limit * Targets) },
            { "most_in_window", most },
            { "allowed_in_window", static_cast<std::size_t>(AllowedFactor * 4 * pattern.limit + AllowedExtra) },
            { "messages", static_cast<double>(policy.messages - messagesBefore) / seconds } },
        { { "used_share", "share of the limits" }, { "most_in_window", "requests to one target in 4 s" },
            { "allowed_in_window", "requests in 4 s" }, { "messages", "1/s over all nodes" } });
}

} // namespace

int main()
{
    const instant begin { std::chrono::seconds(1'000) };
    for (const auto& pattern : { load { 6, 4, 1 }, load { 6, 4, 0.34 }, load { 20, 0.7, 0.34 }, load { 100, 4, 0.05 },
             load { 300, 4, 1 }, load { 300, 4, 0.01 }, load { 370, 4, 0.34 } }) {
        equal_share equal(pattern, pattern.nodes, begin);
        play("equal_share", equal, pattern, begin);
        equal_share few(pattern, std::min<std::size_t>(pattern.nodes, 3), begin);
        play("few_nodes", few, pattern, begin);
        granted_shares granted(pattern, begin);
        play("granted_shares", granted, pattern, begin);
        owner_permits permits(pattern, begin);
        play("owner_permits", permits, pattern, begin);
    }
}
