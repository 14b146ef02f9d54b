/// \file
/// Places at targets for the requests of this node, and the allocation of places to other nodes.
#pragma once

#include "core/target_limiter.h"
#include "gateway/gateway_settings.h"
#include "gateway/held_place.h"
#include "gateway/place_codec.h"
#include "gateway/refused_requests.h"
#include "gateway/timer_queue.h"
#include "routing/place_allocator.h"
#include "routing/place_client.h"
#include "routing/place_directory.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace oriolepick {

class active_config;
class decision_log;
class gateway_metrics;
class target_tracker;

/// Drives place_client and place_allocator for one node, for the services whose places are allocated.
class place_allocation {
public:
    using sender = std::function<void(const node_id& to, const place_datagram& datagram)>;
    using decision = std::variant<place_granted, place_refused, decide_locally>;
    using callback = std::function<void(const decision& decided, held_place place)>;

    /// All references outlive this object, and this object outlives every held_place.
    /// \param scope services for which places may be allocated
    /// \param send sends to another node; a message to the own node is delivered here
    /// \param isInputPending returns whether messages of other nodes wait to be read
    place_allocation(const place_node& self, place_allocation_scope scope, sender send,
        std::function<bool()> isInputPending, const target_tracker& targetTracker, const active_config& config,
        std::uint64_t seed, timer_queue& timers, decision_log& log, gateway_metrics& metrics);
    ~place_allocation();

    /// Sets the other nodes that are believed alive.
    void setNodes(const std::vector<limit_node>& others);

    void receive(const node_id& from, const place_datagram& datagram);

    /// \return whether requests to \p service ask for a place
    bool isAllocated(const service_name& service) const;

    /// \return the targets of \p service; empty unless isAllocated()
    std::vector<target_name> targetsOf(const service_name& service) const;

    /// Requests a place. \p done is called once, possibly before this function returns; with place_granted, it receives
    /// the place.
    /// \param request hash that is equal for every sending of the request by its caller, to any node
    /// \return the number for cancel(), 0 if the decision was made before the return
    std::uint64_t acquire(const place_demand& demand, std::uint64_t request, callback done);

    /// Withdraws a request without a decision; its callback is not called.
    void cancel(std::uint64_t number);

    /// \return the use of \p target by a request that was sent without a granted place
    held_place begin(const service_name& service, const target_name& target, std::uint64_t promptTokens);

    /// \return the use of \p target by a copy of a run, which takes memory but no slot
    /// \param heldTokens memory of the copy
    held_place beginCopy(const service_name& service, const target_name& target, std::uint64_t heldTokens);

    /// \return the number of uses of targets that have not ended
    std::size_t heldPlaces() const { return m_heldPlaces; }

    /// Reads the targets and the configuration again. This is also done periodically.
    void refresh();

private:
    friend class held_place;

    struct pending_decision {
        std::uint64_t request = 0; // hash
        callback done;
    };

    held_place beginUse(
        const service_name& service, const target_name& target, std::uint64_t promptTokens, bool isCopy);
    void end(std::uint64_t number, place_end how);
    void recordPromptRead(std::uint64_t number);
    void recordTokens(std::uint64_t number, std::uint64_t heldTokens) { m_client.recordTokens(number, heldTokens); }
    std::map<service_name, place_service> readServices() const;
    bool shouldAllocate(const place_service& service) const;
    bool isInputPending() const;
    void scheduleRefresh();
    void perform(const place_client::actions& actions);
    void perform(const place_allocator::actions& actions);
    void send(const send_place_message& outgoing);
    void deliverOwnMessages();
    void handle(const node_id& from, const place_datagram& datagram);
    void decide(const place_decided& decided);
    void scheduleTick();

    place_allocation_scope m_scope;
    sender m_send;
    std::function<bool()> m_isInputPending;
    const target_tracker& m_targetTracker;
    const active_config& m_config;
    timer_queue& m_timers;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    place_directory m_directory;
    place_client m_client;
    place_allocator m_allocator;
    std::map<service_name, place_service> m_services; // as in the directory
    std::map<std::uint64_t, pending_decision> m_pending;
    std::deque<place_datagram> m_ownMessages; // of this node to itself
    refused_requests m_refused; // by the accounts of this node
    std::size_t m_heldPlaces = 0;
    timer_handle m_ownMessageTimer = 0;
    timer_handle m_refreshTimer = 0;
    timer_handle m_tickTimer = 0;
    instant m_tickDue;
};

} // namespace oriolepick
