/// \file
/// The one thread on which the node's control parts run (membership, tickets, limits, orders), so that their state
/// machines need no lock. Blocking work goes to a task pool and posts its result back.
#pragma once

#include "core/instant.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace oriolepick {

/// Posted work runs before timers that are due: it may be the answer that a timer waits for.
class control_loop {
public:
    using task = std::function<void(instant now)>;

    ~control_loop();

    /// Registers periodic work; called before start().
    void every(std::chrono::milliseconds period, task work);

    /// Registers work that is due at changing times; called before start().
    /// \param dueAt when the work is due next, nothing for not at all; read on the loop's thread
    void whenDue(std::function<std::optional<instant>()> dueAt, task work);

    void start();

    /// Ends the thread; later posts are dropped.
    void stop();

    /// Runs \p work on the loop's thread. Thread-safe.
    void post(task work);

private:
    struct periodic {
        std::chrono::milliseconds period;
        task work;
        instant next;
    };
    struct timed {
        std::function<std::optional<instant>()> dueAt;
        task work;
    };

    void run();
    /// Runs posted work until none is left, also what is posted meanwhile.
    /// \param lock held, and released while work runs
    /// \return the time at which timers are judged; what was posted before it has run
    instant runPosted(std::unique_lock<std::mutex>& lock);
    instant runPeriodic(instant now);
    instant runTimed(instant now);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<task> m_posted;
    bool m_stopping = false;
    std::vector<periodic> m_periodic;
    std::vector<timed> m_timed;
    std::thread m_thread;
};

} // namespace oriolepick
