/// \file
/// Simulated fleet in virtual time for tests of rollout_coordinator: nodes, their network and callers, the targets of
/// one service in two versions, and the store.
#pragma once

#include "core/seeded_random.h"
#include "core/test/virtual_time.h"
#include "routing/rollout_coordinator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolepick {

/// How the requests to some targets go wrong.
struct target_fault {
    double failing = 0; ///< share of the requests that fail
    double slowness = 1; ///< factor of the response time
    std::chrono::milliseconds after { 0 }; ///< since the order
    int route = -1; ///< only requests of one of the routes
    std::size_t load = 0; ///< only with at least this number of requests in flight at the target
};

/// One run.
struct rollout_scenario {
    std::string name;
    std::size_t nodes = 60;
    double rate = 45; ///< requests per second over all nodes
    std::chrono::milliseconds duration { 30'000 }; ///< of the order
    std::size_t targets = 144; ///< of each version
    std::chrono::milliseconds responseTime { 800 }; ///< to the first event
    std::chrono::milliseconds runTime { 5'000 }; ///< after the first event
    target_fault fault; ///< of the new version
    target_fault disturbance; ///< of a fifth of the targets of both versions
    double loss = 0.01; ///< of datagrams
    double bursts = 1; ///< factor of the rate in 3 of 10 s
    bool zonesCrash = false; ///< one of three zones at a time, for 1.2 s
    double lostAnswers = 0; ///< share of the store's commits whose response is lost
    std::uint64_t seed = 1;
};

/// Runs the nodes by events in virtual time.
class rollout_simulation : public virtual_time {
public:
    explicit rollout_simulation(const rollout_scenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        for (std::size_t index = 0; index < scenario.nodes; ++index) {
            m_nodes.push_back({});
            m_nodes.back().id
                = node_id("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7200");
            m_index[m_nodes.back().id] = index;
        }
        for (std::size_t index = 0; index < 2 * scenario.targets; ++index) {
            sim_target target;
            target.isNew = index >= scenario.targets;
            target.registered = { target_name("t" + std::to_string(index)),
                availability_zone("z" + std::to_string(index % 3)), target.isNew ? "v2" : "v1" };
            m_targets.push_back(target);
        }
        for (const std::size_t first : { std::size_t { 0 }, scenario.targets }) {
            for (std::size_t disturbed = 0; disturbed < scenario.targets / 5;) {
                auto& target = m_targets[first + m_random.below(scenario.targets)];
                disturbed += !target.disturbed;
                target.disturbed = true;
            }
        }
        for (std::size_t index = 0; index < scenario.nodes; ++index)
            start(index);
        run(ms(1'000));
        giveOrder();
        if (scenario.rate > 0)
            nextRequest();
        if (scenario.zonesCrash)
            crashZone();
    }

    void start(std::size_t index)
    {
        auto& node = m_nodes[index];
        ++node.incarnation;
        node.running = true;
        node.due = instant::max();
        node.coordinator = std::make_unique<rollout_coordinator>(
            node.id, m_now.time_since_epoch().count(), rollout_settings {}, seeded_random(m_random.next()));
        if (m_ordered) {
            onNode(ms(200 + m_random.below(300)), index, [this, index] { see(index, true, true); });
        } else {
            see(index, false, false);
        }
        viewChange(ms(300));
    }

    void kill(std::size_t index)
    {
        m_nodes[index].running = false;
        ++m_nodes[index].incarnation;
        viewChange(ms(3'000));
    }

    void freeze(std::size_t index, ms time) { m_nodes[index].frozenUntil = m_now + time; }

    /// Separates the nodes of one group from the others; groups that are equal are connected again.
    void setGroup(std::size_t index, int group)
    {
        m_nodes[index].group = group;
        viewChange(ms(3'000));
    }

    void setStore(std::size_t index, bool reachable) { m_nodes[index].store = reachable; }
    void setStoreForAll(bool reachable) { m_storeUp = reachable; }
    /// Withdraws the order.
    void removeOrder()
    {
        forAll([this](std::size_t index) { perform(index, coordinator(index).orderRemoved(m_service, m_now)); });
    }

    /// Runs until some seconds after the deadline.
    void runToEnd() { run(std::max(ms(0), since(m_now, m_orderedAt + m_scenario.duration + ms(3'000)))); }

    /// \return whether all running nodes follow the result
    bool allNodesKnow(rollout_phase phase)
    {
        bool all = true;
        forAll([&](std::size_t index) { all = all && coordinator(index).phaseOf(m_service) == phase; });
        return all;
    }

    rollout_coordinator& coordinator(std::size_t index) { return *m_nodes[index].coordinator; }
    const service_name& service() const { return m_service; }
    const std::optional<rollout_ledger>& ledger() const { return m_ledger; }
    std::uint64_t commits() const { return m_revision; }
    std::uint64_t sent() const { return m_sent; }
    std::uint64_t badResponses() const { return m_bad; }
    /// \return whether a permit was used beyond the reservation in the ledger, or beyond the exposure allowed then
    bool exceeded() const { return m_exceeded; }
    ms decidedAfter() const { return m_decidedAfter; }
    const std::string& reason() const { return m_reason; }
    const rollout_scenario& scenario() const { return m_scenario; }

    /// \return the first node that wrote the ledger last
    std::size_t decider() const { return m_decider; }

    /// \return the time from the 50th bad response to the last request to the new version
    ms tail() const { return m_bad < 50 ? ms(0) : std::max(ms(0), since(m_fiftiethBad, m_lastSent)); }

    /// \return the requests that the new version may receive in all
    double allowed() const { return 0.1 * static_cast<double>(m_requests) + 50; }

    std::string json() const
    {
        const auto phase = m_ledger ? stateText(m_ledger->phase) : "none";
        const auto text = [](auto number) { return std::to_string(number); };
        return "{\"run\":\"" + m_scenario.name + "\",\"nodes\":" + text(m_scenario.nodes) + ",\"seed\":"
            + text(m_scenario.seed) + ",\"state\":\"" + phase + "\",\"decidedMs\":" + text(m_decidedAfter.count())
            + ",\"sent\":" + text(m_sent) + ",\"allowed\":" + text(static_cast<std::uint64_t>(allowed()))
            + ",\"bad\":" + text(m_bad) + ",\"tailMs\":" + text(tail().count()) + ",\"commits\":" + text(m_commits)
            + ",\"messages\":" + text(m_messages) + ",\"reason\":\"" + m_reason + "\"}";
    }

private:
    struct sim_node {
        node_id id;
        std::unique_ptr<rollout_coordinator> coordinator;
        std::uint64_t incarnation = 0;
        bool running = false;
        bool store = true;
        bool seesNew = false; // the targets of the new version are known
        int group = 0;
        instant frozenUntil;
        instant due;
        std::map<std::uint64_t, int> permits; // routes of requests that wait, by number
    };
    struct sim_target {
        rollout_target registered;
        bool isNew = false;
        bool disturbed = false;
        std::size_t inFlight = 0;
        instant crashedUntil;
        std::uint64_t crashes = 0;
    };

    static ms since(instant from, instant to) { return std::chrono::duration_cast<ms>(to - from); }
    ms storeNow() const { return since(instant {}, m_now) + ms(5'000'000); }

    template <typename Event> void forAll(Event event)
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (m_nodes[index].running)
                event(index);
        }
    }

    // Runs an event of one process; a frozen one handles it when it wakes up.
    template <typename Event> void onNode(ms delay, std::size_t index, Event event)
    {
        const auto incarnation = m_nodes[index].incarnation;
        at(delay, [this, index, incarnation, event] {
            const auto& node = m_nodes[index];
            if (!node.running || node.incarnation != incarnation)
                return;
            if (m_now < node.frozenUntil)
                onNode(since(m_now, node.frozenUntil) + ms(1), index, event);
            else
                event();
        });
    }

    // Membership finds out some time after a change; changes at the same moment are found out together.
    void viewChange(ms delay)
    {
        if (m_viewChanges.insert(m_now + delay).second)
            at(delay, [this] { updateViews(); });
    }

    void updateViews()
    {
        forAll([this](std::size_t index) {
            std::vector<node_id> others;
            for (const auto& node : m_nodes) {
                if (node.running && node.group == m_nodes[index].group && node.id != m_nodes[index].id)
                    others.push_back(node.id);
            }
            perform(index, coordinator(index).setNodes(others, m_now));
        });
    }

    void see(std::size_t index, bool order, bool newTargets)
    {
        if (order) {
            perform(
                index, coordinator(index).orderSeen({ m_service, "v2", m_scenario.duration, OrderRevision }, m_now));
        }
        m_nodes[index].seesNew = newTargets;
        std::vector<rollout_target> targets;
        for (const auto& target : m_targets) {
            if (!target.isNew || newTargets)
                targets.push_back(target.registered);
        }
        perform(index, coordinator(index).setTargets(m_service, targets, m_now));
    }

    void giveOrder()
    {
        m_ordered = true;
        m_orderedAt = m_now;
        forAll([this](std::size_t index) {
            onNode(ms(m_random.below(400)), index, [this, index] { see(index, true, false); });
            onNode(ms(400 + m_random.below(400)), index, [this, index] { see(index, true, true); });
        });
    }

    void crashZone()
    {
        const availability_zone zone("z" + std::to_string(m_random.below(3)));
        for (auto& target : m_targets) {
            if (target.registered.zone == zone) {
                target.crashedUntil = m_now + ms(1'200);
                ++target.crashes;
            }
        }
        at(ms(3'000 + m_random.below(4'000)), [this] { crashZone(); });
    }

    void nextRequest()
    {
        const bool burst = since(m_orderedAt, m_now) % ms(10'000) >= ms(7'000);
        const auto rate = m_scenario.rate * (burst ? m_scenario.bursts : 1);
        // Virtual time has a resolution of nanoseconds, the delays here of milliseconds.
        m_requestDebt += -std::log(1 - m_random.unit()) / rate;
        const auto delay = ms(static_cast<ms::rep>(m_requestDebt * 1'000));
        m_requestDebt -= static_cast<double>(delay.count()) / 1'000;
        at(delay, [this] {
            const auto index = m_random.below(m_nodes.size());
            if (m_nodes[index].running && m_now >= m_nodes[index].frozenUntil)
                request(index);
            nextRequest();
        });
    }

    void request(std::size_t index)
    {
        auto& node = m_nodes[index];
        const auto route = static_cast<int>(m_random.below(4));
        m_requests += since(m_orderedAt, m_now) < m_scenario.duration;
        node.coordinator->recordRequest(m_service, m_now);
        if (node.coordinator->mayExpose(m_service, m_now)) {
            auto permit = node.coordinator->requestPermit(m_service, m_now);
            if (permit.decision == exposure_decision::Pending)
                node.permits[permit.number] = route;
            perform(index, permit.actions);
            if (permit.decision != exposure_decision::Denied) {
                if (permit.decision == exposure_decision::Granted)
                    send(index, route, true);
                return;
            }
        }
        send(index, route, false);
    }

    void send(std::size_t index, int route, bool permitted)
    {
        using kind = version_choice::kind;
        const auto choice = coordinator(index).choiceFor(m_service, m_now);
        const auto isUsable = [&](const sim_target& target) {
            if (m_now < target.crashedUntil || (target.isNew && !m_nodes[index].seesNew))
                return false;
            if (permitted)
                return target.isNew && coordinator(index).isCanary(m_service, target.registered.name);
            const bool hasVersion = target.registered.version == choice.version;
            return choice.which == kind::Any || hasVersion == (choice.which == kind::NewOnly);
        };
        // Uniform among the usable targets; without any of them the request is dropped.
        for (std::size_t trial = 0; trial < 20 * m_targets.size(); ++trial) {
            const auto number = m_random.below(m_targets.size());
            if (isUsable(m_targets[number])) {
                sendTo(index, route, number, permitted);
                return;
            }
        }
    }

    void sendTo(std::size_t index, int route, std::size_t number, bool permitted)
    {
        auto& target = m_targets[number];
        if (target.isNew) {
            ++m_sent;
            m_lastSent = m_now;
            m_permitted += permitted;
            const auto limit = 0.1 * static_cast<double>(m_requests) + 50;
            const bool isReserved = m_ledger && m_permitted <= m_ledger->reserved;
            m_exceeded = m_exceeded || (permitted && (!isReserved || static_cast<double>(m_permitted) > limit));
        }
        ++target.inFlight;
        const auto crashes = target.crashes;
        coordinator(index).recordStart(m_service, target.registered.version);
        const auto failing = strikes(target.disturbed ? &m_scenario.disturbance : nullptr, target, route);
        const auto faulty = strikes(target.isNew ? &m_scenario.fault : nullptr, target, route);
        const bool failed = m_random.unit() < std::max(failing.failing, faulty.failing);
        const auto time = ms(static_cast<ms::rep>(static_cast<double>(m_scenario.responseTime.count())
            * std::exp(0.6 * (m_random.unit() + m_random.unit() + m_random.unit() - 1.5))
            * std::max(failing.slowness, faulty.slowness)));
        const bool bad = target.isNew && (failed || faulty.slowness > 1);
        const auto end = failed ? std::min(time, ms(100)) : time;
        at(end, [this, bad] {
            if (bad && ++m_bad == 50)
                m_fiftiethBad = m_now;
        });
        onNode(end, index, [this, index, number, route, failed, end, crashes] {
            const auto& responding = m_targets[number];
            if (responding.crashes == crashes) {
                coordinator(index).recordAnswer(
                    m_service, "r" + std::to_string(route), responding.registered.name, responding.isNew, failed, end);
            }
        });
        const auto whole = end + (failed ? ms(0) : m_scenario.runTime);
        at(whole, [this, number] { --m_targets[number].inFlight; });
        onNode(whole, index,
            [this, index, number] { coordinator(index).recordEnd(m_service, m_targets[number].registered.version); });
    }

    target_fault strikes(const target_fault* fault, const sim_target& target, int route) const
    {
        const bool strikes = fault && since(m_orderedAt, m_now) >= fault->after
            && (fault->route < 0 || fault->route == route) && target.inFlight > fault->load;
        return strikes ? *fault : target_fault {};
    }

    void perform(std::size_t index, const rollout_actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* message = std::get_if<send_rollout_message>(&action))
                transmit(index, *message);
            else if (std::get_if<read_ledger>(&action))
                read(index);
            else if (const auto* commit = std::get_if<commit_ledger>(&action))
                write(index, *commit);
            else if (const auto* decided = std::get_if<exposure_decided>(&action))
                permitDecided(index, *decided);
            else if (const auto* changed = std::get_if<rollout_changed>(&action); changed && !changed->reason.empty())
                m_reason = changed->reason;
        }
        schedule(index);
    }

    void schedule(std::size_t index)
    {
        auto& node = m_nodes[index];
        const auto due = std::max(coordinator(index).nextDue(), m_now);
        if (due >= node.due)
            return;
        node.due = due;
        const auto delay = std::chrono::ceil<ms>(due - m_now);
        onNode(delay, index, [this, index] {
            m_nodes[index].due = instant::max();
            perform(index, coordinator(index).tick(m_now));
        });
    }

    void permitDecided(std::size_t index, const exposure_decided& decided)
    {
        auto& permits = m_nodes[index].permits;
        const auto found = permits.find(decided.number);
        if (found == permits.end())
            return;
        const auto route = found->second;
        permits.erase(found);
        send(index, route, decided.granted);
    }

    void transmit(std::size_t from, const send_rollout_message& sent)
    {
        ++m_messages;
        const auto to = m_index.at(sent.to);
        for (int copy = m_random.unit() < 0.01 ? 2 : 1; copy > 0; --copy) {
            if (m_nodes[from].group != m_nodes[to].group || m_random.unit() < m_scenario.loss)
                continue;
            const auto delay = ms(1 + m_random.below(4) + (m_random.unit() < 0.005 ? 700 : 0));
            onNode(delay, to, [this, from, to, message = sent.message] {
                perform(to, coordinator(to).receive(m_nodes[from].id, message, m_now));
            });
        }
    }

    bool isStoreReachable(std::size_t index) const { return m_storeUp && m_nodes[index].store; }

    void read(std::size_t index)
    {
        if (!isStoreReachable(index)) {
            onNode(ms(500), index,
                [this, index] { perform(index, coordinator(index).ledgerUnreadable(m_service, m_now)); });
            return;
        }
        at(ms(2), [this, index, incarnation = m_nodes[index].incarnation] {
            if (incarnation != m_nodes[index].incarnation)
                return;
            onNode(ms(2), index, [this, index, revision = m_revision, ledger = m_ledger, when = storeNow()] {
                perform(index, coordinator(index).ledgerRead(m_service, revision, ledger, when, m_now));
            });
        });
    }

    void write(std::size_t index, const commit_ledger& commit)
    {
        const bool reachable = isStoreReachable(index);
        const bool lost = !reachable || m_random.unit() < m_scenario.lostAnswers;
        const auto incarnation = m_nodes[index].incarnation;
        // A commit whose response is lost may be executed late.
        const auto delay = ms(lost && m_random.below(2) ? 600 : 2);
        if (reachable) {
            at(delay, [this, index, commit, lost, incarnation] {
                const bool matches = commit.expectedRevision == m_revision;
                if (matches) {
                    ++m_revision;
                    ++m_commits;
                    m_decider = index;
                    if (!m_ledger || !isFinal(m_ledger->phase)) {
                        if (isFinal(commit.ledger.phase))
                            m_decidedAfter = since(m_orderedAt, m_now);
                    }
                    m_ledger = commit.ledger;
                }
                if (lost || incarnation != m_nodes[index].incarnation)
                    return;
                onNode(ms(2), index, [this, index, matches, revision = m_revision, when = storeNow()] {
                    perform(index,
                        coordinator(index).ledgerCommitted(m_service,
                            matches ? commit_outcome::Committed : commit_outcome::Conflict, revision, when, m_now));
                });
            });
        }
        if (lost) {
            onNode(ms(500), index, [this, index] {
                perform(index, coordinator(index).ledgerCommitted(m_service, commit_outcome::Unknown, 0, ms(0), m_now));
            });
        }
    }

    static constexpr std::uint64_t OrderRevision = 17;

    rollout_scenario m_scenario;
    seeded_random m_random;
    service_name m_service { "chat" };
    std::vector<sim_node> m_nodes;
    std::map<node_id, std::size_t> m_index;
    std::set<instant> m_viewChanges;
    std::vector<sim_target> m_targets;
    bool m_ordered = false;
    instant m_orderedAt;
    double m_requestDebt = 0;

    bool m_storeUp = true;
    std::optional<rollout_ledger> m_ledger;
    std::uint64_t m_revision = 0;
    std::uint64_t m_commits = 0;
    std::size_t m_decider = 0;
    ms m_decidedAfter { -1 };
    std::string m_reason;

    std::uint64_t m_requests = 0; // from the order to the deadline
    std::uint64_t m_sent = 0; // to the new version
    std::uint64_t m_permitted = 0;
    std::uint64_t m_bad = 0;
    instant m_fiftiethBad;
    instant m_lastSent;
    bool m_exceeded = false;
    std::uint64_t m_messages = 0;
};

} // namespace oriolepick
