#include "node/daemon.h"

#include "config/settings.h"
#include "core/fleet_state.h"
#include "core/memory_budget.h"
#include "node/active_calls.h"
#include "node/authenticator.h"
#include "node/call_driver.h"
#include "node/completions_endpoint.h"
#include "node/control_loop.h"
#include "node/control_view.h"
#include "node/crash_guard.h"
#include "node/cursor_codec.h"
#include "node/generation_gate.h"
#include "node/http_edge.h"
#include "node/limited_engine_client.h"
#include "node/limited_service_client.h"
#include "node/limits_driver.h"
#include "node/locked_admission.h"
#include "node/membership_driver.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/node_status.h"
#include "node/operator_endpoint.h"
#include "node/order_driver.h"
#include "node/peer_hub.h"
#include "node/service_endpoint.h"
#include "node/state_keeper.h"
#include "node/target_directory.h"
#include "node/target_limits.h"
#include "node/target_poller.h"
#include "node/task_pool.h"
#include "node/ticket_driver.h"
#include "node/trace_store.h"
#include "ports/http_instance_list.h"
#include "ports/http_object_store.h"
#include "ports/http_table_service.h"
#include "ports/ticket_store.h"
#include "targets/http_engine_client.h"
#include "targets/http_service_client.h"
#include "transport/zmq_peer_transport.h"

#include <csignal>
#include <optional>
#include <random>
#include <thread>
#include <unistd.h>
#include <zmq.hpp>

namespace oriolepick {

namespace {

    constexpr std::size_t TaskThreads = 16;
    constexpr std::size_t TaskCapacity = 65536;
    constexpr std::size_t TracedRequests = 4096;
    constexpr std::size_t SmallResponseBytes = 16'384; ///< responses up to this size never lack memory
    constexpr std::chrono::milliseconds TargetPollPeriod { 1000 };
    constexpr std::chrono::milliseconds TargetPollTimeout { 500 };
    constexpr std::chrono::milliseconds DrainCheckPeriod { 50 };
    constexpr std::chrono::milliseconds MaxAnswerTime { 500 }; ///< of a planned stop, for the answers to ended work
    constexpr std::chrono::milliseconds ControlViewPeriod { 1000 };

    /// Higher at each start of a process with the same name, so that attempts, claims and membership of an earlier
    /// process
    /// stay apart.
    std::uint64_t processIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    std::vector<node_id> seedNodes(const settings& configuration)
    {
        std::vector<node_id> seeds;
        for (const auto& address : configuration.peersSeeds) {
            if (address != configuration.peersListen)
                seeds.emplace_back(address);
        }
        return seeds;
    }

    ticket_distributor_settings distributionSettings(const settings& configuration)
    {
        ticket_distributor_settings distribution;
        distribution.minPollInterval = configuration.ticketPollInterval;
        return distribution;
    }

    std::uint64_t processSeed()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32) | device();
    }

} // namespace

struct daemon::parts {
    explicit parts(const settings& configuration)
        : incarnation(processIncarnation())
        , origin(configuration.nodeName + "-" + std::to_string(incarnation))
        , table("http://" + configuration.platformAddress)
        , objects("http://" + configuration.platformAddress)
        , instances("http://" + configuration.platformAddress)
        , traces(TracedRequests)
        , targets(node_id(configuration.peersListen), configuration.zone, configuration.region,
              makePlacementStrategy("cost_based"), processSeed())
        , admission(retry_budget_settings {}, processSeed(), std::chrono::steady_clock::now())
        , tasks(TaskThreads, TaskCapacity)
        , callers(states, configuration.operatorTokenSha256)
        , cursors(configuration.cursorKeys)
        , transport(configuration.peersListen)
        , peers(node_id(configuration.peersListen), incarnation, transport, loop, states, metrics)
        , targetLimits(peers, loop, metrics)
        , responseMemory(static_cast<std::size_t>(configuration.responseMemoryBytes), SmallResponseBytes)
        , engineAdapter(responseMemory, {},
              [this](const auto& address, const auto& headers) { targetLimits.recordResponse(address, headers); })
        , serviceAdapter(responseMemory)
        , engines(engineAdapter, targetLimits)
        , serviceClient(serviceAdapter, targetLimits)
        , crashes(origin, table, engines, serviceClient, targets, peers, loop, metrics, configuration.platformTimeout)
        , operators(configuration,
              operator_sources { states, targets, traces, control, [this] { return crashes.counts(); } }, status,
              [] { kill(getpid(), SIGTERM); })
        , gate(targets, status, metrics, static_cast<std::size_t>(configuration.queueCapacity),
              configuration.queueTimeout, processSeed())
        , completions(origin, states, callers, cursors, configuration.cursorLifetime,
              session_services { engines, targets, tasks, metrics, traces, admission, crashes, status }, limits, gate)
        , tickets(table, objects, configuration.platformTimeout)
        , members(
              configuration.zone, configuration.region, seedNodes(configuration), processSeed(), peers, loop, metrics)
        , ticketDriver(
              tickets, states, status, peers, loop, tasks, metrics, distributionSettings(configuration), processSeed())
        , limitsDriver(limits, peers, loop)
        , orders(node_id(configuration.peersListen), origin, table, engines, targets, states, loop, tasks, metrics,
              configuration.platformTimeout)
        , calls(table, serviceClient, targets, crashes, targetLimits, active, peers, loop, metrics,
              configuration.platformTimeout, processSeed())
        , services(origin, states, callers, calls, serviceClient, targets, crashes, targetLimits, active, limits,
              admission, metrics, traces)
        , edge(configuration, edge_services { completions, services, operators, callers, metrics, status })
    {
        states.addListener([this](const auto& state) {
            targets.applyState(state);
            limitsDriver.applyState(state, std::chrono::steady_clock::now());
            calls.applyState(state);
            if (targetPoller)
                targetPoller->wake();
        });
        members.addListener([this](const auto& usable, instant now) {
            ticketDriver.setPeers(usable);
            limitsDriver.setNodes(usable, now);
            targetLimits.setNodes(usable, members.possiblyActiveNodes(), now);
            calls.setNodes(usable, now);
            crashes.setNodes(usable);
            orders.setNodes(usable);
            gate.setNodeCount(usable.size());
        });
        loop.every(ControlViewPeriod, [this](instant now) {
            control_snapshot snapshot { {}, orders.heldGroups(now) };
            for (const auto& [node, known] : members.members())
                snapshot.members.push_back(known.update);
            control.publish(std::move(snapshot));
        });
    }

