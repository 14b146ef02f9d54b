/// \file
/// Thread pool of the HTTP edge. cpp-httplib's own pool queues connections without limit when all threads are busy;
/// this one serves the surplus on a few reserve threads, on which the edge refuses at once.
#pragma once

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace oriolepick {

class bounded_task_queue final : public httplib::TaskQueue {
public:
    /// \param threads connections that are served at once
    explicit bounded_task_queue(std::size_t threads);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// \return whether the current thread is a reserve thread, so that the request must be refused as overloaded
    static bool onReserveThread();

private:
    void work(bool reserve);

    std::size_t m_limit;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_reserveChanged;
    std::deque<std::function<void()>> m_tasks;
    std::deque<std::function<void()>> m_surplus;
    std::size_t m_idle = 0;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
    std::vector<std::thread> m_reserve;
};

} // namespace oriolepick
