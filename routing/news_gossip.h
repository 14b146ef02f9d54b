/// \file
/// Propagates changes of the store to all nodes: which nodes receive digests, where changes are pulled from, and
/// which node reads the store.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/seeded_random.h"
#include "routing/news_digest.h"
#include "routing/reader_turn.h"

#include <array>
#include <optional>
#include <variant>
#include <vector>

namespace oriolepick {

/// Send a digest of this node to another node.
struct tell_node {
    node_id to;
    news_digest digest;
};

/// Request missing changes from another node, and report the result to pulled().
struct pull_news {
    news_topic topic;
    node_id from;
};

/// Read a topic from the store, and report the result to readEnded().
struct read_store {
    news_topic topic;
};

/// The store is available after an outage in which registrations may have expired.
struct store_returned { };

using news_action = std::variant<tell_node, pull_news, read_store, store_returned>;

/// Version of a topic that this node holds after a pull or a read.
struct topic_version {
    std::uint64_t newsRevision = 0;
    std::uint64_t readRevision = 0;
    instant asOf; ///< time at which the store was at readRevision
};

/// Settings of store_gossip.
struct news_gossip_settings {
    std::size_t localFanOut = 3; ///< number of nodes of its own zone to which a node sends a new version
    /// Number of nodes of other zones to which a node sends a version from another zone or from the store. Traffic
    /// between zones is charged, so a version from its own zone is sent within the zone only, except for one time in
    /// remoteFanOutInterval.
    std::size_t remoteFanOut = 2;
    std::uint64_t localShare = 8;
    std::uint64_t localExchanges = 4; ///< one in this many anti-entropy digests goes to another zone
    std::chrono::milliseconds collect { 5 }; ///< delay before digests are sent, so that several changes share a digest
    std::chrono::milliseconds exchangePeriod { 500 }; ///< period of digests to a random node, mostly of the own zone
    /// Delay before another node is queried when one did not respond, and between digests while a topic is missing.
    std::chrono::milliseconds pullRetry { 100 };
    /// A node that receives no digest for this long is isolated: normally a read and two anti-entropy digests reach
    /// it within this time.
    std::chrono::milliseconds lonely { 1'500 };
    /// After this long without a known read of the store, registrations may have expired because they could not be
    /// renewed.
    std::chrono::milliseconds outage { 1'500 };
    /// A read that takes longer is announced like a failed one, since otherwise each of the other nodes would start
    /// a read meanwhile.
    std::chrono::milliseconds slowReading { 150 };
    std::size_t tellers = 4; ///< number of remembered nodes that hold a newer version than this node
};

/// Epidemic propagation of digests; the announced changes are pulled. Digests propagate in waves from the node that
/// read the store, so that every node also has the age of its data. Not synchronized: one instance per event loop.
class news_gossip {
public:
    using actions = std::vector<news_action>;

    /// \param self this node
    /// \param bound longest time until a change reaches any node
    /// \param readsAtStart whether this node reads the store at its start
    news_gossip(const node_id& self, const news_gossip_settings& settings, std::chrono::milliseconds bound,
        bool readsFirst, seeded_random random, instant startedAt);

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
    actions pulled(news_topic topic, const std::optional<topic_version>& version, instant now);

    /// A reading of the store ended; nothing when it failed.
    actions readingEnded(news_topic topic, const std::optional<topic_version>& version, instant now);

    /// Reads the store ahead of schedule if this node is the reader. Called on a problem that a change in the store
    /// may explain.
    actions hurry(instant now);

    /// \return the time as of which the held version was current, if the topic is held
    std::optional<instant> asOf(news_topic topic) const;

    /// \return whether a read failed, by this or another node, and no successful read is known since
    bool storeIsAway() const;

    /// \return the digest of the versions held by this node
    news_digest digest(instant now) const;

    const reader_turn& turn() const { return m_turn; }

private:
    struct teller {
        node_id node;
        std::uint64_t newsRevision;
    };
    struct topic_state {
        std::optional<topic_version> held;
        std::vector<teller> tellers; // newest last
        bool pulling = false;
        node_id pulledFrom;
        instant pullAt; // earliest time of the next pull
        std::optional<instant> behindSince; // time of the first digest that announced the missing version
        std::uint64_t readingFrom = 0; // revision held at the start of the read in progress
    };

    topic_state& stateOf(news_topic topic) { return m_topics[static_cast<std::size_t>(topic)]; }
    void hearTopic(actions& out, news_topic topic, const node_id& from, const news_digest& digest, instant now);
    bool accept(actions& out, news_topic topic, const topic_version& version, bool fromAfar, instant now);
    bool isBehind(const news_digest& digest) const;
    bool holdsAll() const;
    instant readingDue() const;
    void startPull(actions& out, news_topic topic, instant now);
    static void forget(topic_state& state, const node_id& teller);
    void startReading(actions& out, instant now);
    void scheduleTelling(bool fromAfar, instant now);
    std::vector<node_id> someOf(const std::vector<node_id>& nodes, std::size_t count);
    void tellSome(actions& out, instant now);
    void tell(actions& out, const node_id& to, bool isReply, instant now);
    bool isLocal(const node_id& node) const;
    node_id randomNode();

    news_gossip_settings m_settings;
    node_id m_self;
    seeded_random m_random;
    reader_turn m_turn;
    std::chrono::milliseconds m_pullPatience; // a version that could not be pulled for this long is read from the store
    std::array<topic_state, NewsTopics> m_topics;
    std::vector<node_id> m_sameZone; // sorted
    std::vector<node_id> m_others;
    std::optional<instant> m_tellAt;
    bool m_tellZones = false; // whether the pending version came from another zone or the store
    std::optional<instant> m_lastHeard; // time of the last digest from any node
    instant m_exchangeAt;
    std::size_t m_readingsLeft = 0;
    std::optional<instant> m_slowAt; // time at which the read in progress counts as slow
    bool m_readingFailed = false;
};

/// \return the rank number of \p node, equal on all nodes
std::uint32_t rankNumber(const node_id& node);

} // namespace oriolepick
