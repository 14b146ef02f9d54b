/// \file
/// Nodes with call desks on one fake table under virtual time, with faults at every step; records every run and reply
/// and checks the rules of non-idempotent calls.
#pragma once

#include "call_faults.h"
#include "config/call_row_json.h"
#include "core/call_coordinator.h"
#include "core/seeded_random.h"
#include "standins/fake_table.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolepick {

using std::chrono::milliseconds;

class call_world {
public:
    struct request {
        std::string key;
        std::uint64_t digest = 1;
        std::size_t node = 0;
        instant arrival;
        bool callerKey = true;
        std::vector<call_reply> replies;
        instant told;
        bool lost = false; ///< its node crashed before the reply
    };
    struct run {
        std::string key;
        std::uint64_t digest = 1;
        instant at;
        instant arrival; ///< of the request that caused it
    };

    using fault_choice = std::function<call_fault(call_step)>;

    call_world(std::size_t nodes, std::uint64_t seed, fault_choice faults)
        : m_random(seed)
        , m_faults(std::move(faults))
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            m_nodes.emplace_back();
            auto& node = m_nodes.back();
            node.id = node_id("n" + std::to_string(index));
            node.skew = milliseconds(m_random.below(900)); // within the allowed difference of 1 s
            restart(node);
        }
    }

    /// Sends a request at \p at (virtual time since the start). A refused one models a limit.
    std::size_t send(milliseconds at, std::string key, std::size_t node, std::uint64_t digest = 1, bool refused = false,
        bool callerKey = true)
    {
        requests.push_back({ std::move(key), digest, node, instant(at), callerKey, {}, {}, false });
        const auto index = requests.size() - 1;
        schedule(instant(at), [this, index, refused] { arrive(index, refused); });
        return index;
    }

    /// Runs events until \p end.
    void runUntil(milliseconds end)
    {
        while (!m_events.empty() && m_events.begin()->first <= instant(end)) {
            auto next = std::move(m_events.begin()->second);
            m_now = m_events.begin()->first;
            m_events.erase(m_events.begin());
            next();
        }
        m_now = instant(end);
    }

    void setTableFaults(milliseconds at, const platform_faults& faults)
    {
        schedule(instant(at), [this, faults] { table.setFaults(faults); });
    }
    void clearFaults()
    {
        m_faults = [](call_step) { return call_fault::None; };
    }
    bool anyCrash() const { return m_crashed; }
    std::size_t openCalls() const
    {
        std::size_t open = 0;
        for (const auto& node : m_nodes)
            open += node.desk->openCalls();
        return open;
    }

    /// \return the broken rules, empty when all hold
    std::vector<std::string> violations() const
    {
        std::vector<std::string> found;
        std::map<std::string, std::size_t> runCounts;
        for (const auto& each : runs) {
            if (++runCounts[each.key] == 2)
                found.push_back("two runs of " + each.key);
        }
        for (const auto& each : requests) {
            if (each.replies.size() != (each.lost ? 0u : 1u))
                found.push_back(std::to_string(each.replies.size()) + " replies to a request for " + each.key);
            if (each.replies.empty() || each.replies[0])
                continue;
            const auto kind = each.replies[0].error().kind;
            if (errorResponseFor(kind).run != run_state::NotRun || kind == error_kind::KeyReused)
                continue;
            for (const auto& ran : runs) {
                if (ran.key == each.key && (ran.at <= each.told || ran.arrival <= each.told))
                    found.push_back("not run told for " + each.key + " that ran");
            }
        }
        return found;
    }

    std::vector<request> requests;
    std::vector<run> runs;
    fake_table table;

