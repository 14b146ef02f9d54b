/// \file
/// Replication of accepted tickets to every node, by gossip among the nodes and by polls of the platform's table. The
/// position of a node, the store's epoch and the number in force, never decreases. When the table comes back from a
/// copy, the nodes file the accepted tickets that it lost again; where another ticket was accepted under one of their
/// numbers, they replace their state by the table's. Tickets are opaque text here.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/seeded_random.h"
#include "core/store_version.h"

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
    store_epoch epoch = 0; ///< of the table's history that the tickets belong to
    bool replaces = false; ///< whether the batch starts from nothing and replaces the state in force

    /// \return the position of the sender
    store_version head() const { return { epoch, headNumber }; }

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
    std::size_t comparedTickets = 250; ///< compared with the table's after it came back from a copy
};

/// State machine of ticket replication on one node.
class ticket_distributor {
public:
    /// Send this node's position to \c peer.
    struct announce {
        node_id peer;
        store_version position;
    };
    /// Request the tickets after number \c after from \c peer, or its whole state as a snapshot.
    struct fetch {
        node_id peer;
        std::uint64_t after;
        bool whole;
    };
    /// Send the tickets that \c peer requested.
    struct send_batch {
        node_id peer;
        ticket_batch batch;
    };
    /// Encode the state in force and send it as a snapshot to \c peer, which lags too far behind for the kept tickets.
    struct send_snapshot {
        node_id peer;
        ticket_batch recent; ///< the last tickets that the snapshot covers, for comparisons; lacks the snapshot itself
    };
    /// Read the head row from the table, then call headRead().
    struct read_head { };
    /// Read the tickets after number \c after from the platform, or the snapshot and the tickets after it if their rows
    /// were compacted; then call platformBatchRead().
    struct read_tail {
        std::uint64_t after;
        bool whole; ///< read everything up to the head number in one batch that replaces the state
    };
    /// File accepted tickets again that the table lost, if its head is still at \c head; then call ticketsRestored().
    struct restore_tickets {
        store_version head;
        std::vector<std::string> tickets;
    };
    /// Apply the batch to the state in force, publish the new state, then call applied().
    struct apply_batch {
        ticket_batch batch;
    };
    using action
        = std::variant<announce, fetch, send_batch, send_snapshot, read_head, read_tail, restore_tickets, apply_batch>;
    using actions = std::vector<action>;

    ticket_distributor(ticket_distributor_settings settings, seeded_random random);

    /// Sets the current list of live peers, without this node.
    void setPeers(std::vector<node_id> peers);

    /// Handles a peer's position, received in an announcement or in any other message.
    actions peerPositionReceived(instant now, const node_id& peer, const store_version& position);
    /// Handles a peer's request for the tickets after number \p after, or for a snapshot.
    actions fetchRequested(const node_id& peer, std::uint64_t after, bool whole = false);
    /// Handles tickets received from a peer.
    actions batchReceived(instant now, const node_id& peer, ticket_batch batch);
    /// Handles the result of read_head.
    /// \param head the table's position, or nothing if the read failed
    actions headRead(instant now, std::optional<store_version> head);
    /// Handles the result of read_tail.
    /// \param batch the tickets, or nothing if the read failed
    actions platformBatchRead(instant now, std::optional<ticket_batch> batch);
    /// Handles the end of restore_tickets, whether or not this node's write took effect.
    actions ticketsRestored(instant now);
    /// Handles the completion of apply_batch: the node has published the state at \p position, which has the epoch of
    /// the batch.
    actions applied(const store_version& position);
    /// Runs the periodic work. Call it once at the start and then at nextWake().
    actions wake(instant now);

    /// \return the time of the next call of wake()
    instant nextWake() const { return m_nextWake; }
    /// \return the number in force on this node
    std::uint64_t number() const { return m_position.number(); }
    /// \return the number in force and the epoch of its history
    store_version position() const { return m_position; }
    /// \return whether the node has reached a number in force that a peer or the platform reported; until then it must
    ///     not serve requests
    bool ready() const { return m_ready; }
    /// \return number of batches dropped because of a gap after the number in force
    std::uint64_t droppedBatches() const { return m_droppedBatches; }
    /// \return the interval between table reads for the current number of peers, without jitter
    std::chrono::milliseconds pollInterval() const;

private:
    /// How a batch of a later epoch relates to the history of this node.
    enum class relation { Continues, Lacks, Differs, Unknown };

    actions acceptBatch(ticket_batch batch);
    actions adoptBatch(instant now, ticket_batch batch, const std::optional<node_id>& peer);
    actions resolve(instant now, relation found, const ticket_batch& batch, const std::optional<node_id>& peer);
    relation compare(const ticket_batch& batch) const;
    ticket_batch recentTickets() const;
    std::vector<std::string> keptAfter(std::uint64_t number) const;
    std::uint64_t requestedAfter() const;
    bool isEpochBehind() const { return m_seenEpoch > m_position.epoch() && m_position.number(); }
    void notePeer(instant now, const node_id& peer, const store_version& position);
    void updateReady(instant now);
    void appendFetch(instant now, const node_id& peer, actions& out, bool whole = false);
    void appendAnnouncements(actions& out);
    void readTail(instant now, actions& out, bool whole = false);
    bool isFetching(instant now) const { return m_fetchDeadline > now; }
    const node_id& randomPeer() { return m_peers[m_random.below(m_peers.size())]; }

    ticket_distributor_settings m_settings;
    seeded_random m_random;
    std::vector<node_id> m_peers;
    store_version m_position;
    bool m_ready = false;
    /// Highest position received from a source; the node is ready once it reaches it.
    store_version m_readyPosition;
    bool m_sourceResponded = false;
    bool m_peerResponded = false;
    instant m_now {};
    instant m_readyAt {}; ///< not ready before, because peers may know tickets that the table lost
    bool m_started = false;
    instant m_startedAt {};
    store_epoch m_seenEpoch = 0; ///< highest that a peer or the table reported
    store_epoch m_differingEpoch = 0; ///< its history is known to differ from this node's
    instant m_nextComparison {}; ///< of the table with the tickets of this node
    std::map<std::uint64_t, std::string> m_tail; ///< the most recent tickets by number
    store_version m_highest; ///< highest position that a peer reported
    node_id m_highestPeer; ///< the peer that reported it
    instant m_fetchDeadline {};
    instant m_readDeadline {};
    instant m_nextPoll {};
    instant m_nextWake {};
    std::uint64_t m_droppedBatches = 0;
};

} // namespace oriolepick
