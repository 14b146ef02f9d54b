/// \file
/// How news of the store reach all nodes: who is told, who is asked for them, and who reads the store.
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

/// Send what this node knows to another node.
struct tell_node {
    node_id to;
    news_digest digest;
};

/// Ask another node for what this one lacks, and report the result to pulled().
struct pull_news {
    news_topic topic;
    node_id from;
};

/// Read a topic from the store, and report the result to readingEnded().
struct read_store {
    news_topic topic;
};

/// The store answers again after an outage in which registrations may have lapsed.
struct store_returned { };

using news_action = std::variant<tell_node, pull_news, read_store, store_returned>;

/// What a node holds of a topic after it asked another node or the store.
struct topic_version {
    std::uint64_t newsRevision = 0;
    std::uint64_t readRevision = 0;
    instant asOf; ///< when the store was at readRevision
};

/// Settings of news_gossip.
struct news_gossip_settings {
    std::size_t localFanOut = 3; ///< nodes of its own zone that a node tells when it learns something
    /// Nodes of other zones that it tells of what came from another zone or the store. Bytes between zones are priced,
    /// so what came from its own zone is told there only, but for one time in localShare.
    std::size_t remoteFanOut = 2;
    std::uint64_t localShare = 8;
    std::uint64_t localExchanges = 4; ///< of so many exchanges with a random node, one is with another zone
    std::chrono::milliseconds collect { 5 }; ///< several things learned within this time are told at once
    std::chrono::milliseconds exchangePeriod { 500 }; ///< between two digests to a random node, mostly of its own zone
    /// Before the next node is asked when one did not answer, and between exchanges while nothing is known.
    std::chrono::milliseconds pullRetry { 100 };
    /// A node that hears of no other for so long is cut off: a reading and two exchanges reach it in that time.
    std::chrono::milliseconds lonely { 1'500 };
    /// Without word of the store for so long, registrations may have lapsed because nobody could renew them.
    std::chrono::milliseconds outage { 1'500 };
    /// A reading that takes longer is told to the others like one in vain, or each of them would begin one meanwhile.
    std::chrono::milliseconds slowReading { 150 };
    std::size_t tellers = 4; ///< nodes remembered that know more than this one
};

/// Epidemic spread of digests; what they announce is pulled. News travel in waves from the node that read the store,
/// so that every node also knows how old its knowledge is. Not synchronized: one per event loop.
class news_gossip {
public:
    using actions = std::vector<news_action>;

    /// \param self this node
    /// \param bound how late any news may be at any node
    /// \param readsFirst whether this node reads the store at once when it starts
    news_gossip(const node_id& self, const news_gossip_settings& settings, std::chrono::milliseconds bound,
        bool readsFirst, seeded_random random, instant startedAt);

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
    actions pulled(news_topic topic, const std::optional<topic_version>& version, instant now);

    /// A reading of the store ended; nothing when it failed.
    actions readingEnded(news_topic topic, const std::optional<topic_version>& version, instant now);

    /// Something is amiss that the store may explain: the node that reads it does so before its time.
    actions hurry(instant now);

    /// \return when the store was last known to have nothing newer than what this node holds, if it holds anything
    std::optional<instant> asOf(news_topic topic) const;

    /// \return whether a reading of the store by this node failed and none by any node is known since
    bool storeIsAway() const;

    /// \return the digest of this node
    news_digest digest(instant now) const;

    const reader_turn& turn() const { return m_turn; }

private:
    struct teller {
        node_id node;
        std::uint64_t newsRevision;
    };
    struct topic_state {
        std::optional<topic_version> held;
        std::vector<teller> tellers; // the newest last
        bool pulling = false;
        node_id pulledFrom;
        instant pullAt; // not before
        std::optional<instant> behindSince; // when this node first heard of what it does not hold
        std::uint64_t readingFrom = 0; // revision held when the reading in progress began
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
    std::chrono::milliseconds m_pullPatience; // what this node could not pull for so long it reads from the store
    std::array<topic_state, NewsTopics> m_topics;
    std::vector<node_id> m_sameZone; // sorted
    std::vector<node_id> m_others;
    std::optional<instant> m_tellAt;
    bool m_tellZones = false; // what is to be told came from another zone or the store
    std::optional<instant> m_lastHeard; // any digest
    instant m_exchangeAt;
    std::size_t m_readingsLeft = 0;
    std::optional<instant> m_slowAt; // when the reading in progress is slow
    bool m_readingFailed = false;
};

/// \return the rank number of \p node: the same wherever it is computed
std::uint32_t rankNumber(const node_id& node);

} // namespace oriolepick
