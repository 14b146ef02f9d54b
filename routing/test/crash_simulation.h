/// \file
/// Simulated fleet in virtual time for tests of requests that crash targets: nodes, their network, targets, callers
/// and the row of the store with the record of crashes.
#pragma once

#include "core/seeded_random.h"
#include "core/test/virtual_time.h"
#include "routing/crash_record_keeper.h"
#include "routing/shared_crash_ledger.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oriolepick {

/// Runs the nodes by events. A target that runs a crashing request crashes after some time with all requests in
/// flight.
class crash_simulation : public virtual_time {
public:
    crash_simulation(std::size_t nodes, std::size_t targets, std::uint64_t seed)
        : m_random(seed)
        , m_targets(targets)
        , m_nodes(nodes)
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            auto& node = m_nodes[index];
            node.id = node_id("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7200");
            m_index[node.id] = index;
            start(index);
        }
    }

    /// Starts a node process with empty state.
    void start(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.running = true;
        ++node.incarnation;
        node.disturbedAt = m_now;
        node.ledger = std::make_unique<shared_crash_ledger>(
            node.id, shared_crash_settings {}, seeded_random(m_random.next()), m_now);
        node.keeper = std::make_unique<crash_record_keeper>(crash_record_settings {});
        // The failure detector discovers all nodes some round trips later.
        onNode(ms(100 + m_random.below(200)), index, [this, index] { setNodes(index); });
        poll(index);
        keepRecord(index);
    }

    /// The store does not respond for \p time. A write in progress may be performed.
    void silenceStore(ms time) { m_storeSilentUntil = m_now + time; }

    /// The store returns to the state that it had when \p copy was made with storeCopy(), and all nodes are told.
    void restoreStore(const std::pair<std::uint64_t, crash_record>& copy)
    {
        m_row = copy;
        for (auto& node : m_nodes)
            node.keeper->storeRecovered();
    }

    const std::pair<std::uint64_t, crash_record>& storeCopy() const { return m_row; }

    void kill(std::size_t index)
    {
        m_nodes[index].running = false;
        m_nodes[index].disturbedAt = m_now;
    }

    void cut(std::size_t index, ms time)
    {
        m_nodes[index].cut = true;
        at(time, [this, index] {
            m_nodes[index].cut = false;
            m_nodes[index].disturbedAt = m_now;
        });
    }

    void freeze(std::size_t index, ms time)
    {
        m_nodes[index].frozenUntil = m_now + time;
        m_nodes[index].disturbedAt = m_now + time;
    }

    void setLoss(double loss) { m_loss = loss; }

    /// Sends \p request to a node, which retries it after a crash of its target, as attempt_policy.h permits.
    void send(std::size_t index, request_fingerprint request, bool crashes, int triesLeft = 4)
    {
        auto& node = m_nodes[index];
        if (!node.running || m_now < node.frozenUntil || !triesLeft)
            return;
        if (node.ledger->verdict(request, m_now) == crash_verdict::Quarantined) {
            ++refused[request];
            return;
        }
        std::size_t number = m_random.below(m_targets.size());
        while (m_targets[number].down)
            number = m_random.below(m_targets.size());
        auto& target = m_targets[number];
        const auto run = ++m_lastRun;
        target.inFlight[run] = { index, request, triesLeft };
        if (!crashes) {
            const auto incarnation = target.incarnation;
            onNode(ms(300 + m_random.below(2'000)), index, [this, index, request, number, incarnation, run] {
                auto& ran = m_targets[number];
                if (ran.incarnation == incarnation && ran.inFlight.erase(run))
                    perform(index, m_nodes[index].ledger->recordSuccess(request, m_now));
            });
            return;
        }
        arrivals[request].push_back({ m_now, isUndisturbed(index) });
        at(ms(50 + m_random.below(150)), [this, number, index, request, triesLeft, run] {
            if (!m_targets[number].inFlight.count(run))
                return; // already ended by another crash
            crash(number, request);
            at(ms(10), [=] { send(index, request, true, triesLeft - 1); });
        });
    }

    /// \p request runs to its end at a target of a node.
    void complete(std::size_t index, request_fingerprint request)
    {
        perform(index, m_nodes[index].ledger->recordSuccess(request, m_now));
    }

    /// Crashes a target; all nodes with requests on it detect the crash within milliseconds.
    void crash(std::size_t number, request_fingerprint cause = 0)
    {
        auto& target = m_targets[number];
        const auto name = target_name("t" + std::to_string(number) + "-" + std::to_string(target.incarnation));
        const auto crash = crashIdOf(name, 0);
        std::map<std::size_t, std::vector<crash_suspect>> suspects;
        for (const auto& [run, work] : target.inFlight) {
            suspects[work.node].push_back({ work.request });
            if (work.request != cause)
                at(ms(20), [this, lost = work] { send(lost.node, lost.request, false, lost.triesLeft - 1); });
        }
        target.inFlight.clear();
        ++target.incarnation;
        target.down = true;
        at(ms(1'000), [this, number] { m_targets[number].down = false; });
        if (cause)
            crashTimes[cause].push_back(m_now);
        for (const auto& [index, requests] : suspects) {
            onNode(ms(2 + m_random.below(6)), index, [this, index, name, crash, requests] {
                perform(index, m_nodes[index].ledger->recordCrash(name, crash, requests, m_now));
            });
        }
    }

    /// \return the number of arrivals of \p request from undisturbed nodes, later than \p bound after its third
    /// crash
    std::size_t lateArrivals(request_fingerprint request, ms bound) const
    {
        const auto crashes = crashTimes.find(request);
        if (crashes == crashTimes.end() || crashes->second.size() < 3)
            return 0;
        const auto from = crashes->second[2] + bound;
        const auto& all = arrivals.at(request);
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](const auto& arrival) { return arrival.first > from && arrival.second; }));
    }

    /// \return the number of nodes that do not dispatch \p request
    std::size_t nodesThatRefuse(request_fingerprint request) const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) {
            return node.running && node.ledger->verdict(request, m_now) == crash_verdict::Quarantined;
        }));
    }

    std::size_t size() const { return m_nodes.size(); }
    shared_crash_ledger& ledger(std::size_t index) { return *m_nodes[index].ledger; }
    seeded_random& random() { return m_random; }

    // Arrivals of crashing requests: time, and whether the node was undisturbed.
    std::map<request_fingerprint, std::vector<std::pair<instant, bool>>> arrivals;
    std::map<request_fingerprint, std::vector<instant>> crashTimes;
    std::map<request_fingerprint, std::size_t> refused;
    std::size_t datagrams = 0;
    std::size_t storeReads = 0;
    std::size_t storeWrites = 0;
    ms undisturbedPeriod { 5'000 }; ///< a node counts as undisturbed after this time without a fault

private:
    struct simulated_node {
        node_id id;
        std::unique_ptr<shared_crash_ledger> ledger;
        std::unique_ptr<crash_record_keeper> keeper;
        std::uint64_t incarnation = 0;
        bool running = false;
        bool cut = false;
        instant frozenUntil;
        instant disturbedAt;
        instant pollAt = instant::max();
    };
    struct work {
        std::size_t node;
        request_fingerprint request;
        int triesLeft;
    };
    struct simulated_target {
        std::uint64_t incarnation = 0;
        bool down = false;
        std::map<std::uint64_t, work> inFlight; // keyed by run
    };

    bool isUndisturbed(std::size_t index) const
    {
        const auto& node = m_nodes[index];
        return !node.cut && node.disturbedAt + undisturbedPeriod <= m_now;
    }

    void setNodes(std::size_t index)
    {
        std::vector<node_id> others;
        for (const auto& node : m_nodes) {
            if (node.id != m_nodes[index].id)
                others.push_back(node.id);
        }
        m_nodes[index].ledger->setNodes(std::move(others));
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

    void poll(std::size_t index)
    {
        onNode(ms(0), index, [this, index] {
            auto& ledger = *m_nodes[index].ledger;
            if (m_now >= ledger.nextDue())
                perform(index, ledger.tick(m_now));
            onNode(std::chrono::ceil<ms>(std::max<instant::duration>(ledger.nextDue() - m_now, ms(1))), index,
                [this, index] { poll(index); });
        });
    }

    // The first node that runs reads the store for all.
    bool isKeeper(std::size_t index) const
    {
        for (std::size_t other = 0; other < index; ++other) {
            if (m_nodes[other].running && !m_nodes[other].cut)
                return false;
        }
        return !m_nodes[index].cut;
    }

    void keepRecord(std::size_t index)
    {
        onNode(RecordCheckPeriod, index, [this, index] {
            auto& node = m_nodes[index];
            const auto own = node.ledger->record(MaxRecordNotes, m_now);
            switch (node.keeper->next(isKeeper(index), node.ledger->digestOf(own, m_now), m_now)) {
            case crash_record_keeper::step::Read:
                readRecord(index);
                break;
            case crash_record_keeper::step::Write:
                writeRecord(index, { m_now.time_since_epoch() / ms(1) * ms(1), own });
                break;
            case crash_record_keeper::step::None:
                break;
            }
            keepRecord(index);
        });
    }

    void readRecord(std::size_t index)
    {
        ++storeReads;
        if (m_now < m_storeSilentUntil) {
            onNode(StoreTimeout, index, [this, index] { m_nodes[index].keeper->readEnded({}, {}, m_now); });
            return;
        }
        onNode(StoreTime, index, [this, index, row = m_row] {
            auto& node = m_nodes[index];
            auto notes = row.second.notes;
            const auto since = m_now.time_since_epoch() / ms(1) * ms(1) - row.second.writtenAt;
            for (auto& note : notes) {
                for (auto& sighting : note.sightings)
                    sighting.age += since;
                if (note.sinceCleared)
                    *note.sinceCleared += since;
            }
            perform(index, node.ledger->mergeRecord(notes, m_now));
            node.keeper->readEnded(row.first, node.ledger->digestOf(notes, m_now), m_now);
        });
    }

    void writeRecord(std::size_t index, const crash_record& record)
    {
        ++storeWrites;
        const auto expected = m_nodes[index].keeper->expectedRevision();
        if (m_now < m_storeSilentUntil) {
            at(ms(1'000 + m_random.below(5'000)), [this, expected, record] { storeRecord(expected, record); });
            onNode(StoreTimeout, index,
                [this, index] { m_nodes[index].keeper->writeEnded(record_write_outcome::Unknown, 0, m_now); });
            return;
        }
        at(StoreTime, [this, index, expected, record] {
            const bool isWritten = storeRecord(expected, record);
            onNode(StoreTime, index, [this, index, isWritten, revision = m_row.first] {
                m_nodes[index].keeper->writeEnded(
                    isWritten ? record_write_outcome::Written : record_write_outcome::Conflict, revision, m_now);
            });
        });
    }

    bool storeRecord(std::uint64_t expected, const crash_record& record)
    {
        if (m_row.first != expected)
            return false;
        m_row = { ++m_lastRevision, record };
        return true;
    }

    void perform(std::size_t from, const shared_crash_ledger::actions& actions)
    {
        for (const auto& action : actions) {
            ++datagrams;
            const auto to = m_index.at(action.to);
            if (m_nodes[from].cut || m_nodes[to].cut || m_random.unit() < m_loss)
                continue;
            onNode(ms(1 + m_random.below(4)), to, [this, from, to, news = action.news] {
                perform(to, m_nodes[to].ledger->receive(m_nodes[from].id, news, m_now));
            });
        }
    }

    static constexpr ms RecordCheckPeriod { 500 };
    static constexpr ms StoreTime { 4 };
    static constexpr ms StoreTimeout { 1'000 };
    static constexpr std::size_t MaxRecordNotes = 256;

    seeded_random m_random;
    double m_loss = 0;
    std::pair<std::uint64_t, crash_record> m_row; // the record with its revision
    std::uint64_t m_lastRevision = 0;
    instant m_storeSilentUntil;
    std::vector<simulated_target> m_targets;
    std::vector<simulated_node> m_nodes;
    std::map<node_id, std::size_t> m_index;
    std::uint64_t m_lastRun = 0;
};

} // namespace oriolepick
