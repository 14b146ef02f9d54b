/// \file
/// Multiplexes many timers onto one timer of the event loop. Arming a kernel timer for each request would cost a system
/// call each time.
#pragma once

#include "core/instant.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace oriolepick {

/// Identifies a timer; 0 stands for no timer.
using timer_handle = std::uint64_t;

/// Runs actions at given times, on the event loop. Before an action runs, the loop has polled its sockets at or after
/// the due time of the action, and has read from those that the poll reported: a time limit is not judged before the
/// response that arrived within it, even when the loop runs late. A poll reports a limited number of sockets, so
/// judgements of a single connection also ask for its pending input (see response_wait).
class timer_queue {
public:
    explicit timer_queue(boost::asio::io_context& loop);

    /// Schedules \p action for \p due.
    /// \return a handle for cancel()
    timer_handle at(instant due, std::function<void()> action);

    /// Cancels a timer and sets \p timer to 0. Has no other effect if the timer has run or was cancelled before.
    void cancel(timer_handle& timer);

    instant now() const { return std::chrono::steady_clock::now(); }

    /// \return how late the event loop was at most in the last second or two: the time from the due time of an action
    /// to its run
    std::chrono::milliseconds delay() const { return m_delay; }

private:
    void arm();
    void armFor(instant due);
    void runDueActions(instant polledAt);
    void recordDelay(instant due, instant now);

    boost::asio::steady_timer m_timer;
    std::map<std::pair<instant, timer_handle>, std::function<void()>> m_actions;
    std::map<timer_handle, instant> m_dueTimes;
    timer_handle m_lastHandle = 0;
    instant m_armedFor = instant::max();
    std::chrono::milliseconds m_delay { 0 };
    instant m_delayAt; // when m_delay was observed
};

} // namespace oriolepick
