#include "node/daemon.h"

#include "config/settings.h"
#include "core/fleet_state.h"
#include "node/authenticator.h"
#include "node/completions_endpoint.h"
#include "node/cursor_codec.h"
#include "node/http_edge.h"
#include "node/locked_admission.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/node_status.h"
#include "node/operator_endpoint.h"
#include "node/state_keeper.h"
#include "node/target_directory.h"
#include "node/target_poller.h"
#include "node/task_pool.h"
#include "node/ticket_poller.h"
#include "node/trace_store.h"
#include "platform/http_instance_list.h"
#include "platform/http_table_service.h"
#include "targets/http_engine_client.h"

#include <csignal>
#include <optional>
#include <random>
#include <thread>
#include <unistd.h>

namespace oriolepick {

namespace {

    constexpr std::size_t TaskThreads = 16;
    constexpr std::size_t TaskCapacity = 65536;
    constexpr std::size_t TracedRequests = 4096;
    constexpr std::chrono::milliseconds TargetPollPeriod { 1000 };
    constexpr std::chrono::milliseconds TargetPollTimeout { 500 };
    constexpr std::chrono::milliseconds DrainCheckPeriod { 50 };

    /// Unique to this process start: attempts and claims of an earlier process with the same name stay apart.
    std::string incarnationName(const std::string& nodeName)
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        return nodeName + "-" + std::to_string(milliseconds);
    }

    std::uint64_t processSeed()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32) | device();
    }

} // namespace

struct daemon::parts {
    explicit parts(const settings& configuration)
        : origin(incarnationName(configuration.nodeName))
        , table("http://" + configuration.platformAddress)
        , instances("http://" + configuration.platformAddress)
        , traces(TracedRequests)
        , targets(node_id(configuration.peersListen), configuration.zone, configuration.region,
              makePlacementStrategy("cost_based"), processSeed())
        , admission(retry_budget_settings {}, processSeed(), std::chrono::steady_clock::now())
        , tasks(TaskThreads, TaskCapacity)
        , callers(states, configuration.operatorTokenSha256)
        , cursors(configuration.cursorKeys)
        , completions(origin, states, callers, cursors, configuration.cursorLifetime,
              session_services { engines, targets, tasks, metrics, traces, admission })
        , operators(configuration, states, targets, traces, status, [] { kill(getpid(), SIGTERM); })
        , edge(configuration, edge_services { completions, operators, callers, metrics, status })
    {
        states.addListener([this](const auto& state) { targets.applyState(state); });
    }

    std::string origin;
    node_metrics metrics;
    node_status status;
    state_keeper states;
    http_table_service table;
    http_instance_list instances;
    http_engine_client engines;
    trace_store traces;
    target_directory targets;
    locked_admission admission;
    task_pool tasks;
    authenticator callers;
    cursor_codec cursors;
    completions_endpoint completions;
    operator_endpoint operators;
    http_edge edge;
    std::optional<ticket_poller> ticketPoller;
    std::optional<target_poller> targetPoller;
    std::thread server;
};

daemon::daemon(const settings& configuration)
    : m_settings(configuration)
    , m_parts(std::make_unique<parts>(configuration))
{
}

daemon::~daemon() = default;

result<void> daemon::start()
{
    const auto bound = m_parts->edge.bind();
    if (!bound)
        return bound.error();
    m_parts->ticketPoller.emplace(m_parts->table, m_parts->states, m_parts->status, m_parts->metrics,
        m_settings.ticketPollInterval, m_settings.platformTimeout);
    m_parts->targetPoller.emplace(m_parts->engines, m_parts->instances, m_parts->targets, m_parts->tasks,
        m_parts->metrics, TargetPollPeriod, TargetPollTimeout);
    m_parts->server = std::thread([this] { m_parts->edge.serve(); });
    logInfo("node", { { "to", "serving" }, { "name", m_settings.nodeName }, { "listen", m_settings.callersListen } });
    return success();
}

bool daemon::drainAndStop()
{
    auto& status = m_parts->status;
    status.draining = true;
    logInfo("node", { { "to", "draining" }, { "open", std::to_string(status.openRequests.load()) } });
    const auto limit = std::chrono::steady_clock::now() + m_settings.drainTimeout;
    while (status.openRequests > 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(DrainCheckPeriod);
    const bool finished = status.openRequests == 0;
    m_parts->edge.stop();
    m_parts->server.join();
    m_parts->targetPoller.reset();
    m_parts->ticketPoller.reset();
    logInfo("node", { { "to", "stopped" }, { "finished", finished ? "all" : "not all" } });
    return finished;
}

} // namespace oriolepick
