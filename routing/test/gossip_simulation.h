/// \file
/// Simulated fleet in virtual time for tests of store_gossip: nodes, their network and the store of the platform.
#pragma once

#include "core/seeded_random.h"
#include "core/test/virtual_time.h"
#include "routing/store_gossip.h"
#include "routing/test/revisions.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// How the store responds to the reads of one node.
enum class store_behavior { Succeeds, Rejects, TimesOut };

/// One simulated node.
struct simulated_node {
    node_id id;
    int zone = 0;
    std::unique_ptr<store_gossip> gossip;
    std::uint64_t incarnation = 0;
    bool running = false;
    bool cut = false; ///< disconnected from all other nodes
    store_behavior behavior = store_behavior::Succeeds;
    instant frozenUntil;
    instant pollAt = instant::max();
    instant disturbedAt; ///< time of the last simulated fault of this node
    std::array<std::uint64_t, StoreTopicCount> heldRevisions {};
};

/// Runs the nodes by events in virtual time. A read takes a few milliseconds, a pull two round trips.
class gossip_simulation : public virtual_time {
public:
    gossip_simulation(std::size_t nodes, int zones, ms bound, std::uint64_t seed)
        : m_random(seed)
        , m_bound(bound)
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            simulated_node node;
            node.id = node_id("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7200");
            node.zone = static_cast<int>(index) % zones;
            m_index[node.id] = index;
            m_nodes.push_back(std::move(node));
        }
    }

    /// Starts a node process; the first three nodes are the seeds that all nodes know.
    void start(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.running = true;
        ++node.incarnation;
        node.disturbedAt = m_now;
        node.heldRevisions = {};
        node.pollAt = instant::max();
        node.gossip = std::make_unique<store_gossip>(
            node.id, store_gossip_settings {}, m_bound, index < 3, seeded_random(m_random.next()), m_now);
        setNodes(index, 3);
        // The failure detector discovers all nodes some round trips later.
        const auto incarnation = node.incarnation;
        at(ms(100 + m_random.below(300)), [this, index, incarnation] {
            if (m_nodes[index].running && m_nodes[index].incarnation == incarnation)
                setNodes(index, m_nodes.size());
        });
        poll(index);
    }

    void startAll()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            at(ms(m_random.below(300)), [this, index] { start(index); });
    }

    void kill(std::size_t index)
    {
        m_nodes[index].running = false;
        m_nodes[index].disturbedAt = m_now;
    }

    void freeze(std::size_t index, ms time)
    {
        m_nodes[index].frozenUntil = m_now + time;
        m_nodes[index].disturbedAt = m_now + time;
    }

    /// Changes a topic in the store in a way that must reach the nodes.
    void change(store_topic topic)
    {
        ++m_revision;
        m_changes[static_cast<std::size_t>(topic)][m_revision] = m_now;
    }

    /// Advances the revision of the store continuously without relevant changes, as renewals do.
    void renew()
    {
        m_revision += 20;
        at(ms(100), [this] { renew(); });
    }

    /// \return the delays with which changes reached the nodes that were undisturbed since \p undisturbed before the
    /// change
    std::vector<ms> lateness(ms undisturbed) const
    {
        std::vector<ms> result;
        for (const auto& [key, when] : m_arrivals) {
            const auto& [topic, revision, index] = key;
            const auto changed = m_changes[topic].at(revision);
            if (changed >= m_measuredFrom && m_undisturbedSince.at(key) + undisturbed <= changed)
                result.push_back(std::chrono::duration_cast<ms>(when - changed));
        }
        std::sort(result.begin(), result.end());
        return result;
    }

    /// \return the number of changes older than \p bound that undisturbed nodes lack
    std::size_t missing(ms bound, ms undisturbed) const
    {
        std::size_t count = 0;
        for (std::size_t topic = 0; topic < StoreTopicCount; ++topic) {
            for (const auto& node : m_nodes) {
                if (!node.running || node.cut || node.disturbedAt + undisturbed > m_now)
                    continue;
                for (const auto& [revision, when] : m_changes[topic])
                    count += when + bound < m_now && when >= m_measuredFrom && node.heldRevisions[topic] < revision;
            }
        }
        return count;
    }

    bool allSynchronized() const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [](const simulated_node& node) {
            return !node.running
                || (node.gossip->asOf(store_topic::Configuration) && node.gossip->asOf(store_topic::Targets));
        });
    }

    std::size_t readers() const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
            [](const simulated_node& node) { return node.running && node.gossip->readerSchedule().isReader(); }));
    }

    std::vector<simulated_node>& nodes() { return m_nodes; }
    std::uint64_t calls() const { return m_calls; }
    std::uint64_t datagrams() const { return m_datagrams; }
    std::uint64_t pulls() const { return m_pulls; }
    void resetCounts() { m_calls = m_datagrams = m_pulls = 0; }
    void startMeasuring() { m_measuredFrom = m_now; }
    void setLoss(double loss) { m_loss = loss; }

