#include "node/bounded_task_queue.h"

namespace oriolepick {

namespace {

    constexpr std::size_t ReserveThreads = 2;

    thread_local bool reserveThread = false;

} // namespace

bounded_task_queue::bounded_task_queue(std::size_t threads)
    : m_limit(threads)
{
    for (std::size_t index = 0; index < ReserveThreads; ++index)
        m_reserve.emplace_back([this] { work(true); });
}

bool bounded_task_queue::onReserveThread()
{
    return reserveThread;
}

void bounded_task_queue::enqueue(std::function<void()> task)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    // Threads are started on demand: most nodes never need the configured maximum.
    if (m_idle > m_tasks.size()) {
        m_tasks.push_back(std::move(task));
        m_changed.notify_one();
    } else if (m_threads.size() < m_limit) {
        m_tasks.push_back(std::move(task));
        m_threads.emplace_back([this] { work(false); });
    } else {
        m_surplus.push_back(std::move(task));
        m_reserveChanged.notify_one();
    }
}

void bounded_task_queue::shutdown()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_reserveChanged.notify_all();
    for (auto& thread : m_threads)
        thread.join();
    for (auto& thread : m_reserve)
        thread.join();
}

void bounded_task_queue::work(bool reserve)
{
    reserveThread = reserve;
    auto& tasks = reserve ? m_surplus : m_tasks;
    auto& changed = reserve ? m_reserveChanged : m_changed;
    for (;;) {
        std::function<void()> task;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            if (!reserve)
                ++m_idle;
            changed.wait(lock, [&] { return m_stopping || !tasks.empty(); });
            if (!reserve)
                --m_idle;
            if (tasks.empty())
                return;
            task = std::move(tasks.front());
            tasks.pop_front();
        }
        task();
    }
}

} // namespace oriolepick
