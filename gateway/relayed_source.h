/// \file
/// Reads a table through the node that reads it for this zone, and from the store where that fails.
#pragma once

#include "gateway/row_source.h"
#include "gateway/timer_queue.h"

#include <map>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oriolepick {

class decision_log;
class gateway_metrics;
class http_call;
class node_roster;
struct call_answer;
struct node_entry;

/// Calls to the store are priced and limited; one reader a zone keeps them independent of the number of nodes.
class relayed_source : public row_source {
public:
    /// \param store read when there is no reader, and in its place when it fails; outlives this object
    relayed_source(boost::asio::io_context& loop, timer_queue& timers, node_roster& roster, row_source& store,
        decision_log& log, gateway_metrics& metrics);
    ~relayed_source() override;

    void readAll(const std::string& table, callback done) override;
    void readChanges(
        const std::string& table, std::uint64_t revision, std::chrono::milliseconds wait, callback done) override;

private:
    void onPeer(const node_entry& peer, const call_answer& given, const std::string& table, std::uint64_t revision,
        std::chrono::milliseconds wait, callback done);

    boost::asio::io_context& m_loop;
    timer_queue& m_timers;
    node_roster& m_roster;
    row_source& m_store;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    std::shared_ptr<http_call> m_call;
    std::string m_callAddress;
};

} // namespace oriolepick
