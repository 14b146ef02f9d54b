/// \file
/// A node's way of the configuration, without sockets.
#pragma once

#include "gateway/active_config.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/table_follower.h"
#include "gateway/timer_queue.h"
#include "platform/config_applier.h"

#include <boost/asio/io_context.hpp>

namespace oriolepick {

/// What a gateway holds of the configuration, from the rows that were read to the routes in force.
struct config_node {
    boost::asio::io_context loop;
    timer_queue timers { loop };
    decision_log log { -1, "node", 0 };
    gateway_metrics metrics;
    active_config active;
    config_applier applier { active, timers, log, metrics };
    table_follower follower { applier.consumer() };
};

} // namespace oriolepick
