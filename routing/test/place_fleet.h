/// \file
/// Simulated nodes in virtual time that choose targets, with allocators of places or by today's rule.
#pragma once

#include "core/test/virtual_time.h"
#include "routing/place_allocator.h"
#include "routing/place_client.h"
#include "routing/target_tracker.h"

#include <array>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolepick {

/// Settings of place_fleet.
struct place_fleet_settings {
    std::size_t nodes = 81;
    bool allocates = true; ///< false: today's rule
    std::chrono::milliseconds newsAge { 100 }; ///< until nodes know of a lost or new target; age of load reports
    double loss = 0.01; ///< share of lost datagrams; as many arrive twice
    double late = 0.01; ///< share of datagrams that arrive 20 to 60 ms late, since a node was not scheduled
};

/// \return whether the environment turns the allocation off, to show that the tests fail without it
inline bool isAllocationOff()
{
    const auto* value = std::getenv("ORIOLEPICK_PLACES");
    return value && std::string(value) == "off";
}

/// Runs the place components of all nodes and the datagrams between them.
class place_fleet : public virtual_time {
public:
    using us = std::chrono::microseconds;
    static constexpr std::size_t Zones = 3;

    place_fleet(const place_fleet_settings& settings, std::uint64_t seed)
        : m_fleet(settings)
        , m_random(seed)
        , m_nodes(settings.nodes)
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            auto& node = m_nodes[index];
            node.id = node_id("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7200");
            node.zone = availability_zone(std::string(1, static_cast<char>('a' + index % Zones)));
            m_index[node.id] = index;
            startNode(index);
        }
        updateMembership();
    }
    place_fleet(const place_fleet&) = delete;
    place_fleet& operator=(const place_fleet&) = delete;

    std::size_t nodeCount() const { return m_nodes.size(); }
    bool isRunning(std::size_t index) const { return m_nodes[index].running; }

    /// \return the node that allocates the places of the first shard
    std::size_t allocatorIndex() const
    {
        const auto& directory = *m_nodes[0].directory;
        return m_index.at(directory.allocatorOf(directory.shardsOf(m_service.name).front()));
    }

    /// Ends a node's process. The others notice after three seconds.
    void killNode(std::size_t index)
    {
        m_nodes[index].running = false;
        at(ms(3'000), [this] { updateMembership(); });
    }

    void restartNode(std::size_t index)
    {
        ++m_nodes[index].incarnation;
        m_nodes[index].running = true;
        startNode(index);
        updateMembership();
    }

    void freezeNode(std::size_t index, ms time) { m_nodes[index].frozenUntil = m_now + time; }

    /// Drops all datagrams from and to a node.
    void cutOff(std::size_t index, bool isCutOff) { m_nodes[index].cutOff = isCutOff; }

    /// \return the sum of places in use that the allocators of the service's shards know of
    std::size_t knownInFlight() const
    {
        std::size_t sum = 0;
        const auto& directory = *m_nodes[0].directory;
        for (const auto& shard : directory.shardsOf(m_service.name)) {
            const auto& allocator = *m_nodes[m_index.at(directory.allocatorOf(shard))].allocator;
            if (const auto* account = allocator.find(shard)) {
                for (const auto& target : directory.targetsIn(shard))
                    sum += account->targets().inFlight(target.name);
            }
        }
        return sum;
    }

    std::size_t datagrams = 0;
    std::array<std::size_t, std::variant_size_v<place_message>> byKind {}; ///< datagrams by kind of message
    std::size_t localDecisions = 0;
    ms longestUndecided { 0 }; ///< without a decision and without the answer that the request waits

protected:
    using decision_handler = std::function<void(std::uint64_t number, const place_decided& decided)>;

    struct node {
        node_id id;
        availability_zone zone;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<place_directory> directory;
        std::unique_ptr<target_tracker> tracker;
        std::unique_ptr<place_client> client;
        std::unique_ptr<place_allocator> allocator;
        std::map<std::uint64_t, std::pair<instant, decision_handler>> waiting;
        std::set<std::uint64_t> told; // requests that know that they wait
        bool running = true;
        bool cutOff = false;
        std::uint64_t incarnation = 1;
        instant frozenUntil;
        instant wakeAt = instant::max();
    };

    void setService(place_service service)
    {
        m_service = std::move(service);
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            learnTargets(index);
    }

    /// Nodes learn after the age of the news that a target was lost, or is back.
    void changeTarget(std::size_t number, bool available)
    {
        at(m_fleet.newsAge, [this, number, available] {
            m_service.targets[number].available = available;
            for (auto& node : m_nodes) {
                ++m_revision;
                available ? node.tracker->put(entryOf(number), m_now)
                          : node.tracker->remove(m_service.targets[number].name, m_now);
                node.directory->setService(m_service);
            }
        });
    }

    target_entry entryOf(std::size_t number) const
    {
        const auto& target = m_service.targets[number];
        return { target.name, m_service.name, "10.9.0.1:" + std::to_string(number), target.zone, target.slots, false, 1,
            m_revision };
    }

    /// Requests a place at a node.
    void acquire(std::size_t index, const place_demand& demand, decision_handler handler)
    {
        auto& node = m_nodes[index];
        auto result = node.client->acquire(demand, m_now);
        node.waiting[result.number] = { m_now, std::move(handler) };
        perform(index, result.actions);
    }

    void end(std::size_t index, std::uint64_t number, place_end how)
    {
        perform(index, m_nodes[index].client->end(number, how, m_now));
    }

    /// Runs \p event on a node after \p delay, unless its process has ended; a frozen process runs it later.
    void onNode(std::size_t index, us delay, std::function<void()> event)
    {
        const auto incarnation = m_nodes[index].incarnation;
        atExactly(m_now + delay, [this, index, incarnation, event = std::move(event)] {
            auto& node = m_nodes[index];
            if (!node.running || node.incarnation != incarnation)
                return;
            if (m_now < node.frozenUntil)
                onNode(index, std::chrono::ceil<us>(node.frozenUntil - m_now), event);
            else
                event();
        });
    }

    us transit() { return us(500 + m_random.below(2'000)); }

    void perform(std::size_t index, const std::vector<place_action>& actions)
    {
        for (const auto& action : actions) {
            if (const auto* sent = std::get_if<send_place_message>(&action))
                send(index, *sent);
            else if (const auto* decided = std::get_if<place_decided>(&action))
                onDecided(index, *decided);
        }
        scheduleWake(index);
    }

    place_fleet_settings m_fleet;
    seeded_random m_random;
    std::vector<node> m_nodes;
    place_service m_service;

private:
    void startNode(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.waiting.clear();
        node.wakeAt = instant::max();
        node.random = std::make_unique<seeded_random>(m_random.next());
        node.tracker = std::make_unique<target_tracker>(target_tracker_settings {}, *node.random);
        node.directory
            = std::make_unique<place_directory>(place_node { node.id, node.zone }, place_directory_settings {});
        node.client = std::make_unique<place_client>(
            *node.directory, place_client_settings {}, seeded_random(m_random.next()), node.incarnation);
        node.allocator = std::make_unique<place_allocator>(
            *node.directory, place_allocator_settings {}, seeded_random(m_random.next()));
        learnTargets(index);
    }

    void learnTargets(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.directory->setService(m_service);
        for (std::size_t number = 0; number < m_service.targets.size(); ++number) {
            if (m_service.targets[number].available)
                node.tracker->put(entryOf(number), m_now);
        }
    }

    void updateMembership()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            std::vector<place_node> others;
            for (const auto& other : m_nodes) {
                if (other.running && other.id != m_nodes[index].id)
                    others.push_back({ other.id, other.zone });
            }
            m_nodes[index].directory->setNodes(others);
            onNode(index, us(0), [this, index] { wake(index); });
        }
    }

    void onDecided(std::size_t index, const place_decided& decided)
    {
        auto& node = m_nodes[index];
        const auto found = node.waiting.find(decided.number);
        if (found == node.waiting.end())
            return;
        const auto [askedAt, handler] = std::move(found->second);
        node.waiting.erase(found);
        if (!node.told.erase(decided.number) && m_now >= node.frozenUntil + ms(100))
            longestUndecided = std::max(longestUndecided, std::chrono::duration_cast<ms>(m_now - askedAt));
        localDecisions += std::holds_alternative<decide_locally>(decided.decision);
        handler(decided.number, decided);
    }

    void send(std::size_t from, const send_place_message& sent)
    {
        const auto to = m_index.at(sent.to);
        if (to == from) {
            deliver(from, to, sent.message);
            return;
        }
        ++datagrams;
        ++byKind[sent.message.index()];
        if (m_nodes[from].cutOff || m_nodes[to].cutOff || m_random.unit() < m_fleet.loss)
            return;
        const int copies = m_random.unit() < m_fleet.loss ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto delay = m_random.unit() < m_fleet.late ? us(20'000 + m_random.below(40'000)) : transit();
            onNode(to, delay, [this, from, to, message = sent.message] { deliver(from, to, message); });
        }
    }

    void deliver(std::size_t from, std::size_t to, const place_message& message)
    {
        auto& node = m_nodes[to];
        const auto* answer = std::get_if<place_answer>(&message);
        if (answer && answer->outcome == place_outcome::Waiting && node.waiting.count(answer->number))
            node.told.insert(answer->number);
        if (answer || std::holds_alternative<place_line_state>(message)) {
            perform(to, node.client->receive(m_nodes[from].id, message, m_now));
            return;
        }
        for (const auto& reply : node.allocator->receive(m_nodes[from].id, message, m_now))
            send(to, reply);
        scheduleWake(to);
    }

    void scheduleWake(std::size_t index)
    {
        auto& node = m_nodes[index];
        const auto due = std::min(node.client->nextDue(), node.allocator->nextDue());
        if (due >= node.wakeAt)
            return;
        const auto at = std::max(due, m_now + us(100));
        node.wakeAt = at;
        onNode(index, std::chrono::ceil<us>(at - m_now), [this, index, at] {
            if (m_nodes[index].wakeAt == at)
                wake(index);
        });
    }

    void wake(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.wakeAt = instant::max();
        for (const auto& reply : node.allocator->tick(m_now))
            send(index, reply);
        perform(index, node.client->tick(m_now));
    }

    std::map<node_id, std::size_t> m_index;
    std::uint64_t m_revision = 1;
};

} // namespace oriolepick
