/// \file
/// A small pool of threads for short blocking work beside the request threads: cancels, probes, polls.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace oriolepick {

/// Runs tasks in order of arrival. Thread-safe.
class task_pool {
public:
    /// \param threads number of threads, at least 1
    /// \param capacity tasks that may wait; more are dropped
    task_pool(std::size_t threads, std::size_t capacity);

    ~task_pool();
    task_pool(const task_pool&) = delete;
    task_pool& operator=(const task_pool&) = delete;

    /// \return false when the queue is full and the task was dropped
    bool submit(std::function<void()> task);

    /// Runs the waiting tasks and ends the threads; later tasks are dropped.
    void stop();

private:
    void work();

    std::size_t m_capacity;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace oriolepick
