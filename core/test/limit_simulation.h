/// \file
/// Simulated fleet in virtual time for tests of target limits: nodes, their network and membership views, targets that
/// name limits, and callers.
#pragma once

#include "core/seeded_random.h"
#include "core/target_limiter.h"
#include "core/test/virtual_time.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolepick {

/// Every node prefers the targets in its zone. A request that is denied by one target is sent to another one; if all
/// deny it, its caller is refused.
class limit_simulation : public virtual_time {
public:
    struct arrival {
        instant at;
        std::size_t node;
        bool isBound; ///< the sender had passed on the limit half a second before and was not disturbed
    };
    struct simulated_target {
        limited_target name;
        availability_zone zone;
        std::uint64_t incarnation = 1;
        std::optional<double> limit;
        instant limitedSince;
        std::vector<arrival> arrivals;
    };
    struct refusal {
        instant at;
        std::optional<std::chrono::milliseconds> retryAfter; ///< until the next permit, with its random spread
    };

    limit_simulation(std::size_t nodes, std::size_t targets, std::size_t zones, std::uint64_t seed)
        : m_random(seed)
        , m_nodes(nodes)
    {
        for (std::size_t index = 0; index < targets; ++index) {
            auto& target = this->targets.emplace_back();
            target.name = limited_target("t" + std::to_string(index));
            target.zone = availability_zone("z" + std::to_string(index % zones));
        }
        for (std::size_t index = 0; index < nodes; ++index) {
            auto& node = m_nodes[index];
            node.self = { node_id("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7200"),
                availability_zone("z" + std::to_string(index % zones)) };
            m_index[node.self.node] = index;
        }
        for (std::size_t index = 0; index < nodes; ++index)
            startProcess(index);
        spreadMembership(ms(100), ms(400));
    }

    /// Starts a node process with empty state after \p delay.
    void start(std::size_t index, ms delay)
    {
        at(delay, [this, index] {
            startProcess(index);
            spreadMembership(ms(100), ms(400));
        });
    }

    void kill(std::size_t index)
    {
        m_nodes[index].running = false;
        m_nodes[index].disturbedAt = m_now;
        spreadMembership(ms(2'000), ms(2'000));
    }

    /// Cuts a node off from the other nodes, but not from the targets.
    void cut(std::size_t index, ms time)
    {
        m_nodes[index].cut = true;
        m_nodes[index].disturbedAt = m_now + time;
        spreadMembership(ms(2'000), ms(2'000));
        at(time, [this, index] {
            m_nodes[index].cut = false;
            spreadMembership(ms(200), ms(1'000));
        });
    }

    void freeze(std::size_t index, ms time)
    {
        m_nodes[index].frozenUntil = m_now + time;
        m_nodes[index].disturbedAt = m_now + time;
    }

    void setLoss(double loss) { m_loss = loss; }

    /// Lets every node miss a random \p share of the others until the next change of the membership.
    void distortViews(double share)
    {
        m_missedShare = share;
        spreadMembership(ms(10), ms(200));
    }

    void setLimit(std::size_t index, std::optional<double> limit)
    {
        targets[index].limit = limit;
        targets[index].limitedSince = m_now;
    }

    /// Offers requests at random times. Two thirds of them arrive at \p busyShare of the nodes.
    void offer(double perSecond, double busyShare, ms time)
    {
        const auto end = m_now + time;
        const auto busy = std::max<std::size_t>(static_cast<std::size_t>(busyShare * m_nodes.size()), 1);
        scheduleRequest(perSecond, busy, end);
        run(time);
    }

    /// \return the node that other nodes asked most often for permits of target \p index, its owner
    std::size_t ownerOf(std::size_t index) const
    {
        std::size_t owner = 0;
        std::size_t most = 0;
        for (const auto& [key, count] : m_requestsTo) {
            if (key.first == index && count > most) {
                most = count;
                owner = key.second;
            }
        }
        return owner;
    }

    /// \return the largest excess over what the platform's rule allows for target \p index in a window that ends after
    ///     \p from; 0 or less if the rule holds. \p limit is the largest limit of that time
    double mostOverAllowed(std::size_t index, double limit, instant from) const
    {
        constexpr std::chrono::seconds Window { 4 };
        constexpr double AllowedFactor = 1.5;
        constexpr double AllowedExtra = 5;
        double most = -std::numeric_limits<double>::infinity();
        std::deque<instant> recent;
        for (const auto& arrival : targets[index].arrivals) {
            if (!arrival.isBound || arrival.at < from)
                continue;
            recent.push_back(arrival.at);
            while (arrival.at - recent.front() >= Window)
                recent.pop_front();
            most = std::max(most, recent.size() - (AllowedFactor * limit * Window.count() + AllowedExtra));
        }
        return most;
    }

    /// \return the number of requests that target \p index received since \p from
    std::size_t received(std::size_t index, instant from) const
    {
        const auto& all = targets[index].arrivals;
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [from](const auto& arrival) { return arrival.at >= from; }));
    }

