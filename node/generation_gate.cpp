#include "node/generation_gate.h"

#include "node/gate_pass.h"
#include "node/node_metrics.h"
#include "node/node_status.h"
#include "node/target_directory.h"

#include <algorithm>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds PumpPeriod { 50 }; // limits also grow without events

} // namespace

gate_pass::gate_pass(generation_gate& gate, deployment_id deployment)
    : m_gate(gate)
    , m_deployment(std::move(deployment))
{
}

gate_pass::~gate_pass()
{
    m_gate.leave(m_deployment);
}

void gate_pass::recordFirstToken(std::chrono::milliseconds latency)
{
    m_gate.recordLatency(m_deployment, latency);
}

generation_gate::generation_gate(const target_directory& targets, const node_status& status, node_metrics& metrics,
    std::size_t queueCapacity, std::chrono::milliseconds maxWait, std::uint64_t seed)
    : m_targets(targets)
    , m_status(status)
    , m_metrics(metrics)
    , m_longestWait(maxWait)
    , m_random(seed)
{
    m_settings.capacity = queueCapacity;
    m_settings.maxWait = maxWait;
}

generation_gate::~generation_gate() = default;

void generation_gate::setNodeCount(std::size_t nodes)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_nodes = std::max<std::size_t>(1, nodes);
}

generation_gate::lane& generation_gate::laneOf(const gate_request& request)
{
    auto& entry = m_lanes[request.deployment];
    if (!entry)
        entry = std::make_unique<lane>(m_settings, seeded_random(m_random.next()));
    const auto room = m_targets.capacityOf(request.targets);
    // The nodes share the places; rounding up keeps a node able to serve when there are more nodes than places.
    const auto places = (room.places + m_nodes - 1) / m_nodes;
    entry->limit.setCapacity(static_cast<std::uint32_t>(room.targets), static_cast<std::uint32_t>(places));
    return *entry;
}

result<std::unique_ptr<gate_pass>> generation_gate::enter(const gate_request& request)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    auto& entry = laneOf(request);
    if (request.resumed) {
        entry.limit.recordDispatch();
        return std::make_unique<gate_pass>(*this, request.deployment);
    }
    const auto admitted = waitInQueue(lock, entry, request);
    if (!admitted)
        return admitted.error();
    return std::make_unique<gate_pass>(*this, request.deployment);
}

result<void> generation_gate::waitInQueue(std::unique_lock<std::mutex>& lock, lane& entry, const gate_request& request)
{
    auto now = std::chrono::steady_clock::now();
    const auto deadline = std::min(request.deadline.value_or(instant::max()), now + m_longestWait);
    const auto offered = entry.queue.offer({ request.key, request.priority, request.cost, deadline }, now);
    waiter self;
    if (offered.number)
        entry.waiting[offered.number] = &self;
    for (const auto& refusal : offered.refused) {
        if (!refusal.number)
            self.refusal = refusal;
    }
    refuse(entry, offered.refused);
    ++m_queued;
    while (!self.admitted && !self.refusal) {
        if (now >= m_status.workEndsAt.load()) {
            entry.queue.cancel(offered.number);
            entry.waiting.erase(offered.number);
            self.refusal = queue_refusal {};
            self.refusal->kind = error_kind::NodeDraining;
            self.refusal->retryAfter = m_settings.minRetryAfter;
            break;
        }
        pump(entry, now);
        if (self.admitted || self.refusal)
            break;
        m_metrics.set(gauge_metric::QueuedRequests, {}, static_cast<double>(m_queued));
        m_changed.wait_for(lock, PumpPeriod);
        now = std::chrono::steady_clock::now();
    }
    --m_queued;
    m_metrics.set(gauge_metric::QueuedRequests, {}, static_cast<double>(m_queued));
    m_changed.notify_all();
    if (self.admitted)
        return success();
    return error { self.refusal->kind, "the deployment " + request.deployment.text() + " is busy",
        self.refusal->retryAfter };
}

void generation_gate::refuse(lane& entry, const std::vector<queue_refusal>& refusals)
{
    for (const auto& refusal : refusals) {
        const auto found = entry.waiting.find(refusal.number);
        if (found == entry.waiting.end())
            continue;
        found->second->refusal = refusal;
        entry.waiting.erase(found);
    }
}

void generation_gate::pump(lane& entry, instant now)
{
    entry.limit.update(now);
    refuse(entry, entry.queue.expire(now));
    while (entry.limit.admits(request_priority::Urgent)) {
        auto lowest = request_priority::Urgent;
        if (entry.limit.admits(request_priority::Bulk))
            lowest = request_priority::Bulk;
        else if (entry.limit.admits(request_priority::Normal))
            lowest = request_priority::Normal;
        const auto taken = entry.queue.take(now, lowest);
        refuse(entry, taken.refused);
        if (!taken.request)
            return;
        const auto found = entry.waiting.find(taken.number);
        entry.limit.recordDispatch();
        found->second->admitted = true;
        entry.waiting.erase(found);
    }
}

void generation_gate::recordLatency(const deployment_id& deployment, std::chrono::milliseconds latency)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_lanes.at(deployment)->limit.recordLatency(latency, std::chrono::steady_clock::now());
}

void generation_gate::leave(const deployment_id& deployment)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_lanes.at(deployment)->limit.recordFinished();
    m_changed.notify_all();
}

} // namespace oriolepick
