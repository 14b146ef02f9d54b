/// \file
/// Ticket distributors of a whole fleet in virtual time, with a table that comes back from copies.
#pragma once

#include "core/test/virtual_time.h"
#include "core/ticket_distributor.h"

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolepick {

/// History of tickets; the ticket of number n is element n - 1.
using ticket_history = std::vector<std::string>;

class restored_fleet : public virtual_time {
public:
    /// All nodes begin with the table's tickets "1" to \p tickets in force.
    restored_fleet(unsigned nodes, unsigned tickets, std::uint64_t seed)
        : m_random(seed)
        , m_nodes(nodes)
    {
        for (unsigned number = 1; number <= tickets; ++number)
            m_table.push_back(std::to_string(number));
        for (unsigned index = 0; index < nodes; ++index)
            start(index);
        run(ms(5000));
    }

    /// (Re)starts a node without any state.
    void start(unsigned index)
    {
        auto& node = m_nodes[index];
        ++node.incarnation;
        node.distributor = std::make_unique<ticket_distributor>(
            ticket_distributor_settings {}, seeded_random(m_random.below(1'000'000)));
        node.state.clear();
        node.wentBack = false;
        std::vector<node_id> peers;
        for (unsigned other = 0; other < m_nodes.size(); ++other) {
            if (other != index)
                peers.push_back(idOf(other));
        }
        node.distributor->setPeers(std::move(peers));
        wakeLater(index, ms(m_random.below(200)));
    }

    /// Accepts a ticket under the next number of the table.
    void file(const std::string& ticket) { m_table.push_back(ticket); }

    /// The table comes back from a copy that ends with ticket \p number.
    void restore(std::size_t number)
    {
        m_table.resize(number);
        ++m_epoch;
    }

    void setTableDown(bool down) { m_tableDown = down; }
    void setFrozen(unsigned index, bool frozen) { set(m_frozen, index, frozen); }
    void setCutFromTable(unsigned index, bool cut) { set(m_cutFromTable, index, cut); }
    void setCutFromPeers(unsigned index, bool cut) { set(m_cutFromPeers, index, cut); }

    const ticket_history& table() const { return m_table; }
    const ticket_history& state(unsigned index) const { return m_nodes[index].state; }
    bool ready(unsigned index) const { return m_nodes[index].distributor->ready(); }

    /// \return the nodes whose state is not \p expected
    unsigned differing(const ticket_history& expected) const
    {
        unsigned count = 0;
        for (const auto& node : m_nodes)
            count += node.state != expected || !node.distributor->ready();
        return count;
    }

    /// \return the nodes that had more tickets in force at an earlier time since they started
    unsigned wentBack() const
    {
        unsigned count = 0;
        for (const auto& node : m_nodes)
            count += node.wentBack;
        return count;
    }

    unsigned readsOfTail() const { return m_readsOfTail; }

private:
    struct fleet_node {
        std::unique_ptr<ticket_distributor> distributor;
        ticket_history state;
        bool wentBack = false;
        unsigned incarnation = 0;
    };
    static constexpr ms MessageDelay { 1 };
    static constexpr ms ReadDelay { 5 };

    static node_id idOf(unsigned index) { return node_id(std::to_string(index)); }
    static unsigned indexOf(const node_id& id) { return static_cast<unsigned>(std::stoul(id.value())); }
    static void set(std::set<unsigned>& members, unsigned index, bool member)
    {
        if (member)
            members.insert(index);
        else
            members.erase(index);
    }

    /// Runs \p event at the node unless it has restarted; a frozen node does it once it goes on.
    void atNode(unsigned index, ms delay, std::function<void()> event)
    {
        at(delay, [this, index, incarnation = m_nodes[index].incarnation, event = std::move(event)] {
            if (m_nodes[index].incarnation != incarnation)
                return;
            if (m_frozen.count(index))
                atNode(index, ms(50), event);
            else
                event();
        });
    }

    void wakeLater(unsigned index, ms delay)
    {
        atNode(index, delay, [this, index] {
            perform(index, m_nodes[index].distributor->wake(m_now));
            const auto wait = std::chrono::duration_cast<ms>(m_nodes[index].distributor->nextWake() - m_now);
            wakeLater(index, std::max(wait, ms(1)));
        });
    }

    void sendTo(
        unsigned from, const node_id& peer, std::function<ticket_distributor::actions(ticket_distributor&)> handle)
    {
        const auto to = indexOf(peer);
        if (m_cutFromPeers.count(from) || m_cutFromPeers.count(to))
            return;
        atNode(to, MessageDelay,
            [this, to, handle = std::move(handle)] { perform(to, handle(*m_nodes[to].distributor)); });
    }

    void sendBatch(unsigned from, const node_id& peer, ticket_batch batch)
    {
        sendTo(from, peer, [this, from, batch = std::move(batch)](ticket_distributor& node) {
            return node.batchReceived(m_now, idOf(from), batch);
        });
    }

    ticket_batch tailAfter(std::uint64_t after) const
    {
        ticket_batch batch;
        batch.first = after + 1;
        batch.headNumber = m_table.size();
        batch.epoch = m_epoch;
        for (auto number = after; number < m_table.size(); ++number)
            batch.tickets.push_back(m_table[number]);
        return batch;
    }

    bool reachesTable(unsigned index) const { return !m_tableDown && !m_cutFromTable.count(index); }

    void perform(unsigned index, const ticket_distributor::actions& actions)
    {
        for (const auto& action : actions)
            std::visit([this, index](const auto& typed) { carryOut(index, typed); }, action);
    }

    void carryOut(unsigned index, const ticket_distributor::announce& action)
    {
        sendTo(index, action.peer, [this, index, position = action.position](ticket_distributor& node) {
            return node.peerPositionReceived(m_now, idOf(index), position);
        });
    }

    void carryOut(unsigned index, const ticket_distributor::fetch& action)
    {
        sendTo(index, action.peer,
            [index, action, this, position = m_nodes[index].distributor->position()](ticket_distributor& node) {
                auto actions = node.fetchRequested(idOf(index), action.after, action.whole);
                // Every message carries the sender's position.
                for (auto& next : node.peerPositionReceived(m_now, idOf(index), position))
                    actions.push_back(std::move(next));
                return actions;
            });
    }

    void carryOut(unsigned index, const ticket_distributor::send_batch& action)
    {
        sendBatch(index, action.peer, action.batch);
    }

    void carryOut(unsigned index, const ticket_distributor::send_snapshot& action)
    {
        auto batch = action.recent;
        batch.snapshotNumber = m_nodes[index].state.size();
        for (const auto& ticket : m_nodes[index].state)
            batch.snapshot += ticket + "\n";
        sendBatch(index, action.peer, std::move(batch));
    }

    void carryOut(unsigned index, const ticket_distributor::read_head&)
    {
        const auto head = reachesTable(index) ? std::optional(store_version(m_epoch, m_table.size())) : std::nullopt;
        atNode(index, ReadDelay,
            [this, index, head] { perform(index, m_nodes[index].distributor->headRead(m_now, head)); });
    }

    void carryOut(unsigned index, const ticket_distributor::read_tail& action)
    {
        ++m_readsOfTail;
        std::optional<ticket_batch> batch;
        if (reachesTable(index)) {
            batch = tailAfter(action.whole ? 0 : action.after);
            batch->replaces = action.whole;
        }
        atNode(index, ReadDelay,
            [this, index, batch] { perform(index, m_nodes[index].distributor->platformBatchRead(m_now, batch)); });
    }

    void carryOut(unsigned index, const ticket_distributor::restore_tickets& action)
    {
        at(ReadDelay, [this, index, action] {
            if (reachesTable(index) && action.head == store_version(m_epoch, m_table.size()))
                m_table.insert(m_table.end(), action.tickets.begin(), action.tickets.end());
        });
        atNode(index, ReadDelay + ReadDelay,
            [this, index] { perform(index, m_nodes[index].distributor->ticketsRestored(m_now)); });
    }

    void carryOut(unsigned index, const ticket_distributor::apply_batch& action)
    {
        auto& node = m_nodes[index];
        const auto& batch = action.batch;
        ticket_history state = batch.replaces ? ticket_history {} : node.state;
        if (batch.snapshotNumber > state.size()) {
            state.clear();
            std::string line;
            for (const char letter : batch.snapshot) {
                if (letter == '\n')
                    state.push_back(std::exchange(line, {}));
                else
                    line += letter;
            }
        }
        for (std::size_t skipped = state.size() + 1 - batch.first; skipped < batch.tickets.size(); ++skipped)
            state.push_back(batch.tickets[skipped]);
        node.wentBack = node.wentBack || state.size() < node.state.size();
        node.state = std::move(state);
        perform(index, node.distributor->applied(store_version(batch.epoch, node.state.size())));
    }

    seeded_random m_random;
    std::vector<fleet_node> m_nodes;
    ticket_history m_table;
    store_epoch m_epoch = 0;
    bool m_tableDown = false;
    std::set<unsigned> m_frozen;
    std::set<unsigned> m_cutFromTable;
    std::set<unsigned> m_cutFromPeers;
    unsigned m_readsOfTail = 0;
};

} // namespace oriolepick
