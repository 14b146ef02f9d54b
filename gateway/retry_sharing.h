/// \file
/// Transfers unused retries between the nodes of a large fleet.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/seeded_random.h"
#include "routing/retry_share_messages.h"

#include <functional>
#include <map>
#include <vector>

namespace oriolepick {

class gateway_metrics;
class node_retry_budget;

/// In a large fleet the share of one node covers a few retries only, while the loss of a zone of targets ends several
/// of its streams at once. A node whose budget is used up asks a few others, which give what they do not need
/// themselves. A transfer never increases the sum over the fleet: the giver pays first, and an answer that is lost,
/// late or repeated credits nothing. Not synchronized: one instance per event loop.
class retry_sharing {
public:
    using sender = std::function<void(const node_id& to, const retry_share_message& message)>;

    /// \param send sends a message to another node; it may be lost
    /// \param budget the budget of this node, outlives this object
    /// \param metrics counts requests and transfers, outlives this object
    retry_sharing(sender send, node_retry_budget& budget, std::uint64_t seed, gateway_metrics& metrics);

    /// Sets the nodes that are believed alive, without this one.
    void setNodes(std::vector<node_id> others) { m_others = std::move(others); }

    /// \return whether other nodes may have retries that this node lacks: the fleet is so large that the share of one
    /// node is small
    bool isAvailable() const;

    /// Asks other nodes for retries of \p service, unless answers to an earlier request may still arrive.
    void request(const service_name& service, instant now);

    /// Processes a message of the node \p from.
    void receive(const node_id& from, const retry_share_message& message, instant now);

private:
    struct pending_request {
        service_name service;
        node_id to;
        instant sentAt;
    };

    void answer(const node_id& from, const retry_share_request& request, instant now);
    void credit(const node_id& from, const retry_share_answer& answer, instant now);

    sender m_send;
    node_retry_budget& m_budget;
    seeded_random m_random;
    gateway_metrics& m_metrics;
    std::vector<node_id> m_others;
    std::map<std::uint64_t, pending_request> m_pending; // by number
    std::uint64_t m_lastNumber = 0;
};

} // namespace oriolepick