private:
    using change_key = std::tuple<std::size_t, std::uint64_t, std::size_t>; // topic, revision, node

    void setNodes(std::size_t index, std::size_t count)
    {
        std::vector<node_id> local;
        std::vector<node_id> others;
        for (std::size_t other = 0; other < count; ++other) {
            if (other != index)
                (m_nodes[other].zone == m_nodes[index].zone ? local : others).push_back(m_nodes[other].id);
        }
        m_nodes[index].gossip->setNodes(std::move(local), std::move(others));
    }

    // Runs an event of a node once the node is not frozen; drops the event if the process was restarted meanwhile.
    void onNode(ms delay, std::size_t index, std::function<void()> event)
    {
        const auto incarnation = m_nodes[index].incarnation;
        at(delay, [this, index, incarnation, event = std::move(event)]() mutable {
            auto& node = m_nodes[index];
            if (!node.running || node.incarnation != incarnation)
                return;
            if (m_now < node.frozenUntil) {
                onNode(std::chrono::duration_cast<ms>(node.frozenUntil - m_now) + ms(1), index, std::move(event));
                return;
            }
            event();
        });
    }

    void poll(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.pollAt = instant::max();
        if (m_now >= node.gossip->nextDue())
            perform(index, node.gossip->tick(m_now));
        pollLater(index);
    }

    void pollLater(std::size_t index)
    {
        auto& node = m_nodes[index];
        const auto due = std::max(node.gossip->nextDue(), m_now + ms(1));
        if (due >= node.pollAt)
            return;
        node.pollAt = due;
        onNode(std::chrono::ceil<ms>(due - m_now), index, [this, index] { poll(index); });
    }

    ms delay(std::size_t from, std::size_t to)
    {
        return ms((m_nodes[from].zone == m_nodes[to].zone ? 1 : 2) + m_random.below(3));
    }

    bool connected(std::size_t from, std::size_t to) const
    {
        return !m_nodes[from].cut && !m_nodes[to].cut && m_nodes[to].running;
    }

    void perform(std::size_t index, const store_gossip::actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* sent = std::get_if<send_digest>(&action))
                sendDigest(index, *sent);
            else if (const auto* pull = std::get_if<pull_changes>(&action))
                startPull(index, *pull);
            else if (const auto* read = std::get_if<read_store>(&action))
                startRead(index, *read);
            else if (const auto* adopted = std::get_if<adopt_revision>(&action))
                holdRevision(index, static_cast<std::size_t>(adopted->topic), adopted->changeRevision.stored.number());
        }
        pollLater(index);
    }

    void sendDigest(std::size_t from, const send_digest& sent)
    {
        ++m_datagrams;
        const auto to = m_index.at(sent.to);
        if (!connected(from, to) || m_random.unit() < m_loss)
            return;
        onNode(delay(from, to), to, [this, from, to, digest = sent.digest] {
            perform(to, m_nodes[to].gossip->receive(m_nodes[from].id, digest, m_now));
        });
    }

    void startPull(std::size_t index, const pull_changes& pull)
    {
        ++m_pulls;
        const auto from = m_index.at(pull.from);
        const auto topic = static_cast<std::size_t>(pull.topic);
        const auto heldBefore = m_nodes[index].heldRevisions[topic];
        if (!connected(index, from) || m_now < m_nodes[from].frozenUntil) {
            onNode(ms(250), index, [this, index, pull] {
                perform(index, m_nodes[index].gossip->pulled(pull.topic, std::nullopt, m_now));
            });
            return;
        }
        onNode(2 * delay(index, from), index, [this, index, from, topic, pull, heldBefore] {
            const auto answered = m_nodes[from].gossip->digest(m_now).of(pull.topic);
            std::optional<topic_version> version;
            const bool unchanged = m_nodes[index].heldRevisions[topic] == heldBefore;
            if (answered.known && unchanged && answered.changeRevision.stored.number() > heldBefore)
                version = topic_version { answered.changeRevision, answered.readRevision, m_now - answered.age };
            if (version)
                holdRevision(index, topic, version->changeRevision.stored.number());
            perform(index, m_nodes[index].gossip->pulled(pull.topic, version, m_now));
        });
    }

    void startRead(std::size_t index, const read_store& read)
    {
        ++m_calls;
        const auto behavior = m_nodes[index].behavior;
        const auto startedAt = m_now;
        if (behavior != store_behavior::Succeeds) {
            onNode(behavior == store_behavior::TimesOut ? ms(1500) : ms(4), index,
                [this, index, read] { perform(index, m_nodes[index].gossip->readEnded(read, std::nullopt, m_now)); });
            return;
        }
        const auto revision = m_revision;
        onNode(ms(4 + m_random.below(4)), index, [this, index, read, startedAt, revision] {
            const auto kind = static_cast<std::size_t>(read.topic);
            const auto& changes = m_changes[kind];
            const auto newest = changes.upper_bound(revision);
            const auto news = newest == changes.begin() ? 1 : std::prev(newest)->first;
            holdRevision(index, kind, std::max(news, m_nodes[index].heldRevisions[kind]));
            const topic_version version { changedAt(m_nodes[index].heldRevisions[kind]), storedAt(revision),
                startedAt };
            perform(index, m_nodes[index].gossip->readEnded(read, version, m_now));
        });
    }

    void holdRevision(std::size_t index, std::size_t topic, std::uint64_t revision)
    {
        auto& held = m_nodes[index].heldRevisions[topic];
        const auto& changes = m_changes[topic];
        for (auto change = changes.upper_bound(held); change != changes.end() && change->first <= revision; ++change) {
            const change_key key { topic, change->first, index };
            m_arrivals.emplace(key, m_now);
            m_undisturbedSince.emplace(key, m_nodes[index].disturbedAt);
        }
        held = std::max(held, revision);
    }

    seeded_random m_random;
    ms m_bound;
    instant m_measuredFrom;
    std::vector<simulated_node> m_nodes;
    std::map<node_id, std::size_t> m_index;
    std::uint64_t m_revision = 1;
    std::array<std::map<std::uint64_t, instant>, StoreTopicCount> m_changes;
    std::map<change_key, instant> m_arrivals;
    std::map<change_key, instant> m_undisturbedSince;
    std::uint64_t m_calls = 0;
    std::uint64_t m_datagrams = 0;
    std::uint64_t m_pulls = 0;
    double m_loss = 0;
};

} // namespace oriolepick
