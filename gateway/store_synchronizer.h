/// \file
/// Keeps this node's replicas of the store's tables up to date: by changes from other nodes, and by reading the store
/// when this node is scheduled as the reader.
#pragma once

#include "core/byte_rate_limiter.h"
#include "core/names.h"
#include "gateway/gateway_message_codec.h"
#include "gateway/packed_changes.h"
#include "gateway/row_source.h"
#include "gateway/table_follower.h"
#include "gateway/timer_queue.h"
#include "routing/store_gossip.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace oriolepick {

class decision_log;
class gateway_metrics;
class http_client;
struct http_client_response;

/// A table of the store that a node replicates.
struct replicated_table {
    std::string name; ///< in the store
    row_source& store;
    table_follower::consumer consumer;
};

/// Drives store_gossip: sends its digests, pulls changes from other nodes and reads the store.
class store_synchronizer {
public:
    /// How digests are sent, and who is notified of the store's recovery.
    struct callbacks {
        std::function<void(const node_id& to, const news_digest& digest)> send;
        /// Called after an outage of the store, before rows read from it are passed on.
        /// \param at time of the first read after the outage
        std::function<void(instant at)> onStoreRecovered;
    };

    /// \param tables by topic; their sources outlive this object
    /// \param bound maximal delay until a change of the store is applied here
    /// \param readsAtStart whether this node reads the store at its start without waiting for other nodes
    /// \param linkBytesPerSecond capacity of the node's network link
    store_synchronizer(boost::asio::io_context& loop, timer_queue& timers,
        std::array<replicated_table, StoreTopicCount> tables, callbacks callbacks, const node_id& self,
        std::chrono::milliseconds bound, bool readsAtStart, double linkBytesPerSecond, std::uint64_t seed,
        decision_log& log, gateway_metrics& metrics);
    ~store_synchronizer();

    void start();

    /// Sets the nodes that are believed alive, without this one.
    void setNodes(std::vector<node_id> sameZone, std::vector<node_id> others);

    void receive(const node_id& from, const news_digest& digest);

    /// Reads the store ahead of schedule, because an observation suggests that this node's tables are outdated.
    void readEarly();

    /// Answers a pull request of another node.
    /// \param target "/news/TOPIC/NUMBER/EPOCH/VERSION", or "/news/TOPIC/all"; nodes of earlier releases omit epoch and
    /// version. Or "/news/departures", for a batch without rows
    /// \return the encoded changes; nothing when \p target is malformed, the topic is not loaded here, or the share of
    /// the link for whole tables is used up
    std::optional<std::string> answer(std::string_view target);

    /// \return whether every table was read at least once
    bool isLoaded() const;

    /// \return whether this node reads the store for all nodes
    bool isReader() const { return m_gossip.readerSchedule().isReader(); }

    /// \return whether recent reads of the store failed, so that leaving targets may go unnoticed
    bool isStoreUnavailable() const;

    /// \return the time since this node's tables were last known to match the store, the maximum over all tables
    std::chrono::milliseconds age() const;

private:
    struct table_state {
        std::string name; // in the store
        row_source& store;
        table_follower follower;
        std::shared_ptr<http_client> pull;
        packed_rows whole; // encoded table at wholeRevision, reused for nodes that start together
        content_revision wholeRevision;
        packed_changes changes;
    };

    table_state& stateOf(store_topic topic) { return m_tables[static_cast<std::size_t>(topic)]; }
    const table_state& stateOf(store_topic topic) const { return m_tables[static_cast<std::size_t>(topic)]; }
    void perform(const store_gossip::actions& actions);
    void schedule();
    void pull(store_topic topic, const node_id& from);
    void onPulled(store_topic topic, const node_id& from, const content_revision& requestedRevision, instant startedAt,
        const http_client_response& response);
    void pullDepartures(const node_id& from);
    void readStore(const read_store& read);
    void readWhole(const read_store& read, instant startedAt);
    void onRead(
        const read_store& read, instant startedAt, const std::optional<store_version>& after, const row_answer& answer);
    std::optional<content_revision> parseRevision(std::string_view text, const table_replica& replica) const;
    void logReaderChange();

    boost::asio::io_context& m_loop;
    timer_queue& m_timers;
    std::vector<table_state> m_tables; // by topic
    callbacks m_callbacks;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    std::chrono::milliseconds m_bound;
    store_gossip m_gossip;
    std::vector<std::shared_ptr<http_client>> m_departurePulls; // oldest first
    byte_rate_limiter m_wholeTableLimiter;
    timer_handle m_timer = 0;
    instant m_timerAt = instant::max();
    bool m_wasReader = false;
    std::uint32_t m_consecutiveFailures = 0; // consecutive reads of the store by this node that failed
};

} // namespace oriolepick