private:
    struct node {
        node_id id;
        std::uint64_t incarnation = 0;
        milliseconds skew { 0 };
        instant pausedUntil;
        std::unique_ptr<call_coordinator> desk;
        std::map<call_number, std::size_t> open; ///< request by call
        instant wake;
    };

    void schedule(instant at, std::function<void()> event) { m_events.emplace(at, std::move(event)); }
    milliseconds latency() { return milliseconds(1 + m_random.below(10)); }
    clock_reading timeAt(const node& at) const
    {
        return { m_now, wall_time(std::chrono::hours(1000) + m_now.time_since_epoch() + at.skew) };
    }

    void restart(node& target)
    {
        ++target.incarnation;
        target.desk = std::make_unique<call_coordinator>(
            target.id, target.incarnation, call_settings {}, committer_settings {}, m_codec, m_random.next());
        target.open.clear();
        target.wake = instant::max();
    }

    /// Delivers \p event to the node's present process at \p at, or after its pause; a dead process gets nothing.
    void deliver(std::size_t index, instant at, std::function<void()> event)
    {
        const auto incarnation = m_nodes[index].incarnation;
        schedule(at, [this, index, incarnation, event = std::move(event)] {
            auto& target = m_nodes[index];
            if (target.incarnation != incarnation)
                return;
            if (m_now < target.pausedUntil) {
                deliver(index, target.pausedUntil, event);
                return;
            }
            event();
        });
    }

    void crash(std::size_t index)
    {
        m_crashed = true;
        auto& dead = m_nodes[index];
        for (const auto& [number, request] : dead.open)
            requests[request].lost = requests[request].replies.empty();
        restart(dead);
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            deliver(peer, m_now + milliseconds(1500),
                [this, peer, id = dead.id] { apply(peer, m_nodes[peer].desk->nodeLost(timeAt(m_nodes[peer]), id)); });
        }
    }

    void arrive(std::size_t request, bool refused)
    {
        auto& given = requests[request];
        auto& at = m_nodes[given.node];
        if (m_now < at.pausedUntil) {
            schedule(at.pausedUntil, [this, request, refused] { arrive(request, refused); });
            return;
        }
        given.arrival = m_now;
        const team_id team(fleet_name("atelier"), "desk");
        const call_request call { { team, given.key }, given.callerKey, given.digest, timeAt(at).wall,
            m_now + milliseconds(8000) };
        auto opened = refused
            ? at.desk->openRefused(timeAt(at), call, { error_kind::LimitExceeded, "limit", milliseconds(100) })
            : at.desk->open(timeAt(at), call);
        at.open[opened.first] = request;
        apply(given.node, std::move(opened.second));
    }

    void apply(std::size_t index, coordinator_actions actions)
    {
        const auto incarnation = m_nodes[index].incarnation;
        for (auto& action : actions) {
            if (m_nodes[index].incarnation != incarnation)
                return;
            std::visit([this, index](auto& each) { execute(index, each); }, action);
        }
        wakeLater(index);
    }

    void wakeLater(std::size_t index)
    {
        auto& target = m_nodes[index];
        const auto wake = target.desk->wakeAt();
        if (!wake || *wake >= target.wake)
            return;
        target.wake = std::max(*wake, m_now);
        deliver(index, target.wake, [this, index] {
            m_nodes[index].wake = instant::max();
            apply(index, m_nodes[index].desk->tick(timeAt(m_nodes[index])));
        });
    }

    /// \return when a step starts; pauses or kills the node as the fault says
    instant startOf(std::size_t index, call_fault fault)
    {
        if (fault == call_fault::Pause)
            m_nodes[index].pausedUntil = m_now + milliseconds(6000);
        if (fault == call_fault::Crash)
            crash(index);
        if (fault == call_fault::Pause)
            return m_nodes[index].pausedUntil;
        return m_now + (fault == call_fault::Slow ? milliseconds(3000) : latency());
    }

    void execute(std::size_t index, const commit_call_rows& commit)
    {
        const auto fault = m_faults(call_step::Commit);
        const auto start = startOf(index, fault);
        if (fault == call_fault::Crash)
            return;
        deliver(index, start, [this, index, commit, fault] {
            result<table_outcome> outcome = error { error_kind::PlatformUnavailable, "down", {} };
            if (fault == call_fault::TableHeld) {
                schedule(m_now + milliseconds(1000 + m_random.below(8000)),
                    [this, commit] { (void)table.commit(commit.transaction, {}); });
                outcome = error { error_kind::PlatformUnknown, "held", {} };
            } else if (fault != call_fault::TableDown) {
                outcome = table.commit(commit.transaction, {});
            }
            if (fault == call_fault::TableLost)
                outcome = error { error_kind::PlatformUnknown, "lost", {} };
            deliver(index, m_now + latency(), [this, index, outcome] {
                apply(index, m_nodes[index].desk->commitFinished(timeAt(m_nodes[index]), outcome));
            });
        });
    }

    void execute(std::size_t index, const fetch_call_row& read)
    {
        const auto fault = m_faults(call_step::Read);
        const auto start = startOf(index, fault);
        if (fault == call_fault::Crash)
            return;
        deliver(index, start, [this, index, read, fault] {
            result<std::optional<table_row>> outcome = error { error_kind::PlatformUnavailable, "down", {} };
            if (fault != call_fault::TableDown && fault != call_fault::TableLost)
                outcome = table.read(read.key, {});
            deliver(index, m_now + latency(), [this, index, read, outcome] {
                apply(index, m_nodes[index].desk->rowRead(timeAt(m_nodes[index]), read.number, outcome, table.epoch()));
            });
        });
    }

    void execute(std::size_t index, const place_call& place)
    {
        const auto fault = m_faults(call_step::Place);
        const auto start = startOf(index, fault);
        if (fault == call_fault::Crash)
            return;
        deliver(index, start, [this, index, place, fault] {
            auto& desk = *m_nodes[index].desk;
            if (fault == call_fault::Refused || place.excluded.size() > 2) {
                apply(index, desk.noTarget(timeAt(m_nodes[index]), place.number, milliseconds(200)));
                return;
            }
            const target_id target(fleet_name("atelier"), "t" + std::to_string(place.excluded.size()));
            apply(index, desk.targetChosen(timeAt(m_nodes[index]), place.number, target));
        });
    }

    void execute(std::size_t index, const send_call& send)
    {
        const auto fault = m_faults(call_step::Send);
        const auto request = m_nodes[index].open.at(send.number);
        const auto start = startOf(index, fault);
        if (fault == call_fault::Crash)
            return;
        deliver(index, start, [this, index, send, fault, request] {
            const auto& given = requests[request];
            const auto runNow = [this, given] { runs.push_back({ given.key, given.digest, m_now, given.arrival }); };
            if (fault == call_fault::Refused) {
                later(index, [this, index, send](clock_reading time) {
                    return m_nodes[index].desk->dispatchUnsent(time, send.number);
                });
                return;
            }
            if (fault == call_fault::RunsLate)
                schedule(m_now + milliseconds(2000), runNow);
            else if (fault != call_fault::ResetBeforeBody)
                runNow();
            if (fault == call_fault::ResetBeforeBody || fault == call_fault::ResetAfterBody
                || fault == call_fault::RunsLate) {
                later(index, [this, index, send](clock_reading time) {
                    return m_nodes[index].desk->dispatchInterrupted(time, send.number);
                });
                return;
            }
            answerLater(index, send.number, "run " + std::to_string(runs.size()));
        });
    }

    void answerLater(std::size_t index, call_number number, const std::string& body)
    {
        const auto fault = m_faults(call_step::Answer);
        const auto start = startOf(index, fault);
        if (fault == call_fault::Crash)
            return;
        deliver(index, start, [this, index, number, body, fault] {
            auto& desk = *m_nodes[index].desk;
            const auto time = timeAt(m_nodes[index]);
            if (fault == call_fault::ResetAfterBody)
                apply(index, desk.dispatchInterrupted(time, number));
            else
                apply(index, desk.dispatchAnswered(time, number, { 200, "text/plain", body }));
        });
    }

    void later(std::size_t index, std::function<coordinator_actions(clock_reading)> event)
    {
        deliver(index, m_now + latency(), [this, index, event] { apply(index, event(timeAt(m_nodes[index]))); });
    }

    void execute(std::size_t index, const answer_caller& answer)
    {
        const auto found = m_nodes[index].open.find(answer.number);
        auto& given = requests[found->second];
        given.replies.push_back(answer.reply);
        given.told = m_now;
    }

    void execute(std::size_t index, const send_claim_inquiry& ask)
    {
        if (m_faults(call_step::Ask) == call_fault::MessageLost)
            return;
        toNode(ask.node, [this, ask, from = m_nodes[index].id](std::size_t to) {
            return m_nodes[to].desk->claimInquiry(timeAt(m_nodes[to]), from, ask.key, ask.claimId);
        });
    }

    void execute(std::size_t, const send_claim_notice& tell)
    {
        if (m_faults(call_step::Tell) == call_fault::MessageLost)
            return;
        toNode(tell.node,
            [this, tell](std::size_t to) { return m_nodes[to].desk->claimNotice(timeAt(m_nodes[to]), tell.row); });
    }

    void toNode(const node_id& id, std::function<coordinator_actions(std::size_t)> message)
    {
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (m_nodes[to].id == id)
                deliver(to, m_now + latency(), [this, to, message] { apply(to, message(to)); });
        }
    }

    seeded_random m_random;
    fault_choice m_faults;
    call_row_json m_codec;
    instant m_now;
    std::multimap<instant, std::function<void()>> m_events;
    std::vector<node> m_nodes;
    bool m_crashed = false;
};

} // namespace oriolepick
