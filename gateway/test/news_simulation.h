/// \file
/// Simulated fleet in virtual time for tests of what nodes know about configurations and targets: the nodes' own
/// components, their network, the store, and targets that register, leave, crash and return.
#pragma once

#include "core/seeded_random.h"
#include "core/test/virtual_time.h"
#include "core/text.h"
#include "gateway/news_batch.h"
#include "gateway/table_follower.h"
#include "gateway/test/simulated_store.h"
#include "routing/store_gossip.h"
#include "routing/target_tracker.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// The registration of a simulated target as the bytes of a row.
inline std::string encodeRegistration(std::uint64_t startedAt, std::uint64_t renewalCount, bool draining)
{
    return concatenated(startedAt, " ", renewalCount, " ", draining ? "draining" : "ready");
}

/// \return the registration in a row of encodeRegistration()
inline target_entry decodeRegistration(const std::string& key, std::string_view value)
{
    target_entry entry;
    entry.name = target_name(key);
    entry.service = service_name("s");
    entry.address = key + ":1";
    entry.startedAt = parseNumber<std::uint64_t>(takeUntil(value, ' ')).value_or(0);
    entry.renewalCount = parseNumber<std::uint64_t>(takeUntil(value, ' ')).value_or(0);
    entry.draining = value == "draining";
    return entry;
}

