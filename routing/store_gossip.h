/// \file
/// How news of the store reach all nodes: who is told, who is asked for them, and who reads the store.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/seeded_random.h"
#include "routing/news_digest.h"
#include "routing/reader_schedule.h"

#include <array>
#include <optional>
#include <variant>
#include <vector>

namespace oriolepick {

/// Send what this node knows to another node.
struct send_digest {
    node_id to;
    news_digest digest;
};

/// Ask another node for what this one lacks, and report the result to pulled().
struct pull_changes {
    store_topic topic;
    node_id from;
};

/// Read a topic from the store, and report the result to readEnded().
struct read_store {
    store_topic topic;
};

/// The store answers again after an outage in which registrations may have lapsed.
struct store_recovered { };

using gossip_action = std::variant<send_digest, pull_changes, read_store, store_recovered>;

/// What a node holds of a topic after it asked another node or the store.
struct topic_version {
    std::uint64_t changeRevision = 0;
    std::uint64_t readRevision = 0;
    instant asOf; ///< when the store was at readRevision
};

/// Settings of store_gossip.
struct store_gossip_settings {
    std::size_t localFanOut = 3; ///< nodes of its own zone that a node tells when it learns something
    /// Nodes of other zones that it tells of what came from another zone or the store. Bytes between zones are priced,
    /// so what came from its own zone is told there only, but for one time in remoteFanOutInterval.
    std::size_t remoteFanOut = 2;
    std::uint64_t remoteFanOutInterval = 8;
    std::uint64_t remoteExchangeInterval = 4; ///< of so many exchanges with a random node, one is with another zone
    std::chrono::milliseconds batchDelay { 5 }; ///< several things learned within this time are told at once
    std::chrono::milliseconds antiEntropyPeriod {
        500
    }; ///< between two digests to a random node, mostly of its own zone
    /// Before the next node is asked when one did not answer, and between exchanges while nothing is known.
    std::chrono::milliseconds pullRetryDelay { 100 };
    /// A node that hears of no other for so long is cut off: a reading and two exchanges reach it in that time.
    std::chrono::milliseconds isolationTimeout { 1'500 };
    /// Without word of the store for so long, registrations may have lapsed because nobody could renew them.
    std::chrono::milliseconds outageThreshold { 1'500 };
    /// A reading that takes longer is told to the others like one in vain, or each of them would begin one meanwhile.
    std::chrono::milliseconds slowReadThreshold { 150 };
    std::size_t sources = 4; ///< nodes remembered that know more than this one
};

/// Epidemic spread of digests; what they announce is pulled. News travel in waves from the node that read the store,
/// so that every node also knows how old its knowledge is. Not synchronized: one per event loop.
class store_gossip {
public:
    using actions = std::vector<gossip_action>;

    /// \param self this node
    /// \param bound how late any news may be at any node
    /// \param readsAtStart whether this node reads the store at once when it starts
    store_gossip(const node_id& self, const store_gossip_settings& settings, std::chrono::milliseconds bound,
        bool readsAtStart, seeded_random random, instant startedAt);

    /// Sets the nodes that are believed alive, without this one.
    /// \param sameZone those in this node's zone
    /// \param others all others
    void setNodes(std::vector<node_id> sameZone, std::vector<node_id> others);

    /// Does what is due. Call at nextDue() or later.
    actions tick(instant now);

    /// \return when tick() has something to do
    instant nextDue() const;

    /// \p from told what it knows.
    actions receive(const node_id& from, const news_digest& digest, instant now);

    /// A pull ended; nothing when the node did not answer or knows no more than this one.
    actions pulled(store_topic topic, const std::optional<topic_version>& version, instant now);

    /// A reading of the store ended; nothing when it failed.
    actions readEnded(store_topic topic, const std::optional<topic_version>& version, instant now);

    /// Something is amiss that the store may explain: the node that reads it does so before its time.
    actions readEarly(instant now);

    /// \return when the store was last known to have nothing newer than what this node holds, if it holds anything
    std::optional<instant> asOf(store_topic topic) const;

    /// \return whether a reading of the store by this node failed and none by any node is known since
    bool isStoreUnavailable() const;

    /// \return the digest of this node
    news_digest digest(instant now) const;

    const reader_schedule& readerSchedule() const { return m_schedule; }

private:
    struct topic_source {
        node_id node;
        std::uint64_t changeRevision;
    };
    struct topic_state {
        std::optional<topic_version> held;
        std::vector<topic_source> sources; // the newest last
        bool pulling = false;
        node_id pulledFrom;
        instant pullAt; // not before
        std::optional<instant> behindSince; // when this node first heard of what it does not hold
        std::uint64_t revisionAtReadStart = 0; // revision held when the reading in progress began
    };

    topic_state& stateOf(store_topic topic) { return m_topics[static_cast<std::size_t>(topic)]; }
    void receiveTopic(actions& out, store_topic topic, const node_id& from, const news_digest& digest, instant now);
    bool adoptVersion(actions& out, store_topic topic, const topic_version& version, bool fromOutsideZone, instant now);
    bool isBehind(const news_digest& digest) const;
    bool holdsAll() const;
    instant readDueAt() const;
    void startPull(actions& out, store_topic topic, instant now);
    static void forgetSource(topic_state& state, const node_id& topic_source);
    void startRead(actions& out, instant now);
    void scheduleDigests(bool fromOutsideZone, instant now);
    std::vector<node_id> randomSubset(const std::vector<node_id>& nodes, std::size_t count);
    void sendDigests(actions& out, instant now);
    void sendDigest(actions& out, const node_id& to, bool isReply, instant now);
    bool isLocal(const node_id& node) const;
    node_id randomNode();

    store_gossip_settings m_settings;
    node_id m_self;
    seeded_random m_random;
    reader_schedule m_schedule;
    std::chrono::milliseconds m_pullTimeout; // what this node could not pull for so long it reads from the store
    std::array<topic_state, StoreTopicCount> m_topics;
    std::vector<node_id> m_sameZone; // sorted
    std::vector<node_id> m_others;
    std::optional<instant> m_sendDigestsAt;
    bool m_sendToOtherZones = false; // what is to be told came from another zone or the store
    std::optional<instant> m_lastDigestAt; // any digest
    instant m_antiEntropyAt;
    std::size_t m_pendingReads = 0;
    std::optional<instant> m_readSlowAt; // when the reading in progress is slow
    bool m_readFailed = false;
};

/// \return the rank number of \p node: the same wherever it is computed
std::uint32_t rankNumber(const node_id& node);

} // namespace oriolepick
