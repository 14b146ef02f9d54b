/// \file
/// All metrics of the node, in base units with bounded label sets. One table per metric type lists name, help and
/// buckets; buckets stand around the service-level objectives (0.78 s, 79 ms, 3 s).
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Histogram;
class Registry;
}

namespace oriolepick {

enum class counter_metric {
    Requests, ///< fleet, code ("ok" for a whole answer)
    Responses, ///< fleet, deployment, priority, result (whole, failed, refused, handed_over, caller_gone)
    Refusals, ///< fleet, code, run
    FalseRefusals, ///< fleet: a "not run" answer after a token was delivered, must stay 0
    TeamRequests, ///< team, code
    TokensDelivered, ///< fleet, deployment, priority
    TokensExtra, ///< fleet, deployment, kind (output, prefill)
    GenerationEvents, ///< fleet, event
    BadInput, ///< entrance
    Calls, ///< fleet, service, outcome
    RepeatedCalls, ///< fleet, service: a claim was found to have been dispatched twice, must stay 0
    TargetLimits, ///< event
    StateChanges, ///< part, to
    PeerMessages, ///< direction
    PeerBytes, ///< direction
    PlatformOperations, ///< operation, outcome
    Count
};

enum class histogram_metric {
    FirstToken, ///< fleet, deployment, priority; seconds
    InterToken, ///< fleet, deployment, priority; seconds
    Resume, ///< fleet, deployment, priority; seconds
    CallTime, ///< fleet, service; seconds
    Count
};

enum class gauge_metric {
    OpenStreams, ///< none
    QueuedRequests, ///< none
    TicketInForce, ///< none
    KnownPeers, ///< status
    Targets, ///< state
    Quarantined, ///< none
    Ready, ///< none
    ProcessMemory, ///< none; bytes
    ProcessCpu, ///< none; seconds
    ControlCpu, ///< none; seconds of the control loop's thread
    Count
};

/// Registry of the node's metrics. Thread-safe.
class node_metrics {
public:
    using labels = std::map<std::string, std::string>;

    node_metrics();
    ~node_metrics();
    node_metrics(const node_metrics&) = delete;
    node_metrics& operator=(const node_metrics&) = delete;

    void add(counter_metric metric, const labels& at, double amount = 1);
    void set(gauge_metric metric, const labels& at, double value);
    void observe(histogram_metric metric, const labels& at, std::chrono::duration<double> value);

    /// \return a handle for frequent use; valid as long as this object
    prometheus::Counter& counter(counter_metric metric, const labels& at);
    prometheus::Histogram& histogram(histogram_metric metric, const labels& at);

    /// \return the metrics in the Prometheus text format
    std::string serialize() const;

private:
    struct families;
    std::shared_ptr<prometheus::Registry> m_registry;
    std::unique_ptr<families> m_families;
};

} // namespace oriolepick
