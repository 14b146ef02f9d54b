/// \file
/// Brings accepted tickets to this node, from the platform and from peers, whichever is first, and passes them on. The
/// number in force only grows. Tickets stay opaque text here.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/seeded_random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolepick {

/// Accepted tickets in order, optionally from a snapshot on.
struct ticket_batch {
    std::uint64_t snapshotNumber = 0; ///< 0 for no snapshot
    std::string snapshot; ///< the encoded state after ticket \c snapshotNumber
    std::uint64_t first = 1; ///< number of the first ticket of the list
    std::vector<std::string> tickets;
    std::uint64_t headNumber = 0; ///< the sender's number in force, or the platform's head

    /// \return the number in force after applying all of it
    std::uint64_t lastNumber() const { return tickets.empty() ? snapshotNumber : first + tickets.size() - 1; }
};

/// Settings of the distributor.
struct ticket_distributor_settings {
    double fleetReadsPerSecond = 20; ///< table reads of all nodes together, within the table's 2,000 a second
    std::chrono::milliseconds minPollInterval { 1000 }; ///< small fleets
    std::chrono::milliseconds fetchTimeout { 500 }; ///< after this a peer's answer is no longer waited for
    std::chrono::milliseconds readTimeout { 5000 }; ///< after this a platform's answer is no longer waited for
    std::size_t announceFanout = 3; ///< peers that hear of a new number at once
    std::size_t maxTailTickets = 1000; ///< tail kept for peers; those further behind get a snapshot
    std::size_t ticketsPerBatch = 500;
};

/// The state machine of one node.
class ticket_distributor {
public:
    /// Tell \c peer this node's number in force.
    struct announce {
        node_id peer;
        std::uint64_t number;
    };
    /// Ask \c peer for the tickets after \c after.
    struct fetch {
        node_id peer;
        std::uint64_t after;
    };
    /// Send tickets that \c peer asked for.
    struct send_batch {
        node_id peer;
        ticket_batch batch;
    };
    /// Encode the state in force and send it to \c peer as a snapshot: it is too far behind for the tail.
    struct send_snapshot {
        node_id peer;
    };
    /// Read the head row from the table, then call headRead().
    struct read_head { };
    /// Read the tickets after \c after from the platform, with the snapshot if the rows are gone; then call
    /// platformBatchRead().
    struct read_tail {
        std::uint64_t after;
    };
    /// Fold these tickets into the state in force, publish it, then call applied().
    struct apply_batch {
        ticket_batch batch;
    };
    using action = std::variant<announce, fetch, send_batch, send_snapshot, read_head, read_tail, apply_batch>;
    using actions = std::vector<action>;

    ticket_distributor(ticket_distributor_settings settings, seeded_random random);

    /// Takes the current list of live peers, without this node.
    void setPeers(std::vector<node_id> peers);

    /// A peer stated its number in force, in an announcement or in any other message.
    actions peerNumberReceived(instant now, const node_id& peer, std::uint64_t number);
    /// A peer asks for the tickets after \p after.
    actions fetchRequested(const node_id& peer, std::uint64_t after);
    /// A peer sent tickets.
    actions batchReceived(instant now, const node_id& peer, ticket_batch batch);
    /// The platform answered read_head; nothing when it failed.
    actions headRead(instant now, std::optional<std::uint64_t> number);
    /// The platform answered read_tail; nothing when it failed.
    actions platformBatchRead(instant now, std::optional<ticket_batch> batch);
    /// The node has published the state after ticket \p number.
    actions applied(std::uint64_t number);
    /// Call at nextWake() and at the start.
    actions wake(instant now);

    /// \return when wake() has to be called next
    instant nextWake() const { return m_nextWake; }
    /// \return the number in force on this node
    std::uint64_t number() const { return m_number; }
    /// \return whether the state in force has been learned; a node that is not ready serves nobody
    bool ready() const { return m_ready; }
    /// \return batches dropped because they had a gap
    std::uint64_t droppedBatches() const { return m_droppedBatches; }
    /// \return the interval between table reads for the current number of peers, without its random spread
    std::chrono::milliseconds pollInterval() const;

private:
    actions acceptBatch(ticket_batch batch);
    void appendFetch(instant now, const node_id& peer, actions& out);
    void appendAnnouncements(actions& out);
    void readTail(instant now, actions& out);
    bool isFetching(instant now) const { return m_fetchDeadline > now; }
    const node_id& randomPeer() { return m_peers[m_random.below(m_peers.size())]; }

    ticket_distributor_settings m_settings;
    seeded_random m_random;
    std::vector<node_id> m_peers;
    std::uint64_t m_number = 0;
    bool m_ready = false;
    std::uint64_t m_readyNumber = 0; ///< the number that a peer or the platform stated as complete
    bool m_sourceResponded = false;
    std::map<std::uint64_t, std::string> m_tail; ///< texts of the last tickets
    std::uint64_t m_highestNumber = 0; ///< highest number heard of
    node_id m_highestNumberPeer; ///< who stated it
    instant m_fetchDeadline {};
    instant m_readDeadline {};
    instant m_nextPoll {};
    instant m_nextWake {};
    std::uint64_t m_droppedBatches = 0;
};

} // namespace oriolepick
