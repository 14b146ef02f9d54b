/// \file
/// A small in-process world for properties of tickets: operators that race, nodes that restart, a network that drops,
/// delays and reorders messages, and a platform with outages and lost answers. Time and chance come from the steps.
#pragma once

#include "config/snapshot_json.h"
#include "config/state_in_force.h"
#include "config/ticket_json.h"
#include "core/ticket_compaction.h"
#include "core/ticket_distributor.h"
#include "core/ticket_log.h"
#include "ports/ticket_store.h"
#include "standins/fake_table.h"
#include "tool/test/racing_operators.h"
#include "tool/test/ticket_world_parts.h"

#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oriolepick {

class ticket_world {
public:
    static constexpr unsigned NodeCount = 4;
    static constexpr ticket_number TicketsPerSnapshotHere = 3;
    static constexpr int HandlerCount = 16;

    ticket_world()
        : m_store(m_table, m_objects, Timeout)
        , m_nodes(NodeCount)
        , m_operators(m_table)
    {
        for (unsigned index = 0; index < NodeCount; ++index)
            restart(index);
    }

    void run(const history_step& step)
    {
        using handler = void (ticket_world::*)(unsigned, unsigned);
        static constexpr std::array<handler, HandlerCount> Handlers { &ticket_world::startSubmission,
            &ticket_world::advanceSubmission, &ticket_world::advanceSubmission, &ticket_world::advanceSubmission,
            &ticket_world::deliver, &ticket_world::deliver, &ticket_world::deliver, &ticket_world::dropMessage,
            &ticket_world::passTime, &ticket_world::passTime, &ticket_world::restartOne, &ticket_world::cutOff,
            &ticket_world::platformFault, &ticket_world::compact, &ticket_world::completeSubmission,
            &ticket_world::completeSubmission };
        (this->*Handlers[static_cast<unsigned>(step.kind) % Handlers.size()])(step.first, step.second);
        observe();
    }

    /// Ends all faults and lets time pass until everything has settled.
    void heal()
    {
        m_platformDown = false;
        m_cutFromPeers.clear();
        m_cutFromPlatform.clear();
        while (m_table.releaseHeld()) { }
        for (unsigned index = 0; index < racing_operators::Count; ++index) {
            while (m_operators.busy(index)) {
                advanceSubmission(index, racing_operators::HealthyAnswer);
                observe();
            }
        }
        observe();
        settle();
    }

    /// All nodes are replaced at once: the state has to come from the snapshot and the tail in the platform.
    void restartAll()
    {
        for (unsigned index = 0; index < NodeCount; ++index)
            restart(index);
        m_messages.clear();
        settle();
    }

    /// After healing: all nodes are ready and equal the fold of the accepted tickets.
    void requireSettled() const
    {
        for (const auto& node : m_nodes) {
            RC_ASSERT(node.distributor->ready());
            RC_ASSERT(node.state->get()->number() == m_reference.number());
            RC_ASSERT(node.distributor->number() == m_reference.number());
        }
        for (const auto& [number, content] : m_operators.refused()) {
            const auto found = m_accepted.find(number);
            RC_ASSERT((found == m_accepted.end() || found->second != content));
        }
    }

    ticket_number accepted() const { return m_reference.number(); }

private:
    static constexpr std::chrono::milliseconds Timeout { 1000 };

    struct fetch_message {
        std::uint64_t after;
        bool whole;
    };
    struct announce_message {
        store_version position;
    };
    using message_body = std::variant<announce_message, fetch_message, ticket_batch>;
    struct message {
        unsigned from;
        unsigned to;
        message_body body;
    };
    struct platform_answer {
        unsigned to;
        unsigned incarnation;
        std::variant<std::optional<store_version>, std::optional<ticket_batch>> answer;
    };
    struct world_node {
        std::unique_ptr<ticket_distributor> distributor;
        std::unique_ptr<state_in_force> state;
        ticket_number lastSeen = 0;
        unsigned incarnation = 0;
    };
    static node_id idOf(unsigned index) { return node_id(std::to_string(index)); }
    static unsigned indexOf(const node_id& id) { return static_cast<unsigned>(std::stoul(id.value())); }

    void settle()
    {
        constexpr int Rounds = 150;
        for (int round = 0; round < Rounds; ++round) {
            passTime(1, 0);
            while (!m_messages.empty() || !m_answers.empty())
                deliver(0, 0);
            observe();
        }
    }

    void startSubmission(unsigned first, unsigned second)
    {
        m_operators.start(first, second, m_reference.number() + 1);
    }

    void advanceSubmission(unsigned first, unsigned second)
    {
        m_operators.advance(first, second, m_platformDown, m_folds);
    }

