/// \file
/// Discovery of nodes through rows in the platform's store, for nodes whose seed addresses do not respond.
#pragma once

#include "gateway/node_row.h"
#include "gateway/row_source.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <string>
#include <vector>

namespace oriolepick {

class decision_log;
class gateway_metrics;
class row_writer;

/// Only isolated nodes, and the node that reads the store for all, write and read the rows. So the number of calls does
/// not grow with the number of nodes, and two partitions that have no contact still find each other.
class node_directory {
public:
    /// Queries about the state of this node, and the handler for nodes that were found.
    struct callbacks {
        std::function<bool()> isIsolated; ///< whether this node has contact to no other node
        std::function<bool()> isReader; ///< whether this node reads the store for all nodes
        std::function<void(const std::vector<node_id>&)> onNodesFound; ///< called with the nodes to contact
    };

    /// \param name key of this node's row in the store
    node_directory(std::string name, node_row self, row_source& source, row_writer& writer, timer_queue& timers,
        callbacks callbacks, decision_log& log, gateway_metrics& metrics);

    /// Starts to check periodically whether discovery is needed.
    void start();

    /// Writes the row again at the next check, because the store may have lost it, and reads the rows of other nodes.
    void discoverAgain();

private:
    void check();
    void runDiscovery();
    void onRows(const row_answer& answer);

    std::string m_name;
    node_row m_self;
    row_source& m_source;
    row_writer& m_writer;
    timer_queue& m_timers;
    callbacks m_callbacks;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    std::chrono::milliseconds m_interval;
    instant m_nextDiscovery;
};

} // namespace oriolepick
