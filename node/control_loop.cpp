#include "node/control_loop.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds ShortestWait { 1 }; // work that is due again at once must not spin
    constexpr int MaxPostedRounds = 16; // before timers run; a steady flood of posts must not hold them back

} // namespace

control_loop::~control_loop()
{
    stop();
}

void control_loop::every(std::chrono::milliseconds period, task work)
{
    m_periodic.push_back({ period, std::move(work), {} });
}

void control_loop::whenDue(std::function<std::optional<instant>()> dueAt, task work)
{
    m_timed.push_back({ std::move(dueAt), std::move(work) });
}

void control_loop::start()
{
    m_thread = std::thread([this] { run(); });
}

void control_loop::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void control_loop::post(task work)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stopping)
            return;
        m_posted.push_back(std::move(work));
    }
    m_changed.notify_one();
}

instant control_loop::runPeriodic(instant now)
{
    auto next = now + std::chrono::hours(1);
    for (auto& entry : m_periodic) {
        if (entry.next <= now) {
            entry.work(now);
            // A late run is not caught up: the work is idempotent, and bursts after a pause would only add load.
            entry.next = now + entry.period;
        }
        next = std::min(next, entry.next);
    }
    return next;
}

instant control_loop::runTimed(instant now)
{
    auto next = now + std::chrono::hours(1);
    for (const auto& entry : m_timed) {
        auto due = entry.dueAt();
        if (due && *due <= now) {
            entry.work(now);
            due = entry.dueAt();
        }
        if (due)
            next = std::min(next, std::max(*due, now + ShortestWait));
    }
    return next;
}

instant control_loop::runPosted(std::unique_lock<std::mutex>& lock)
{
    for (int round = 0; !m_posted.empty() && round < MaxPostedRounds; ++round) {
        const auto posted = std::exchange(m_posted, {});
        lock.unlock();
        for (const auto& work : posted)
            work(std::chrono::steady_clock::now());
        lock.lock();
    }
    return std::chrono::steady_clock::now();
}

void control_loop::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        const auto now = runPosted(lock);
        lock.unlock();
        const auto next = std::min(runPeriodic(now), runTimed(now));
        lock.lock();
        m_changed.wait_until(lock, next, [this] { return m_stopping || !m_posted.empty(); });
    }
}

} // namespace oriolepick