    /// Files a ticket without interruption, while other operators may be in the middle of theirs. In half of the cases
    /// every operation of it meets the same fault.
    void completeSubmission(unsigned first, unsigned second)
    {
        startSubmission(first, second);
        while (m_operators.busy(first)) {
            advanceSubmission(first, second / 16 % 2 ? second : racing_operators::HealthyAnswer);
            observe();
        }
    }

    void send(unsigned from, const node_id& to, message_body body)
    {
        m_messages.push_back({ from, indexOf(to), std::move(body) });
    }

    void perform(unsigned index, ticket_distributor::actions actions)
    {
        std::deque<ticket_distributor::action> queue(
            std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
        auto& node = m_nodes[index];
        while (!queue.empty()) {
            auto action = std::move(queue.front());
            queue.pop_front();
            if (auto* announced = std::get_if<ticket_distributor::announce>(&action))
                send(index, announced->peer, announce_message { announced->position });
            else if (auto* asked = std::get_if<ticket_distributor::fetch>(&action))
                send(index, asked->peer, fetch_message { asked->after, asked->whole });
            else if (auto* sent = std::get_if<ticket_distributor::send_batch>(&action))
                send(index, sent->peer, std::move(sent->batch));
            else if (auto* snapshot = std::get_if<ticket_distributor::send_snapshot>(&action)) {
                const auto state = node.state->get();
                auto batch = snapshot->recent;
                batch.snapshotNumber = state->number();
                batch.snapshot = encodeSnapshot(*state);
                send(index, snapshot->peer, std::move(batch));
            } else if (auto* applied = std::get_if<ticket_distributor::apply_batch>(&action)) {
                const auto number = node.state->apply(applied->batch);
                RC_ASSERT(number.has_value());
                for (auto& next : node.distributor->applied(store_version(applied->batch.epoch, number.value())))
                    queue.push_back(std::move(next));
            } else
                readPlatform(index, action);
        }
    }

    void readPlatform(unsigned index, const ticket_distributor::action& action)
    {
        platform_faults faults;
        faults.down = m_platformDown || m_cutFromPlatform.count(index);
        m_table.setFaults(faults);
        platform_answer answer { index, m_nodes[index].incarnation, std::optional<store_version>() };
        if (const auto* tail = std::get_if<ticket_distributor::read_tail>(&action)) {
            const auto batch = tail->whole ? m_store.readWhole() : m_store.readTail(tail->after);
            answer.answer = batch ? std::optional(batch.value()) : std::optional<ticket_batch>();
        } else {
            const auto head = m_store.readHead();
            answer.answer = head ? std::optional(head.value()) : std::optional<store_version>();
        }
        m_table.setFaults({});
        m_answers.push_back(std::move(answer));
    }

    void deliver(unsigned first, unsigned second)
    {
        if (!m_answers.empty() && (second % 2 || m_messages.empty()))
            return deliverAnswer(first);
        if (m_messages.empty())
            return;
        const auto place = m_messages.begin() + first % m_messages.size();
        auto taken = std::move(*place);
        m_messages.erase(place);
        if (taken.from != taken.to && (m_cutFromPeers.count(taken.from) || m_cutFromPeers.count(taken.to)))
            return;
        auto& distributor = *m_nodes[taken.to].distributor;
        if (const auto* announced = std::get_if<announce_message>(&taken.body))
            perform(taken.to, distributor.peerPositionReceived(m_now, idOf(taken.from), announced->position));
        else if (const auto* asked = std::get_if<fetch_message>(&taken.body))
            perform(taken.to, distributor.fetchRequested(idOf(taken.from), asked->after, asked->whole));
        else
            perform(taken.to,
                distributor.batchReceived(m_now, idOf(taken.from), std::move(std::get<ticket_batch>(taken.body))));
    }

    void deliverAnswer(unsigned first)
    {
        const auto place = m_answers.begin() + first % m_answers.size();
        auto taken = std::move(*place);
        m_answers.erase(place);
        if (m_nodes[taken.to].incarnation != taken.incarnation)
            return;
        auto& distributor = *m_nodes[taken.to].distributor;
        if (auto* head = std::get_if<0>(&taken.answer))
            perform(taken.to, distributor.headRead(m_now, *head));
        else
            perform(taken.to, distributor.platformBatchRead(m_now, std::move(std::get<1>(taken.answer))));
    }

    void dropMessage(unsigned first, unsigned)
    {
        if (!m_messages.empty())
            m_messages.erase(m_messages.begin() + first % m_messages.size());
    }

    void passTime(unsigned first, unsigned)
    {
        m_now += std::chrono::milliseconds(100 + 200 * (first % 4));
        for (unsigned index = 0; index < NodeCount; ++index) {
            if (m_nodes[index].distributor->nextWake() <= m_now)
                perform(index, m_nodes[index].distributor->wake(m_now));
        }
    }

    void restart(unsigned index)
    {
        auto& node = m_nodes[index];
        ticket_distributor_settings settings;
        settings.maxTailTickets = 3; // small, so that histories reach the snapshot path
        settings.ticketsPerBatch = 2;
        node.distributor = std::make_unique<ticket_distributor>(settings, seeded_random(index + 17 * ++m_incarnations));
        node.state = std::make_unique<state_in_force>();
        node.lastSeen = 0;
        node.incarnation = m_incarnations;
        std::vector<node_id> peers;
        for (unsigned other = 0; other < NodeCount; ++other) {
            if (other != index)
                peers.push_back(idOf(other));
        }
        node.distributor->setPeers(std::move(peers));
    }

    void restartOne(unsigned first, unsigned) { restart(first % NodeCount); }

    void cutOff(unsigned first, unsigned second)
    {
        auto& cut = second % 2 ? m_cutFromPeers : m_cutFromPlatform;
        if (!cut.erase(first % NodeCount))
            cut.insert(first % NodeCount);
    }

    void platformFault(unsigned first, unsigned)
    {
        if (first % 2)
            m_platformDown = !m_platformDown && first % 3 == 0;
        else
            m_table.releaseHeld();
    }

    /// Compacts from a node's state and may stop after any operation, as a crash does.
    void compact(unsigned first, unsigned second)
    {
        const auto& node = m_nodes[first % NodeCount];
        const auto state = node.state->get();
        if (m_platformDown || !state->number())
            return;
        ticket_compaction compaction(state->number(), encodeSnapshot(*state), TicketsPerSnapshotHere);
        for (unsigned operation = 0; operation <= second % 12; ++operation) {
            const auto& action = compaction.next();
            if (std::holds_alternative<ticket_compaction::compaction_done>(action))
                return;
            if (std::holds_alternative<ticket_compaction::read_pointer>(action))
                compaction.pointerRead(m_table.read(std::string(SnapshotHeadKey), Timeout));
            else if (const auto* put = std::get_if<ticket_compaction::put_snapshot>(&action))
                compaction.objectWritten(m_objects.put(put->name, put->bytes, Timeout));
            else if (const auto* commit = std::get_if<ticket_compaction::commit_rows>(&action))
                compaction.committed(m_table.commit(commit->transaction, Timeout));
            else if (std::holds_alternative<ticket_compaction::list_rows>(action))
                compaction.rowsListed(m_table.scan(std::string(TicketRowPrefix), "", 2, Timeout));
            else
                compaction.objectRemoved(
                    m_objects.remove(std::get<ticket_compaction::remove_snapshot>(action).name, Timeout));
        }
    }

    /// Looks at the table and at every node after each step.
    void observe()
    {
        const auto head = m_table.read(std::string(TicketHeadKey), Timeout).value();
        const auto number = head ? *parseTicketNumber(head->value) : 0;
        RC_ASSERT(number >= m_reference.number());
        while (m_reference.number() < number) {
            const auto row = m_table.read(ticketRowKey(m_reference.number() + 1), Timeout).value();
            RC_ASSERT(row.has_value());
            m_accepted.emplace(m_reference.number() + 1, row->value);
            m_folds.push_back(m_folds.back()->after({ *parseTicket(row->value).value }));
            m_reference.apply(row->value);
        }
        for (const auto& [accepted, content] : m_accepted) {
            const auto row = m_table.read(ticketRowKey(accepted), Timeout).value();
            // RC_ASSERT overloads || and evaluates both of its sides; the inner parentheses keep the short circuit.
            RC_ASSERT((!row || row->value == content));
        }
        for (const auto& [acknowledged, content] : m_operators.acknowledged())
            RC_ASSERT((m_accepted.count(acknowledged) && m_accepted.at(acknowledged) == content));
        for (auto& node : m_nodes) {
            const auto state = node.state->get();
            RC_ASSERT(state->number() >= node.lastSeen);
            RC_ASSERT(node.distributor->number() == state->number());
            if (state->number() != node.lastSeen)
                m_reference.requireEqual(*state);
            node.lastSeen = state->number();
        }
    }

    fake_table m_table;
    memory_objects m_objects;
    ticket_store m_store;
    std::vector<world_node> m_nodes;
    racing_operators m_operators;
    std::deque<message> m_messages;
    std::deque<platform_answer> m_answers;
    std::set<unsigned> m_cutFromPeers;
    std::set<unsigned> m_cutFromPlatform;
    bool m_platformDown = false;
    instant m_now { std::chrono::hours(1) };
    unsigned m_incarnations = 0;
    reference_fold m_reference;
    std::vector<std::shared_ptr<const fleet_state>> m_folds { std::make_shared<fleet_state>() };
    std::map<ticket_number, std::string> m_accepted;
};

} // namespace oriolepick
