/// \file
/// Virtual network of membership state machines for tests: delay, loss, partitions, pauses and restarts.
#pragma once

#include "core/membership.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace oriolepick {

/// One simulated node.
struct network_node {
    node_id id;
    std::string zone;
    std::unique_ptr<membership> state;
    std::uint64_t incarnation = 1;
    int group = 0;
    bool running = true;
    bool paused = false;
    std::uint64_t sent = 0;
};

/// Runs the nodes in steps of virtual time.
class membership_network {
public:
    explicit membership_network(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::size_t add(const std::string& zone)
    {
        network_node node;
        node.id = node_id("node-" + std::to_string(m_nodes.size()));
        node.zone = zone;
        m_indexOf[node.id] = m_nodes.size();
        m_nodes.push_back(std::move(node));
        start(m_nodes.size() - 1);
        return m_nodes.size() - 1;
    }

    /// A new process at the same address.
    void start(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.running = true;
        node.paused = false;
        const member_update self { node.id, availability_zone(node.zone), region_name("region"), member_state::Alive,
            node.incarnation++ << 20 };
        node.state = std::make_unique<membership>(self, membership_settings {}, seeded_random(m_random.next()), m_now);
        std::vector<node_id> seeds;
        for (std::size_t seed = 0; seed < 3 && seed < m_nodes.size(); ++seed)
            seeds.push_back(m_nodes[seed].id);
        perform(index, node.state->join(seeds, m_now));
    }

    void stop(std::size_t index) { m_nodes[index].running = false; }
    void leave(std::size_t index) { perform(index, m_nodes[index].state->leave(m_now)); }

    void run(std::chrono::milliseconds time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += std::chrono::milliseconds(100);
            while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
                const auto [to, message] = std::move(m_inFlight.begin()->second);
                m_inFlight.erase(m_inFlight.begin());
                deliver(to, message);
            }
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                if (m_nodes[index].running && !m_nodes[index].paused)
                    perform(index, m_nodes[index].state->tick(m_now));
            }
        }
    }

    member_state stateAt(std::size_t observer, std::size_t subject) const
    {
        const auto& members = m_nodes[observer].state->members();
        const auto found = members.find(m_nodes[subject].id);
        return found == members.end() ? member_state::Left : found->second.update.state;
    }

    /// Describes the first wrong belief of a running node, empty when all agree with the facts.
    std::string firstMismatch() const
    {
        for (std::size_t observer = 0; observer < m_nodes.size(); ++observer) {
            for (std::size_t subject = 0; m_nodes[observer].running && subject < m_nodes.size(); ++subject) {
                const auto state = stateAt(observer, subject);
                if (m_nodes[subject].running ? state != member_state::Alive : !isDeadOrLeft(state))
                    return m_nodes[observer].id.value() + " holds " + m_nodes[subject].id.value() + " in state "
                        + std::to_string(static_cast<int>(state));
            }
        }
        return {};
    }

    std::vector<network_node>& nodes() { return m_nodes; }
    const std::vector<membership_action>& changesOf(std::size_t index) { return m_changes[index]; }
    void setLoss(double loss) { m_loss = loss; }

private:
    void perform(std::size_t from, std::vector<membership_action> actions)
    {
        for (auto& action : actions) {
            auto* send = std::get_if<send_membership_message>(&action);
            if (!send) {
                m_changes[from].push_back(action);
                continue;
            }
            ++m_nodes[from].sent;
            const auto to = m_indexOf.at(send->to);
            if (m_nodes[to].group == m_nodes[from].group && m_random.unit() >= m_loss)
                m_inFlight.emplace(
                    m_now + std::chrono::milliseconds(1 + m_random.below(60)), std::pair(to, std::move(send->message)));
        }
    }

    void deliver(std::size_t to, const membership_message& message)
    {
        if (m_nodes[to].running && !m_nodes[to].paused)
            perform(to, m_nodes[to].state->receive(message, m_now));
    }

    seeded_random m_random;
    instant m_now;
    double m_loss = 0;
    std::vector<network_node> m_nodes;
    std::map<node_id, std::size_t> m_indexOf;
    std::multimap<instant, std::pair<std::size_t, membership_message>> m_inFlight;
    std::map<std::size_t, std::vector<membership_action>> m_changes;
};

} // namespace oriolepick
