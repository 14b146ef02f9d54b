/// \file
/// Rows in the platform's store by which nodes find each other when the addresses they start with do not answer.
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

/// Only nodes that know no other, and the one that reads the store for all, write and read the rows: the calls do not
/// grow with the number of nodes, and two groups that do not know each other meet.
class node_directory {
public:
    /// What is asked about this node, and who hears of others.
    struct callbacks {
        std::function<bool()> isIsolated; ///< it knows no other node
        std::function<bool()> isReader; ///< it reads the store for all
        std::function<void(const std::vector<node_id>&)> onNodesFound; ///< contact these
    };

    /// \param name key of this node's row
    node_directory(std::string name, node_row self, row_source& source, row_writer& writer, timer_queue& timers,
        callbacks callbacks, decision_log& log, gateway_metrics& metrics);

    /// Looks from time to time whether the rows are needed.
    void start();

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
