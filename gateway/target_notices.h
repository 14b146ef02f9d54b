/// \file
/// What targets say of themselves beside their answers: that they leave, or want a pause.
#pragma once

#include "routing/routing_names.h"

#include <string>

namespace oriolepick {

class decision_log;
class gateway_metrics;
class link_pool;
class target_tracker;
class timer_queue;
struct target_reply;

/// Applies it to the board, whichever request the answer was for.
class target_notices {
public:
    /// All references outlive this object.
    target_notices(
        timer_queue& timers, target_tracker& board, link_pool& links, decision_log& log, gateway_metrics& metrics);

    /// \p target at \p address has answered with \p reply.
    void note(const target_name& target, const std::string& address, const target_reply& reply);

private:
    timer_queue& m_timers;
    target_tracker& m_board;
    link_pool& m_links;
    decision_log& m_log;
    gateway_metrics& m_metrics;
};

} // namespace oriolepick
