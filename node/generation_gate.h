/// \file
/// Admission of generations on this node: a queue and an adaptive concurrency limit for each deployment. The request
/// threads wait here until they are admitted or refused.
#pragma once

#include "core/concurrency_limit.h"
#include "core/error.h"
#include "core/request_queue.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace oriolepick {

class gate_pass;
class node_metrics;
class target_directory;
struct node_status;

/// A generation that asks for admission.
struct gate_request {
    deployment_id deployment;
    std::vector<target_id> targets;
    request_key key;
    request_priority priority = request_priority::Normal;
    std::uint32_t cost = 1; ///< expected tokens
    std::optional<instant> deadline;
    bool resumed = false; ///< a stream that was admitted before: it is not queued again
};

/// Thread-safe.
class generation_gate {
public:
    /// \param maxWait of any request in the queue
    generation_gate(const target_directory& targets, const node_status& status, node_metrics& metrics,
        std::size_t queueCapacity, std::chrono::milliseconds maxWait, std::uint64_t seed);
    ~generation_gate();

    /// Takes the number of nodes that share the targets.
    void setNodeCount(std::size_t nodes);

    /// Waits for admission.
    /// \return the pass to hold while the generation runs, or Overloaded, QueueTimeout or NodeDraining
    result<std::unique_ptr<gate_pass>> enter(const gate_request& request);

private:
    friend class gate_pass;

    struct waiter {
        std::optional<queue_refusal> refusal;
        bool admitted = false;
    };
    struct lane {
        explicit lane(const request_queue_settings& settings, seeded_random random)
            : queue(settings, random)
        {
        }
        request_queue queue;
        concurrency_limit limit;
        std::map<queue_number, waiter*> waiting;
    };

    lane& laneOf(const gate_request& request);
    void pump(lane& entry, instant now);
    static void refuse(lane& entry, const std::vector<queue_refusal>& refusals);
    result<void> waitInQueue(std::unique_lock<std::mutex>& lock, lane& entry, const gate_request& request);
    void recordLatency(const deployment_id& deployment, std::chrono::milliseconds latency);
    void leave(const deployment_id& deployment);

    const target_directory& m_targets;
    const node_status& m_status;
    node_metrics& m_metrics;
    request_queue_settings m_settings;
    std::chrono::milliseconds m_longestWait;
    seeded_random m_random;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_nodes = 1;
    std::size_t m_queued = 0;
    std::map<deployment_id, std::unique_ptr<lane>> m_lanes;
};

} // namespace oriolepick