/// Faults and times of a simulated fleet.
struct news_simulation_settings {
    std::size_t nodes = 9;
    std::size_t targets = 12;
    int zones = 3;
    std::chrono::milliseconds bound { 2'000 }; ///< longest time until a change is in force on undisturbed nodes
    std::chrono::milliseconds contactTime { 3'000 }; ///< a node is undisturbed after this time without a fault
    std::chrono::milliseconds historyLength { 20'000 };
    std::chrono::milliseconds renewalPeriod { 1'200 };
    /// When the operator writes the newest configuration again, from the return of a restored store.
    std::chrono::milliseconds earliestRewrite { 300 };
    std::chrono::milliseconds latestRewrite { 3'000 };
    /// Longest additional time until a new target is used, because its first renewals may be late.
    std::chrono::milliseconds registrationDelay { 9'600 };
    double loss = 0; ///< share of datagrams that are lost
    double lateRenewals = 0; ///< share of renewals that reach the store 0.1 to 6 s late, out of order
    /// The feed contains only the last change of each row, so that a late renewal can hide a change for good.
    bool feedHasLastOfEachRow = false;
};

/// Runs all nodes by events. Records what undisturbed nodes believe wrongly for longer than the bound.
class news_simulation : public virtual_time {
public:
    static constexpr ms MinResponseTimeout { 600 };
    static constexpr ms MaxResponseTimeout { 4'000 };

    /// One simulated node.
    struct node {
        node_id id;
        int zone = 0;
        std::unique_ptr<store_gossip> gossip;
        std::vector<table_follower> tables; // by topic
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<target_tracker> tracker;
        std::uint64_t configVersion = 0;
        std::uint64_t incarnation = 0;
        bool running = false;
        bool cut = false; // disconnected from all other nodes
        bool rejected = false; // by the store
        ms linkDelay { 0 }; // of everything that it sends
        ms responseTimeout { MinResponseTimeout }; // of its next read, as in platform/store_reader.cpp
        bool silenced = false; // the store does not respond to this node
        instant startedAt;
        instant frozenUntil;
        instant disturbedUntil;
        instant pollAt = instant::max();
        std::size_t recoveries = 0; // reported recoveries of the store
        std::size_t reads = 0; // of the store, by this process
        std::map<std::size_t, std::uint64_t> used; // start times of the targets that were used, by number
        std::map<std::size_t, std::uint64_t> left; // start times of the used targets that left since
        std::map<std::size_t, std::uint64_t> kept; // start times of the targets in use when the store was restored
    };

    news_simulation(const news_simulation_settings& settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
        , m_nodes(settings.nodes)
        , m_targets(settings.targets)
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            m_nodes[index].id
                = node_id("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7200");
            m_nodes[index].zone = static_cast<int>(index) % settings.zones;
            m_index[m_nodes[index].id] = index;
        }
        for (std::size_t number = 0; number < m_targets.size(); ++number) {
            m_targets[number].name = "t" + std::to_string(number);
            startTarget(number);
        }
        changeConfiguration();
    }

    void startAllNodes()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            at(ms(m_random.below(300)), [this, index] { startNode(index); });
    }

    /// Starts a node process; the first three nodes are the seeds that all nodes know.
    void startNode(std::size_t index)
    {
        auto& started = m_nodes[index];
        started.running = true;
        ++started.incarnation;
        started.startedAt = m_now;
        started.disturbedUntil = m_now;
        started.frozenUntil = {}; // a freeze ends with its process
        started.pollAt = instant::max();
        started.configVersion = 0;
        started.reads = 0;
        started.responseTimeout = MinResponseTimeout;
        started.used.clear();
        started.left.clear();
        started.kept.clear();
        started.random = std::make_unique<seeded_random>(m_random.next());
        started.tracker = std::make_unique<target_tracker>(target_tracker_settings {}, *started.random);
        started.tables.clear();
        started.tables.emplace_back(configurationConsumer(index));
        started.tables.emplace_back(targetConsumer(index));
        started.gossip = std::make_unique<store_gossip>(
            started.id, store_gossip_settings {}, m_settings.bound, index < 3, seeded_random(m_random.next()), m_now);
        setNodes(index, std::min<std::size_t>(3, m_nodes.size()));
        onNode(ms(100 + m_random.below(300)), index, [this, index] { setNodes(index, m_nodes.size()); });
        poll(index);
    }

    void killNode(std::size_t index)
    {
        m_nodes[index].running = false;
        disturb(index, ms(0));
    }

    void freezeNode(std::size_t index, ms time)
    {
        m_nodes[index].frozenUntil = m_now + time;
        disturb(index, time);
    }

    void cutNode(std::size_t index, ms time)
    {
        m_nodes[index].cut = true;
        disturb(index, time);
        at(time, [this, index] { m_nodes[index].cut = false; });
    }

    void rejectNode(std::size_t index, ms time)
    {
        m_nodes[index].rejected = true;
        at(time, [this, index] { m_nodes[index].rejected = false; });
    }

    /// The store does not respond to a node, while it serves the others.
    void silenceNode(std::size_t index, ms time)
    {
        m_nodes[index].silenced = true;
        at(time, [this, index] { m_nodes[index].silenced = false; });
    }

    /// Delays all that a node sends to others, like a link whose queue is full.
    void delayNode(std::size_t index, ms delay, ms time)
    {
        m_nodes[index].linkDelay = delay;
        disturb(index, time + delay);
        at(time, [this, index] { m_nodes[index].linkDelay = ms(0); });
    }

    /// The operator writes a new configuration, unless the store is unavailable.
    void changeConfiguration()
    {
        if (!writeConfiguration(m_configVersion + 1))
            return;
        ++m_configVersion;
        m_configChanges.emplace_back(m_configVersion, m_now);
    }

    /// All reads and writes of the store fail for \p time.
    void failStore(ms time, outage_kind kind = outage_kind::Rejecting)
    {
        m_store.fail(m_now + time, kind);
        m_outages.push_back({ m_now, m_now + time, m_now + time });
        at(time, [this, epoch = m_store.epoch()] { storeReturned(epoch); });
    }

    /// The store fails for \p outage and returns in the state of \p age ago.
    void restoreStore(ms age, ms outage)
    {
        for (auto& each : m_nodes) {
            each.kept.clear();
            for (const auto& [number, startedAt] : each.used) {
                const auto& target = m_targets[number];
                if (isUndisturbed(each) && target.startedAt == startedAt
                    && each.tracker->takesRequests(target_name(target.name), m_now))
                    each.kept[number] = startedAt;
            }
        }
        m_store.restore(m_now - age, m_now);
        failStore(outage);
        if (configurationInStore() != std::to_string(m_configVersion))
            m_outages.back().configurationAt = instant::max();
        const auto spread = m_settings.latestRewrite - m_settings.earliestRewrite;
        const auto rewrite
            = m_settings.earliestRewrite + ms(m_random.below(static_cast<std::uint64_t>(spread.count())));
        at(outage + rewrite, [this, epoch = m_store.epoch()] {
            if (m_store.epoch() == epoch)
                writeConfigurationAgain();
        });
    }

    /// A target leaves: it drains first, or its registration is removed while it continues to serve for some seconds.
    void leaveTarget(std::size_t number, bool drains)
    {
        auto& target = m_targets[number];
        if (!target.running || target.leaving)
            return;
        target.leaving = true;
        target.leftAt = m_now;
        if (drains)
            renewTarget(number, true);
        else
            removeRow(number);
        const auto start = target.startedAt;
        at(m_settings.bound + ms(1'500), [this, number, start] {
            if (m_targets[number].startedAt != start)
                return;
            removeRow(number);
            m_targets[number].running = false;
        });
    }

    /// A target ends without a word; its registration expires.
    void crashTarget(std::size_t number)
    {
        auto& target = m_targets[number];
        if (!target.running || target.leaving)
            return;
        target.running = false;
        const auto start = target.startedAt;
        at(3 * m_settings.renewalPeriod, [this, number, start] {
            if (m_targets[number].startedAt == start)
                removeRow(number);
        });
    }

    /// A target that ended starts again under its name.
    void restartTarget(std::size_t number)
    {
        if (!m_targets[number].running)
            startTarget(number);
    }

    /// Checks every undisturbed node against the store and the targets.
    void check()
    {
        for (auto& each : m_nodes) {
            if (!isUndisturbed(each))
                continue;
            const auto due = newestVersionDue();
            if (each.configVersion < due)
                failures.push_back(concatenated(
                    each.id.value(), " has version ", each.configVersion, " instead of ", due, " at ", time()));
            for (std::size_t number = 0; number < m_targets.size(); ++number)
                checkTarget(each, number);
        }
    }

    void checkPeriodically(ms period)
    {
        at(period, [this, period] {
            check();
            checkPeriodically(period);
        });
    }

    bool isUndisturbed(const node& each) const
    {
        return each.running && !each.cut && m_now >= each.frozenUntil
            && m_now >= each.disturbedUntil + m_settings.contactTime;
    }

    /// \return the version of the newest configuration that the operator wrote
    std::uint64_t newestVersion() const { return m_configVersion; }

    std::vector<std::string> failures;
    std::size_t checkedTargets = 0;
    std::size_t reads = 0; ///< of the store
    std::size_t wholeReads = 0; ///< reads of whole tables
    std::size_t mostReadsPerSecond = 0;
    std::size_t pulls = 0; ///< requests of a node to another for changes
    std::size_t wholePulls = 0; ///< whole tables that nodes received from other nodes
    std::vector<node>& nodes() { return m_nodes; }
    std::size_t targets() const { return m_targets.size(); }
    seeded_random& random() { return m_random; }
    const news_simulation_settings& settings() const { return m_settings; }

private:
    struct target {
        std::string name;
        std::uint64_t startedAt = 0;
        std::uint64_t renewalCount = 0;
        bool running = false;
        bool leaving = false;
        instant startedAtTime;
        instant leftAt;
    };

    /// A time in which the store was unavailable.
    struct outage {
        instant from;
        instant to;
        instant configurationAt; // the store contains the newest configuration again
    };

    static constexpr ms DepartureDelay { 3 }; // fixed, so that the questions draw no random numbers
    static constexpr ms SlowResponse { 1'700 }; // longer than the shortest timeout

    static std::size_t topicIndex(store_topic topic) { return static_cast<std::size_t>(topic); }
    std::string time() const
    {
        return std::to_string(std::chrono::duration_cast<ms>(m_now.time_since_epoch()).count() - 1'000'000) + " ms";
    }
    void disturb(std::size_t index, ms time)
    {
        m_nodes[index].disturbedUntil = std::max(m_nodes[index].disturbedUntil, m_now + time);
    }

    // Returns when all undisturbed nodes know what was written at changedAt. What they did not know before the store
    // was lost is written again at a time that writtenAgain returns.
    instant dueAt(instant changedAt, ms delay, const std::function<instant(const outage&)>& writtenAgain) const
    {
        auto due = changedAt + m_settings.bound + delay;
        for (const auto& each : m_outages) {
            if (due <= each.from)
                continue;
            const auto there = changedAt < each.to ? writtenAgain(each) : changedAt;
            if (there == instant::max())
                return there;
            due = std::max(due, std::max(there, each.to + m_settings.contactTime) + m_settings.bound);
        }
        return due;
    }

    void checkTarget(node& each, std::size_t number)
    {
        const auto& target = m_targets[number];
        ++checkedTargets;
        each.tracker->choose({ service_name("s"), std::nullopt, {}, std::nullopt }, m_now); // as a request would
        const bool used = each.tracker->takesRequests(target_name(target.name), m_now);
        if (target.leaving)
            checkLeft(each, number, used);
        else if (target.running)
            checkLiving(each, number, used);
        if (used)
            each.used[number] = target.startedAt;
    }

    void checkLeft(node& each, std::size_t number, bool used)
    {
        const auto& target = m_targets[number];
        const auto* entry = each.tracker->find(target_name(target.name));
        const bool knowsDrain = entry && entry->startedAt == target.startedAt && entry->draining;
        if (!used && !m_outages.empty() && (knowsDrain || each.used[number] == target.startedAt))
            each.left[number] = target.startedAt;
        if (!used)
            return;
        const auto since = concatenated(target.name, " which left ",
            std::chrono::duration_cast<ms>(m_now - target.leftAt).count(), " ms ago, at ", time());
        if (each.left[number] == target.startedAt)
            failures.push_back(concatenated(each.id.value(), " uses again ", since));
        else if (m_now > leavingDueAt(each, target))
            failures.push_back(concatenated(each.id.value(), " uses ", since));
    }

    // A node that started after a removal that the store has forgotten learns of it when the registration expires
    // again.
    instant leavingDueAt(const node& each, const target& target) const
    {
        const auto expiry = [this](const outage& outage) { return outage.to + 3 * m_settings.renewalPeriod; };
        auto due = dueAt(target.leftAt, ms(0), expiry);
        for (const auto& outage : m_outages) {
            if (target.leftAt < outage.to && each.startedAt > target.leftAt)
                due = std::max(due, expiry(outage) + m_settings.bound);
        }
        return due;
    }

    void checkLiving(node& each, std::size_t number, bool used)
    {
        const auto& target = m_targets[number];
        if (used)
            return;
        each.used.erase(number); // so that a missing registration isn't taken for knowledge that the target leaves
        const auto kept = each.kept.find(number);
        if (kept != each.kept.end() && kept->second == target.startedAt) {
            failures.push_back(
                concatenated(each.id.value(), " dropped ", target.name, " with a restored store at ", time()));
            return;
        }
        // A registration may be late by a few renewals.
        const auto renewal = [this](const outage& outage) { return outage.to + m_settings.renewalPeriod * 5 / 4; };
        if (m_now > dueAt(target.startedAtTime, m_settings.registrationDelay, renewal))
            failures.push_back(concatenated(each.id.value(), " does not use ", target.name, " which started ",
                std::chrono::duration_cast<ms>(m_now - target.startedAtTime).count(), " ms ago, at ", time()));
    }

    std::uint64_t newestVersionDue() const
    {
        const auto written = [](const outage& outage) { return outage.configurationAt; };
        std::uint64_t newest = 0;
        for (const auto& [version, at] : m_configChanges) {
            if (dueAt(at, ms(0), written) <= m_now)
                newest = version;
        }
        return newest;
    }

    std::string configurationInStore() const
    {
        const auto& rows = m_store.table(store_topic::Configuration).rows();
        return rows.empty() ? std::string() : rows.begin()->second;
    }

    bool writeConfiguration(std::uint64_t version)
    {
        if (!m_store.put(store_topic::Configuration, "config", std::to_string(version), m_now))
            return false;
        for (auto& each : m_outages)
            each.configurationAt = std::min(each.configurationAt, std::max(m_now, each.to));
        return true;
    }

    // The operator writes its newest configuration again, or its next one.
    void writeConfigurationAgain()
    {
        if (m_random.below(3) == 0)
            changeConfiguration();
        else
            writeConfiguration(m_configVersion);
    }

    // Registrations that are not renewed after the return of the store expire.
    void storeReturned(std::uint64_t epoch)
    {
        if (m_store.epoch() != epoch)
            return;
        for (std::size_t number = 0; number < m_targets.size(); ++number) {
            const auto& rows = m_store.table(store_topic::Targets).rows();
            const auto row = rows.find(m_targets[number].name);
            if (row == rows.end())
                continue;
            at(3 * m_settings.renewalPeriod, [this, number, value = row->second, epoch] {
                const auto& current = m_store.table(store_topic::Targets).rows();
                const auto found = current.find(m_targets[number].name);
                if (m_store.epoch() == epoch && found != current.end() && found->second == value)
                    removeRow(number);
            });
        }
    }

    void startTarget(std::size_t number)
    {
        auto& started = m_targets[number];
        started.running = true;
        started.leaving = false;
        started.startedAt
            = static_cast<std::uint64_t>(std::chrono::duration_cast<ms>(m_now.time_since_epoch()).count());
        started.startedAtTime = m_now;
        started.renewalCount = 0;
        renewTarget(number, false);
        renewLater(number, started.startedAt);
    }

    void renewLater(std::size_t number, std::uint64_t startedAt)
    {
        at(m_settings.renewalPeriod * 3 / 4
                + ms(m_random.below(static_cast<std::uint64_t>(m_settings.renewalPeriod.count() / 2))),
            [this, number, startedAt] {
                auto& target = m_targets[number];
                if (!target.running || target.startedAt != startedAt)
                    return;
                const bool removed = target.leaving && !m_store.table(store_topic::Targets).contains(target.name);
                if (!removed)
                    renewTarget(number, target.leaving);
                renewLater(number, startedAt);
            });
    }

    void renewTarget(std::size_t number, bool draining)
    {
        auto& target = m_targets[number];
        const auto value = encodeRegistration(target.startedAt, ++target.renewalCount, draining);
        const bool first = target.renewalCount == 1 || (draining && m_now == target.leftAt);
        if (!first && m_random.unit() < m_settings.lateRenewals) {
            at(ms(100 + m_random.below(5'900)), [this, number, value, startedAt = target.startedAt] {
                writeRow(number, value);
                // An expired row of a target that no longer renews it is removed again.
                at(3 * m_settings.renewalPeriod, [this, number, startedAt] {
                    const auto& late = m_targets[number];
                    if (!late.running && late.startedAt == startedAt)
                        removeRow(number);
                });
            });
            return;
        }
        writeRow(number, value);
    }

    void writeRow(std::size_t number, const std::string& value)
    {
        m_store.put(store_topic::Targets, m_targets[number].name, value, m_now);
    }

    void removeRow(std::size_t number) { m_store.remove(store_topic::Targets, m_targets[number].name, m_now); }

    table_follower::consumer configurationConsumer(std::size_t index)
    {
        const auto apply = [this, index](const stored_row& row) {
            const auto version = parseNumber<std::uint64_t>(row.value).value_or(0);
            m_nodes[index].configVersion = std::max(m_nodes[index].configVersion, version);
        };
        const auto versionOf = [](const stored_row& row) { return parseNumber<std::uint64_t>(row.value); };
        return { {}, [apply](const std::vector<stored_row>& rows) { std::for_each(rows.begin(), rows.end(), apply); },
            apply, versionOf };
    }

    table_follower::consumer targetConsumer(std::size_t index)
    {
        auto rows = targetRows(index);
        rows.departures = [this, index] { return m_nodes[index].tracker->departures(m_now); };
        rows.onDepartures = [this, index](const std::vector<target_departure>& departures) {
            m_nodes[index].tracker->mergeDepartures(departures, m_now);
        };
        return rows;
    }

    table_follower::consumer targetRows(std::size_t index)
    {
        return { [this, index](const stored_row& row) { return effectOf(*m_nodes[index].tracker, row); },
            [this, index](const std::vector<stored_row>& rows) {
                auto& tracker = *m_nodes[index].tracker;
                std::vector<target_entry> entries;
                for (const auto& row : rows) {
                    const auto entry = decodeRegistration(row.key, row.value);
                    if (!row.removed)
                        entries.push_back(entry);
                    else if (!row.value.empty())
                        tracker.recordFormerRemoval(entry, m_now);
                }
                tracker.replaceAll(entries, m_now);
            },
            [this, index](const stored_row& row) {
                auto& tracker = *m_nodes[index].tracker;
                const auto entry = decodeRegistration(row.key, row.value);
                if (!row.removed)
                    tracker.put(entry, m_now);
                else
                    tracker.remove(entry.name, m_now, row.value.empty() ? std::nullopt : std::make_optional(entry));
            } };
    }

    static row_effect effectOf(const target_tracker& tracker, const stored_row& row)
    {
        const auto entry = decodeRegistration(row.key, row.value);
        if (row.removed || tracker.isUpdate(entry))
            return row_effect::Update;
        return tracker.isOutdated(entry) ? row_effect::Outdated : row_effect::Renewal;
    }

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
            auto& each = m_nodes[index];
            if (!each.running || each.incarnation != incarnation)
                return;
            if (m_now < each.frozenUntil) {
                onNode(std::chrono::ceil<ms>(each.frozenUntil - m_now) + ms(1), index, std::move(event));
                return;
            }
            event();
        });
    }

    void poll(std::size_t index)
    {
        auto& each = m_nodes[index];
        each.pollAt = instant::max();
        if (m_now >= each.gossip->nextDue())
            perform(index, each.gossip->tick(m_now));
        pollLater(index);
    }

    void pollLater(std::size_t index)
    {
        auto& each = m_nodes[index];
        const auto due = std::max(each.gossip->nextDue(), m_now + ms(1));
        if (due >= each.pollAt)
            return;
        each.pollAt = due;
        onNode(std::chrono::ceil<ms>(due - m_now), index, [this, index] { poll(index); });
    }

    ms delay(std::size_t from, std::size_t to)
    {
        return ms((m_nodes[from].zone == m_nodes[to].zone ? 1 : 2) + m_random.below(3)) + m_nodes[from].linkDelay;
    }

    bool connected(std::size_t from, std::size_t to) const
    {
        return !m_nodes[from].cut && !m_nodes[to].cut && m_nodes[to].running;
    }

    void perform(std::size_t index, const store_gossip::actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* sent = std::get_if<send_digest>(&action)) {
                sendDigest(index, *sent);
            } else if (const auto* pulled = std::get_if<pull_changes>(&action)) {
                startPull(index, *pulled);
            } else if (const auto* read = std::get_if<read_store>(&action)) {
                startRead(index, *read, false, m_now);
            } else if (const auto* adopted = std::get_if<adopt_revision>(&action)) {
                m_nodes[index].tables[topicIndex(adopted->topic)].adoptRevision(adopted->changeRevision);
            } else if (const auto* question = std::get_if<ask_departures>(&action)) {
                askDepartures(index, m_index.at(question->from));
            } else {
                ++m_nodes[index].recoveries;
                m_nodes[index].tracker->registryRecovered(std::get<store_recovered>(action).at);
            }
        }
        pollLater(index);
    }

    void sendDigest(std::size_t from, const send_digest& sent)
    {
        const auto to = m_index.at(sent.to);
        if (!connected(from, to) || m_random.unit() < m_settings.loss)
            return;
        onNode(delay(from, to), to, [this, from, to, digest = sent.digest] {
            perform(to, m_nodes[to].gossip->receive(m_nodes[from].id, digest, m_now));
        });
    }

    void askDepartures(std::size_t index, std::size_t from)
    {
        if (!connected(index, from) || m_now < m_nodes[from].frozenUntil)
            return;
        onNode(2 * DepartureDelay, index, [this, index, from] {
            if (m_nodes[from].running)
                targetsOf(index).mergeDepartures(targetsOf(from).departures());
        });
    }

    table_follower& targetsOf(std::size_t index) { return m_nodes[index].tables[topicIndex(store_topic::Targets)]; }

    void startPull(std::size_t index, const pull_changes& pulled)
    {
        constexpr ms PullTimeout { 400 };
        ++pulls;
        const auto from = m_index.at(pulled.from);
        const auto& replica = m_nodes[index].tables[topicIndex(pulled.topic)].replica();
        const auto revision = replica.changeRevision();
        const auto known = replica.isLoaded() ? std::optional<content_revision>(revision) : std::nullopt;
        const auto there = delay(index, from);
        const auto back = delay(from, index);
        if (!connected(index, from) || m_now < m_nodes[from].frozenUntil || there + back > PullTimeout) {
            onNode(PullTimeout, index, [this, index, pulled] {
                perform(index, m_nodes[index].gossip->pulled(pulled.topic, std::nullopt, m_now));
            });
            return;
        }
        onNode(there + back, index, [this, index, from, pulled, known, revision] {
            auto& each = m_nodes[index];
            const auto& source = m_nodes[from];
            const auto asOf = source.running ? source.gossip->asOf(pulled.topic) : std::nullopt;
            auto& follower = each.tables[topicIndex(pulled.topic)];
            if (!asOf) {
                perform(index, each.gossip->pulled(pulled.topic, std::nullopt, m_now));
                return;
            }
            if (const auto sinceRecovery = source.gossip->sinceRecovery(m_now))
                perform(index, each.gossip->recoveryNoticed(*sinceRecovery, m_now));
            const auto batch = source.tables[topicIndex(pulled.topic)].changesAfter(known);
            wholePulls += batch.whole;
            if (!follower.mergePulled(batch, revision)) {
                perform(index, each.gossip->pulled(pulled.topic, std::nullopt, m_now));
                return;
            }
            perform(index, each.gossip->pulled(pulled.topic, follower.version(*asOf), m_now));
        });
    }

    void countRead(node& reader, store_topic topic, bool whole)
    {
        ++reads;
        ++reader.reads;
        wholeReads += whole || !reader.tables[topicIndex(topic)].replica().isLoaded();
        m_lastReads.push_back(m_now);
        while (m_lastReads.front() <= m_now - ms(1'000))
            m_lastReads.pop_front();
        mostReadsPerSecond = std::max(mostReadsPerSecond, m_lastReads.size());
    }

    void startRead(std::size_t index, const read_store& read, bool whole, instant startedAt)
    {
        const auto topic = read.topic;
        auto& each = m_nodes[index];
        countRead(each, topic, whole);
        const bool available = m_store.isAvailable(m_now);
        const bool slow = !available && m_store.outageKind() == outage_kind::Slow;
        if (each.rejected || each.silenced || (!available && !slow) || (slow && each.responseTimeout < SlowResponse)) {
            const bool silent = each.silenced || slow || m_store.outageKind() == outage_kind::Silent;
            const auto wait = silent && !each.rejected ? each.responseTimeout : ms(4);
            each.responseTimeout = std::clamp(2 * wait, MinResponseTimeout, MaxResponseTimeout);
            onNode(wait, index,
                [this, index, read] { perform(index, m_nodes[index].gossip->readEnded(read, std::nullopt, m_now)); });
            return;
        }
        const auto& replica = each.tables[topicIndex(topic)].replica();
        whole = whole || !replica.isLoaded();
        auto answer = whole ? m_store.readAll(topic)
                            : m_store.readChanges(topic, replica.readRevision(), m_settings.feedHasLastOfEachRow,
                                m_settings.historyLength, m_now);
        const auto after = replica.readRevision();
        const auto latency = (slow ? SlowResponse : ms(4)) + ms(m_random.below(4));
        each.responseTimeout = std::max(2 * latency, MinResponseTimeout);
        onNode(latency, index, [this, index, read, topic, whole, after, startedAt, answer = std::move(answer)] {
            auto& reader = m_nodes[index];
            auto& follower = reader.tables[topicIndex(topic)];
            if (!whole && table_follower::needsWholeTable(answer, after)) {
                startRead(index, read, true, startedAt);
                return;
            }
            perform(index, reader.gossip->storeResponded(topic, answer.revision.epoch(), startedAt, m_now));
            if (!follower.mergeRead(answer, whole)) {
                const topic_version old { follower.replica().changeRevision(), answer.revision, startedAt };
                perform(index, reader.gossip->readEnded(read, old, m_now));
                return;
            }
            if (whole && topic == store_topic::Targets)
                reader.gossip->targetsReplaced(m_now);
            perform(index, reader.gossip->readEnded(read, follower.version(startedAt), m_now));
        });
    }

    news_simulation_settings m_settings;
    seeded_random m_random;
    std::vector<node> m_nodes;
    std::map<node_id, std::size_t> m_index;
    std::vector<target> m_targets;
    simulated_store m_store;
    std::vector<outage> m_outages;
    std::deque<instant> m_lastReads; // of the last second
    std::uint64_t m_configVersion = 0;
    std::vector<std::pair<std::uint64_t, instant>> m_configChanges;
};

} // namespace oriolepick
