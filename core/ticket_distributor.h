/// \file
/// Replication of accepted tickets to every node, by gossip among the nodes and by polls of the platform's table. The
/// number in force of a node never decreases. Tickets are opaque text here.
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

/// Consecutive accepted tickets, optionally preceded by a snapshot.
struct ticket_batch {
    std::uint64_t snapshotNumber = 0; ///< 0 for no snapshot
    std::string snapshot; ///< encoded state after ticket \c snapshotNumber
    std::uint64_t first = 1; ///< number of the first element of \c tickets
    std::vector<std::string> tickets;
    std::uint64_t headNumber = 0; ///< number in force of the sending peer, or the head number in the table

    /// \return the number in force after the whole batch is applied
    std::uint64_t lastNumber() const { return tickets.empty() ? snapshotNumber : first + tickets.size() - 1; }
};

/// Settings of ticket_distributor.
struct ticket_distributor_settings {
    double fleetReadsPerSecond = 20; ///< table reads of all nodes together; the table allows 2,000 per second
    std::chrono::milliseconds minPollInterval { 1000 }; ///< lower bound of the poll interval; applies in small fleets
    std::chrono::milliseconds fetchTimeout { 500 }; ///< time to wait for a peer's response
    std::chrono::milliseconds readTimeout { 5000 }; ///< time to wait for a response of the platform
    std::size_t announceFanout = 3; ///< peers that are notified of a new number immediately
    std::size_t maxTailTickets = 1000; ///< kept for peers; a peer that lags further behind receives a snapshot
    std::size_t ticketsPerBatch = 500;
};

/// State machine of ticket replication on one node.
class ticket_distributor {
public:
    /// Send this node's number in force to \c peer.
    struct announce {
        node_id peer;
        std::uint64_t number;
    };
    /// Request the tickets after number \c after from \c peer.
    struct fetch {
        node_id peer;
        std::uint64_t after;
    };
    /// Send the tickets that \c peer requested.
    struct send_batch {
        node_id peer;
        ticket_batch batch;
    };
    /// Encode the state in force and send it as a snapshot to \c peer, which lags too far behind for the kept tickets.
    struct send_snapshot {
        node_id peer;
    };
    /// Read the head row from the table, then call headRead().
    struct read_head { };
    /// Read the tickets after number \c after from the platform, or the snapshot and the tickets after it if their rows
    /// were compacted; then call platformBatchRead().
    struct read_tail {
        std::uint64_t after;
    };
    /// Apply the batch to the state in force, publish the new state, then call applied().
    struct apply_batch {
        ticket_batch batch;
    };
    using action = std::variant<announce, fetch, send_batch, send_snapshot, read_head, read_tail, apply_batch>;
    using actions = std::vector<action>;

    ticket_distributor(ticket_distributor_settings settings, seeded_random random);

    /// Sets the current list of live peers, without this node.
    void setPeers(std::vector<node_id> peers);

    /// Handles a peer's number in force, received in an announcement or in any other message.
    actions peerNumberReceived(instant now, const node_id& peer, std::uint64_t number);
    /// Handles a peer's request for the tickets after number \p after.
    actions fetchRequested(const node_id& peer, std::uint64_t after);
    /// Handles tickets received from a peer.
    actions batchReceived(instant now, const node_id& peer, ticket_batch batch);
    /// Handles the result of read_head.
    /// \param number the head number, or nothing if the read failed
    actions headRead(instant now, std::optional<std::uint64_t> number);
    /// Handles the result of read_tail.
    /// \param batch the tickets, or nothing if the read failed
    actions platformBatchRead(instant now, std::optional<ticket_batch> batch);
    /// Handles the completion of apply_batch: the node has published the state after ticket \p number.
    actions applied(std::uint64_t number);
    /// Runs the periodic work. Call it once at the start and then at nextWake().
    actions wake(instant now);

    /// \return the time of the next call of wake()
    instant nextWake() const { return m_nextWake; }
    /// \return the number in force on this node
    std::uint64_t number() const { return m_number; }
    /// \return whether the node has reached a number in force that a peer or the platform reported; until then it must
    ///     not serve requests
    bool ready() const { return m_ready; }
    /// \return number of batches dropped because of a gap after the number in force
    std::uint64_t droppedBatches() const { return m_droppedBatches; }
    /// \return the interval between table reads for the current number of peers, without jitter
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
    /// Highest head number received; the node is ready once its number in force reaches it.
    std::uint64_t m_readyNumber = 0;
    bool m_sourceResponded = false;
    std::map<std::uint64_t, std::string> m_tail; ///< the most recent tickets by number
    std::uint64_t m_highestNumber = 0; ///< highest number in force that a peer reported
    node_id m_highestNumberPeer; ///< the peer that reported it
    instant m_fetchDeadline {};
    instant m_readDeadline {};
    instant m_nextPoll {};
    instant m_nextWake {};
    std::uint64_t m_droppedBatches = 0;
};

} // namespace oriolepick