    std::uint64_t incarnation;
    std::string origin;
    node_metrics metrics;
    node_status status;
    state_keeper states;
    http_table_service table;
    http_object_store objects;
    http_instance_list instances;
    trace_store traces;
    target_directory targets;
    locked_admission admission;
    task_pool tasks;
    authenticator callers;
    cursor_codec cursors;
    zmq_peer_transport transport;
    control_loop loop;
    peer_hub peers;
    target_limits targetLimits;
    memory_budget responseMemory;
    http_engine_client engineAdapter;
    http_service_client serviceAdapter;
    limited_engine_client engines;
    limited_service_client serviceClient;
    crash_guard crashes;
    control_view control;
    operator_endpoint operators;
    team_limits limits;
    generation_gate gate;
    completions_endpoint completions;
    ticket_store tickets;
    membership_driver members;
    ticket_driver ticketDriver;
    limits_driver limitsDriver;
    order_driver orders;
    active_calls active;
    call_driver calls;
    service_endpoint services;
    http_edge edge;
    std::optional<target_poller> targetPoller;
    std::thread server;
};

daemon::daemon(const settings& configuration)
    : m_settings(configuration)
    , m_parts(std::make_unique<parts>(configuration))
{
}

daemon::~daemon() = default;

result<std::unique_ptr<daemon>> daemon::create(const settings& configuration)
{
    try {
        return std::unique_ptr<daemon>(new daemon(configuration));
    } catch (const zmq::error_t& problem) {
        return error { error_kind::Internal,
            "peers.listen: cannot bind " + configuration.peersListen + ": " + problem.what(), {} };
    }
}

result<void> daemon::start()
{
    const auto bound = m_parts->edge.bind();
    if (!bound)
        return bound.error();
    m_parts->targetPoller.emplace(m_parts->engines, m_parts->instances, m_parts->targets, m_parts->targetLimits,
        m_parts->tasks, m_parts->metrics, TargetPollPeriod, TargetPollTimeout);
    m_parts->loop.start();
    m_parts->peers.start();
    m_parts->server = std::thread([this] { m_parts->edge.serve(); });
    logInfo("node", { { "to", "serving" }, { "name", m_settings.nodeName }, { "listen", m_settings.callersListen } });
    return success();
}

bool daemon::waitForRequests(instant limit) const
{
    while (m_parts->status.openRequests > 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(DrainCheckPeriod);
    return std::chrono::steady_clock::now() < limit;
}

bool daemon::drainAndStop()
{
    auto& status = m_parts->status;
    status.draining = true;
    logInfo("node", { { "to", "draining" }, { "open", std::to_string(status.openRequests.load()) } });
    m_parts->loop.post([this](instant now) {
        m_parts->orders.stop();
        m_parts->members.leave(now);
        m_parts->targetLimits.leave(now);
    });
    const auto limit = std::chrono::steady_clock::now() + m_settings.drainTimeout;
    const auto workEnd = limit - std::min(MaxAnswerTime, m_settings.drainTimeout / 4);
    status.workEndsAt = workEnd;
    const bool finished = waitForRequests(workEnd);
    if (!finished) {
        const auto abortedCalls = m_parts->active.abortAll();
        logWarning("work ended by the planned stop",
            { { "open", std::to_string(status.openRequests.load()) },
                { "drain_timeout_ms", std::to_string(m_settings.drainTimeout.count()) },
                { "calls", std::to_string(abortedCalls) } });
        m_parts->loop.post([this](instant) { m_parts->calls.endUnsent(); });
        waitForRequests(limit);
    }
    m_parts->edge.stop();
    m_parts->server.join();
    m_parts->targetPoller.reset();
    // Tasks refer to parts that are destroyed before the pool.
    m_parts->tasks.stop();
    m_parts->calls.stop();
    m_parts->transport.stop();
    m_parts->loop.stop();
    logInfo("node", { { "to", "stopped" }, { "finished", finished ? "all" : "not all" } });
    return finished;
}

} // namespace oriolepick
