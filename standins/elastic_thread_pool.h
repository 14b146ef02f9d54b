/// \file
/// A thread pool that makes threads on demand.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace oriolepick {

/// Starts a thread for a task when none is idle, up to a limit; idle threads are kept until shutdown().
class elastic_thread_pool {
public:
    explicit elastic_thread_pool(std::size_t maxThreads);
    ~elastic_thread_pool();
    elastic_thread_pool(const elastic_thread_pool&) = delete;
    elastic_thread_pool& operator=(const elastic_thread_pool&) = delete;

    void enqueue(std::function<void()> task);

    /// Runs what is queued and joins all threads.
    void shutdown();

private:
    void work();

    const std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace oriolepick
