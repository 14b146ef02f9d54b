#include "node/task_pool.h"

namespace oriolepick {

task_pool::task_pool(std::size_t threads, std::size_t capacity)
    : m_capacity(capacity)
{
    for (std::size_t index = 0; index < threads; ++index)
        m_threads.emplace_back([this] { work(); });
}

task_pool::~task_pool()
{
    stop();
}

void task_pool::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

bool task_pool::submit(std::function<void()> task)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stopping || m_tasks.size() >= m_capacity)
            return false;
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_one();
    return true;
}

void task_pool::work()
{
    for (;;) {
        std::function<void()> task;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
            if (m_tasks.empty())
                return;
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
    }
}

} // namespace oriolepick
