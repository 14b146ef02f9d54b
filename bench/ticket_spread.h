/// \file
/// Distributors of a whole fleet in one process and virtual time, for measuring how a ticket spreads.
#pragma once

#include "core/ticket_distributor.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oriolepick {

/// How one ticket reached all nodes.
struct spread_figures {
    double rounds = 0; ///< message delays until the last node had it, from the first node that had it
    double milliseconds = 0; ///< the same in virtual time
    double bytesPerNodeMean = 0; ///< sent until then
    double bytesPerNodeMost = 0;
};

/// A longer run with tickets at a steady rate.
struct operation_figures {
    double readsPerSecond = 0; ///< table reads of all nodes
    double bytesPerNodePerSecond = 0;
    std::vector<double> milliseconds; ///< from acceptance in the table to in force on all nodes, for each ticket
};

/// All nodes start ready with ticket 1. A message takes 1 ms, a table read 5 ms.
class ticket_spread {
public:
    ticket_spread(unsigned nodes, std::size_t ticketBytes, std::uint64_t seed);

    /// Gives the next ticket to one node and runs until all have it.
    spread_figures spreadOne();

    /// Accepts tickets in the table at a steady rate; nodes find them by polling.
    operation_figures runFor(int seconds, double ticketsPerSecond);

private:
    using body = std::variant<ticket_distributor::announce, ticket_distributor::fetch, ticket_batch>;
    struct event {
        instant at;
        unsigned from;
        unsigned to;
        body message;
    };
    struct platform_read {
        instant at;
        unsigned node;
        std::optional<std::uint64_t> after; ///< nothing for the head
    };

    ticket_batch tailAfter(std::uint64_t after) const;
    void perform(unsigned node, const ticket_distributor::actions& actions);
    void send(unsigned from, const node_id& to, body message);
    void step();
    void deliver(const event& arrived);
    bool allHave(std::uint64_t number) const;

    std::string m_text;
    std::vector<ticket_distributor> m_nodes;
    std::vector<std::uint64_t> m_sent;
    std::deque<event> m_events;
    std::deque<platform_read> m_reads;
    instant m_now;
    std::uint64_t m_head = 1;
    std::uint64_t m_readCount = 0;
};

} // namespace oriolepick
