/// \file
/// Propagates changes of the store to all nodes: which nodes receive digests, where changes are pulled from, and
/// which node reads the store.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/seeded_random.h"
#include "routing/news_digest.h"
#include "routing/reader_schedule.h"
#include "routing/transit_delay.h"

#include <array>
#include <optional>
#include <variant>
#include <vector>

namespace oriolepick {

/// Send a digest of this node to another node.
struct send_digest {
    node_id to;
    news_digest digest;
};

/// Request missing changes from another node, and report the result to pulled().
struct pull_changes {
    store_topic topic;
    node_id from;
};

/// Read a topic from the store, and report the result to readEnded(). Reads overlap: the store may answer a later one
/// while an earlier one is lost.
struct read_store {
    store_topic topic;
    std::uint64_t read; ///< number of the read, which all topics have in common
};

/// Hold the current content of a topic under the revision that other nodes give it. Two nodes that read the same change
/// at different times give it different revisions.
struct adopt_revision {
    store_topic topic;
    content_revision changeRevision;
};

/// The store is available after an outage in which registrations may have expired.
struct store_recovered {
    instant at; ///< time of the first read after the outage
};

/// Ask \c from which targets leave or have left, see target_tracker::departures().
struct ask_departures {
    node_id from;
};

using gossip_action
    = std::variant<send_digest, pull_changes, read_store, adopt_revision, store_recovered, ask_departures>;

/// Version of a topic that this node holds after a pull or a read.
struct topic_version {
    content_revision changeRevision;
    store_version readRevision;
    instant asOf; ///< time at which the store was at readRevision
};

/// Settings of store_gossip.
struct store_gossip_settings {
    std::size_t localFanOut = 3; ///< number of nodes of its own zone to which a node sends a new version
    /// Number of nodes of other zones to which a node sends a version from another zone or from the store. Traffic
    /// between zones is charged, so a version from its own zone is sent within the zone only, except for one time in
    /// remoteFanOutInterval.
    std::size_t remoteFanOut = 2;
    std::uint64_t remoteFanOutInterval = 8;
    std::uint64_t remoteExchangeInterval = 4; ///< one in this many anti-entropy digests goes to another zone
    /// Delay before digests are sent, so that several changes share a digest.
    std::chrono::milliseconds batchDelay { 5 };
    std::chrono::milliseconds antiEntropyPeriod { 500 }; ///< period of digests to a random node, mostly of the own zone
    /// Delay before another node is queried when one did not respond, and between digests while a topic is missing.
    std::chrono::milliseconds pullRetryDelay { 100 };
    /// A node that receives no digest for this long is isolated: normally a read and two anti-entropy digests reach
    /// it within this time.
    std::chrono::milliseconds isolationTimeout { 1'500 };
    /// When reads of the store fail for this long, registrations may have expired because they could not be renewed. A
    /// time without reads alone is no outage: the node that reads may have been lost.
    std::chrono::milliseconds outageThreshold { 1'500 };
    /// How long nodes inform each other of the recovery of the store; longer than expired registrations are kept.
    std::chrono::milliseconds recoveryNoticePeriod { 3'000 };
    /// A read that takes longer is announced like a failed one, since otherwise each of the other nodes would start
    /// a read meanwhile. This node need not wait for its end either.
    std::chrono::milliseconds slowReadThreshold { 150 };
    /// Number of nodes that are asked which targets leave or have left, after the whole table of targets was read. One
    /// of them may have just started.
    std::uint32_t departureQuestions = 3;
    std::size_t sources = 4; ///< number of remembered nodes that hold a newer version than this node
};

/// Epidemic propagation of digests; the announced changes are pulled. Digests propagate in waves from the node that
/// read the store, so that every node also has the age of its data. Not synchronized: one instance per event loop.
class store_gossip {
public:
    using actions = std::vector<gossip_action>;

    /// \param self this node
    /// \param bound longest time until a change reaches any node
    /// \param readsAtStart whether this node reads the store at its start
    store_gossip(const node_id& self, const store_gossip_settings& settings, std::chrono::milliseconds bound,
        bool readsAtStart, seeded_random random, instant startedAt);

    /// Sets the nodes that are believed alive, without this node.
    /// \param sameZone nodes in the zone of this node
    /// \param others nodes in other zones
    void setNodes(std::vector<node_id> sameZone, std::vector<node_id> others);

    /// Performs all due work. Call at nextDue() or later.
    actions tick(instant now);

    /// \return the time of the next due work of tick()
    instant nextDue() const;

    /// Processes a digest from \p from.
    actions receive(const node_id& from, const news_digest& digest, instant now);

    /// Records the end of a pull; no version if the node did not respond or holds no newer one.
    actions pulled(store_topic topic, const std::optional<topic_version>& version, instant now);

    /// Records that the store responds to a read of \p topic. Called before the rows of the response are applied, since
    /// they may lack registrations that expired during an outage, or were lost when the store was restored.
    /// \param epoch of the store, see store_version
    /// \param startedAt start of the read
    actions storeResponded(store_topic topic, std::uint64_t epoch, instant startedAt, instant now);

    /// Records that another node noticed the recovery of the store.
    actions recoveryNoticed(std::chrono::milliseconds sinceRecovery, instant now);

    /// \return the time since the recovery of the store, as long as other nodes are informed of it
    std::optional<std::chrono::milliseconds> sinceRecovery(instant now) const;

    /// Records the end of a read from the store; no version if the read failed.
    actions readEnded(const read_store& read, const std::optional<topic_version>& version, instant now);

    /// Records that all registrations were read from the store: they may be late renewals, whose targets were removed
    /// when this node did not follow the store.
    void targetsReplaced(instant now);

    /// Reads the store ahead of schedule if this node is the reader. Called on a problem that a change in the store
    /// may explain.
    actions readEarly(instant now);

    /// \return the time as of which the held version was current, if the topic is held
    std::optional<instant> asOf(store_topic topic) const;

    /// \return whether a read failed, by this or another node, and no successful read is known since
    bool isStoreUnavailable() const;

    /// \return the digest of the versions held by this node
    news_digest digest(instant now) const;

    const reader_schedule& readerSchedule() const { return m_schedule; }

private:
    struct source {
        node_id node;
        content_revision changeRevision;
    };
    struct topic_state {
        std::optional<topic_version> held;
        std::vector<source> sources; // newest last
        bool pulling = false;
        node_id pulledFrom;
        instant pullAt; // earliest time of the next pull
        std::optional<instant> behindSince; // time of the first digest that announced the missing version
    };
    struct read_in_progress {
        std::uint64_t number;
        instant startedAt;
        std::array<store_version, StoreTopicCount> revisionsAtStart; // held at the start, by topic
        std::size_t pendingTopics = StoreTopicCount;
        bool failed = false;
        bool slow = false; // announced as a failed attempt
    };

    topic_state& stateOf(store_topic topic) { return m_topics[static_cast<std::size_t>(topic)]; }
    void receiveTopic(
        actions& out, store_topic topic, const node_id& from, const news_digest& digest, instant sentAt, instant now);
    bool adoptVersion(store_topic topic, const topic_version& version, bool fromOutsideZone, instant now);
    void recordRecovery(actions& out, instant at, instant now);
    void noteRead(instant at);
    bool mayHaveRecovered(instant at) const;
    bool isRestored(std::uint64_t epoch);
    bool isBehind(const news_digest& digest) const;
    bool holdsAll() const;
    instant readDueAt() const;
    void startPull(actions& out, store_topic topic, instant now);
    static void forgetSource(topic_state& state, const node_id& source);
    bool mayRead() const;
    void startRead(actions& out, instant now);
    void scheduleDigests(bool fromOutsideZone, instant now);
    std::vector<node_id> randomSubset(const std::vector<node_id>& nodes, std::size_t count);
    void sendDigests(actions& out, instant now);
    void sendDigest(actions& out, const node_id& to, bool isReply, instant now);
    bool isLocal(const node_id& node) const;
    node_id randomNode(seeded_random& random) const;

    store_gossip_settings m_settings;
    node_id m_self;
    seeded_random m_random;
    reader_schedule m_schedule;
    transit_delay m_transitDelay; // of digests
    std::chrono::milliseconds m_pullTimeout; // a version that could not be pulled for this long is read from the store
    std::array<topic_state, StoreTopicCount> m_topics;
    std::vector<node_id> m_sameZone; // sorted
    std::vector<node_id> m_others;
    std::optional<instant> m_sendDigestsAt;
    bool m_sendToOtherZones = false; // whether the pending version came from another zone or the store
    std::optional<instant> m_lastDigestAt; // time of the last digest from any node
    instant m_antiEntropyAt;
    std::optional<instant> m_recoveredAt; // of the store, after its last outage
    std::optional<instant> m_lastKnownRead; // by any node
    instant m_availableSince; // first of the known reads that followed each other without an outage
    std::uint64_t m_epoch = 0; // of the store, the latest that is known
    std::uint32_t m_departureQuestions = 0; // still to be asked
    instant m_nextQuestionAt;
    seeded_random m_questionRandom; // chooses who is asked, so that questions change nothing about the digests
    std::vector<read_in_progress> m_reads; // oldest first
    std::uint64_t m_lastRead = 0; // number of the newest read
};

/// \return the rank number of \p node, equal on all nodes
std::uint32_t rankNumber(const node_id& node);

} // namespace oriolepick
