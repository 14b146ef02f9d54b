/// \file
/// Reads the state of engines and the platform's list of leaving instances in the background.
#pragma once

#include "core/names.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace oriolepick {

class engine_client;
class instance_list;
class node_metrics;
class target_directory;
class target_limits;
class task_pool;

/// Polls all engines of the directory on the task pool, and the instance list on its own thread.
class target_poller {
public:
    target_poller(engine_client& engines, const instance_list& instances, target_directory& targets,
        const target_limits& limits, task_pool& tasks, node_metrics& metrics, std::chrono::milliseconds period,
        std::chrono::milliseconds timeout);
    ~target_poller();
    target_poller(const target_poller&) = delete;
    target_poller& operator=(const target_poller&) = delete;

    /// Polls at once, for example after a change of the state in force. Thread-safe.
    void wake();

private:
    void run();
    void pollEngines();
    void pollInstances();
    void pollEngine(const target_id& target, const std::string& address);
    void recordReachable(const target_id& target, bool reachable);

    engine_client& m_engines;
    const instance_list& m_instances;
    target_directory& m_targets;
    const target_limits& m_limits;
    task_pool& m_tasks;
    node_metrics& m_metrics;
    std::chrono::milliseconds m_period;
    std::chrono::milliseconds m_timeout;
    std::mutex m_mutex;
    std::condition_variable m_stop;
    bool m_stopping = false;
    bool m_woken = false;
    std::set<target_id> m_polling; ///< targets with a poll under way
    std::map<target_id, bool> m_reachable;
    std::thread m_thread;
};

} // namespace oriolepick
