#include "standins/elastic_thread_pool.h"

#include <utility>

namespace oriolepick {

elastic_thread_pool::elastic_thread_pool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

elastic_thread_pool::~elastic_thread_pool()
{
    shutdown();
}

void elastic_thread_pool::enqueue(std::function<void()> task)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_tasks.push_back(std::move(task));
    // Threads that were woken and have not taken their task yet still count as idle.
    if (m_idle < m_tasks.size() && m_threads.size() < m_maxThreads && !m_stopping)
        m_threads.emplace_back([this] { work(); });
    m_wake.notify_one();
}

void elastic_thread_pool::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_wake.notify_all();
    for (auto& thread : threads)
        thread.join();
}

void elastic_thread_pool::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_wake.wait(lock, [this] { return !m_tasks.empty() || m_stopping; });
        --m_idle;
        if (m_tasks.empty())
            return;
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace oriolepick
