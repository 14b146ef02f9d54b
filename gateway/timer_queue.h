/// \file
/// Many timers on one timer of the event loop: arming the kernel's timer for each request would cost a call each.
#pragma once

#include "core/instant.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace oriolepick {

/// Names one timer; 0 is none.
using timer_handle = std::uint64_t;

/// Runs actions when they are due.
class timer_queue {
public:
    explicit timer_queue(boost::asio::io_context& loop);

    /// Runs \p action at \p due unless it is cancelled before.
    timer_handle at(instant due, std::function<void()> action);

    /// Cancels a timer and clears the handle; a timer that ran or was cancelled before is ignored.
    void cancel(timer_handle& timer);

    instant now() const { return std::chrono::steady_clock::now(); }

private:
    void arm();
    void fire();

    boost::asio::steady_timer m_timer;
    std::map<std::pair<instant, timer_handle>, std::function<void()>> m_actions;
    std::map<timer_handle, instant> m_due;
    timer_handle m_last = 0;
    instant m_armedFor = instant::max();
};

} // namespace oriolepick