    /// \return the nodes that know the limit of target \p index
    std::size_t informedNodes(std::size_t index) const
    {
        const auto& target = targets[index];
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
            [&](const auto& node) { return node.running && node.limiter->limitOf(target.name, target.incarnation); }));
    }

    target_limiter& limiter(std::size_t node) { return *m_nodes[node].limiter; }
    std::size_t size() const { return m_nodes.size(); }
    seeded_random& random() { return m_random; }

    std::deque<simulated_target> targets;
    std::vector<refusal> refusals;
    std::size_t served = 0;
    std::size_t datagrams = 0;
    std::size_t outdated = 0;
    ms contactTime { 3'000 };

private:
    struct simulated_node {
        limit_node self;
        std::unique_ptr<target_limiter> limiter;
        std::uint64_t incarnation = 0;
        bool running = false;
        bool cut = false;
        instant frozenUntil;
        instant disturbedAt;
        instant tickAt = instant::max();
        std::map<std::size_t, instant> passedOn; // first response with a limit, by target
        std::map<std::uint64_t, std::function<void(bool)>> waiting; // for permits
    };

    void startProcess(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.running = true;
        ++node.incarnation;
        node.disturbedAt = m_now;
        node.tickAt = instant::max();
        node.passedOn.clear();
        node.waiting.clear();
        node.limiter = std::make_unique<target_limiter>(node.self, target_limiter_settings {}, m_now);
    }

    void scheduleRequest(double perSecond, std::size_t busy, instant end)
    {
        const auto gap = std::chrono::microseconds(static_cast<std::int64_t>(1e6 / perSecond * 2 * m_random.unit()));
        if (m_now + gap >= end)
            return;
        atExactly(m_now + gap, [this, perSecond, busy, end] {
            scheduleRequest(perSecond, busy, end);
            const auto index = m_random.below(3) ? m_random.below(busy) : m_random.below(m_nodes.size());
            if (m_nodes[index].running && m_now >= m_nodes[index].frozenUntil)
                send(index, order(index));
        });
    }

    // Returns the targets in the order in which the node tries them.
    std::vector<std::size_t> order(std::size_t index)
    {
        std::vector<std::pair<double, std::size_t>> scored;
        for (std::size_t target = 0; target < targets.size(); ++target)
            scored.emplace_back(m_random.unit() + (targets[target].zone != m_nodes[index].self.zone), target);
        std::sort(scored.begin(), scored.end());
        std::vector<std::size_t> ordered;
        for (const auto& [score, target] : scored)
            ordered.push_back(target);
        return ordered;
    }

    void send(std::size_t index, std::vector<std::size_t> candidates)
    {
        auto& node = m_nodes[index];
        if (candidates.empty()) {
            refuse(index);
            return;
        }
        const auto number = candidates.front();
        candidates.erase(candidates.begin());
        auto& target = targets[number];
        auto result = node.limiter->acquire(target.name, target.incarnation, m_now);
        const auto decide = [this, index, number, candidates](bool granted) {
            if (granted)
                deliver(index, number);
            else
                send(index, candidates);
        };
        if (result.decision == permit_decision::Pending)
            node.waiting[result.number] = decide;
        perform(index, result.actions);
        if (result.decision != permit_decision::Pending)
            decide(result.decision != permit_decision::Denied);
    }

    void refuse(std::size_t index)
    {
        std::vector<limited_target> names;
        for (const auto& target : targets)
            names.push_back(target.name);
        auto& limiter = *m_nodes[index].limiter;
        limiter.recordRefused(names);
        std::optional<ms> retryAfter;
        for (const auto& name : names) {
            const auto outlook = limiter.outlook(name);
            const auto wait = std::chrono::ceil<ms>(std::max<instant::duration>(outlook.nextPermit - m_now, ms(0)))
                + ms(m_random.below(static_cast<std::uint64_t>(outlook.spread.count()) + 1));
            retryAfter = std::min(retryAfter.value_or(wait), wait);
        }
        refusals.push_back({ m_now, retryAfter });
    }

    void deliver(std::size_t index, std::size_t number)
    {
        ++served;
        at(ms(1), [this, index, number] {
            auto& node = m_nodes[index];
            auto& target = targets[number];
            const auto passedOn = node.passedOn.find(number);
            const bool isBound = target.limit && passedOn != node.passedOn.end() && m_now >= passedOn->second + ms(500)
                && node.running && !node.cut && m_now >= node.disturbedAt + contactTime;
            target.arrivals.push_back({ m_now, index, isBound });
            const target_limit stated { target.limit, target.incarnation };
            onNode(ms(5 + m_random.below(20)), index, [this, index, number, stated] {
                if (stated.requestsPerSecond)
                    m_nodes[index].passedOn.emplace(number, m_now);
                const auto& responding = targets[number];
                perform(index, m_nodes[index].limiter->observe(responding.name, responding.zone, stated, m_now));
            });
        });
    }

    // Updates the views of all nodes, each after an own delay.
    void spreadMembership(ms shortest, ms range)
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (!m_nodes[index].running)
                continue;
            const auto delay = shortest + ms(m_random.below(static_cast<std::uint64_t>(range.count())));
            onNode(delay, index, [this, index] { updateView(index); });
        }
    }

    void updateView(std::size_t index)
    {
        std::vector<limit_node> others;
        for (const auto& other : m_nodes) {
            const bool reachable
                = other.running && !other.cut && !m_nodes[index].cut && m_random.unit() >= m_missedShare;
            if (reachable && other.self.node != m_nodes[index].self.node)
                others.push_back(other.self);
        }
        const auto known = m_missedShare > 0 ? others.size() + 1 : m_nodes.size(); // missed nodes are not known at all
        perform(index, m_nodes[index].limiter->setNodes(std::move(others), known, m_now));
    }

    void onNode(ms delay, std::size_t index, std::function<void()> event)
    {
        const auto incarnation = m_nodes[index].incarnation;
        at(delay, [this, index, incarnation, event = std::move(event)]() mutable {
            const auto& node = m_nodes[index];
            if (!node.running || node.incarnation != incarnation)
                return;
            if (m_now < node.frozenUntil)
                onNode(std::chrono::ceil<ms>(node.frozenUntil - m_now) + ms(1), index, std::move(event));
            else
                event();
        });
    }

    void scheduleTick(std::size_t index)
    {
        auto& node = m_nodes[index];
        const auto due = node.limiter->nextDue();
        if (node.tickAt <= due)
            return;
        node.tickAt = due;
        onNode(std::chrono::ceil<ms>(due - m_now), index, [this, index] {
            m_nodes[index].tickAt = instant::max();
            perform(index, m_nodes[index].limiter->tick(m_now));
        });
    }

    void perform(std::size_t index, const target_limiter::actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* outgoing = std::get_if<send_target_limit_message>(&action)) {
                transmit(index, *outgoing);
            } else if (const auto* decided = std::get_if<permit_decided>(&action)) {
                const auto waiting = m_nodes[index].waiting.extract(decided->number);
                if (waiting)
                    waiting.mapped()(decided->granted);
            } else if (std::holds_alternative<outdated_limit_ignored>(action)) {
                ++outdated;
            }
        }
        scheduleTick(index);
    }

    void transmit(std::size_t from, const send_target_limit_message& outgoing)
    {
        ++datagrams;
        const auto to = m_index.at(outgoing.to);
        if (std::holds_alternative<permit_request>(outgoing.message.body)) {
            for (std::size_t target = 0; target < targets.size(); ++target) {
                if (targets[target].name == outgoing.message.target)
                    ++m_requestsTo[{ target, to }];
            }
        }
        if (m_nodes[from].cut || m_nodes[to].cut || m_random.unit() < m_loss)
            return;
        onNode(ms(1 + m_random.below(4)), to, [this, from, to, message = outgoing.message] {
            perform(to, m_nodes[to].limiter->receive(m_nodes[from].self.node, message, m_now));
        });
    }

    seeded_random m_random;
    double m_loss = 0;
    double m_missedShare = 0;
    std::vector<simulated_node> m_nodes;
    std::map<node_id, std::size_t> m_index;
    std::map<std::pair<std::size_t, std::size_t>, std::size_t> m_requestsTo; // by target and owner
};

} // namespace oriolepick
