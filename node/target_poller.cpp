#include "node/target_poller.h"

#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/target_directory.h"
#include "node/target_limits.h"
#include "node/task_pool.h"
#include "ports/instance_list.h"
#include "targets/engine_client.h"

namespace oriolepick {

target_poller::target_poller(engine_client& engines, const instance_list& instances, target_directory& targets,
    const target_limits& limits, task_pool& tasks, node_metrics& metrics, std::chrono::milliseconds period,
    std::chrono::milliseconds timeout)
    : m_engines(engines)
    , m_instances(instances)
    , m_targets(targets)
    , m_limits(limits)
    , m_tasks(tasks)
    , m_metrics(metrics)
    , m_period(period)
    , m_timeout(timeout)
    , m_thread([this] { run(); })
{
}

target_poller::~target_poller()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_stop.notify_all();
    m_thread.join();
    std::unique_lock<std::mutex> lock(m_mutex);
    m_stop.wait(lock, [this] { return m_polling.empty(); });
}

void target_poller::wake()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_woken = true;
    }
    m_stop.notify_all();
}

void target_poller::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_woken = false;
        lock.unlock();
        pollEngines();
        pollInstances();
        for (const auto& [state, number] : m_targets.stateCounts())
            m_metrics.set(gauge_metric::Targets, { { "state", state } }, static_cast<double>(number));
        lock.lock();
        m_stop.wait_for(lock, m_period, [this] { return m_stopping || m_woken; });
    }
}

void target_poller::pollEngines()
{
    for (const auto& engine : m_targets.engines()) {
        // The polls of all nodes would use up the limit. The responses to attempts show that the engine lives.
        if (m_limits.isLimited(engine.address) && m_targets.observed(engine.target))
            continue;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (!m_polling.insert(engine.target).second)
                continue;
        }
        const auto finish = [this, target = engine.target] {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_polling.erase(target);
            m_stop.notify_all();
        };
        const bool queued = m_tasks.submit([this, engine, finish] {
            pollEngine(engine.target, engine.address);
            finish();
        });
        if (!queued)
            finish();
    }
}

void target_poller::pollEngine(const target_id& target, const std::string& address)
{
    const auto state = m_engines.readState(address, m_timeout);
    if (!state && state.error().kind == error_kind::LimitExceeded)
        return;
    if (state)
        m_targets.recordEngineState(target, state.value());
    else
        m_targets.recordUnreachable(target);
    recordReachable(target, state.has_value());
}

void target_poller::pollInstances()
{
    const auto instances = m_instances.instances(m_timeout);
    m_metrics.add(counter_metric::PlatformOperations,
        { { "operation", "instances" }, { "outcome", instances ? "ok" : "failed" } });
    if (!instances)
        return;
    std::vector<std::string> leaving;
    for (const auto& instance : instances.value()) {
        if (instance.state == instance_state::Leaving)
            leaving.push_back(instance.address);
    }
    m_targets.setLeavingAddresses(leaving);
}

void target_poller::recordReachable(const target_id& target, bool reachable)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto [found, inserted] = m_reachable.try_emplace(target, reachable);
        if (!inserted && found->second == reachable)
            return;
        found->second = reachable;
    }
    m_metrics.add(
        counter_metric::StateChanges, { { "part", "target" }, { "to", reachable ? "reachable" : "unreachable" } });
    logInfo("target",
        { { "target", target.text() }, { "fleet", target.fleet().value() },
            { "to", reachable ? "reachable" : "unreachable" } });
}

} // namespace oriolepick
