#include "gateway/run_handover.h"

#include "core/rendezvous.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Nodes that store the record of a run beside its own node. A record is lost only if all three nodes fail
    /// together.
    constexpr std::size_t ReplicaCount = 2;
    /// Nodes that are queried: the replicas, and the own node of the run if it is among the first in rendezvous order.
    constexpr std::size_t QueriedNodeCount = ReplicaCount + 1;
    /// Several round trips between zones. Without a result the prompt is prefilled again, which takes longer than this.
    constexpr std::chrono::milliseconds QueryTimeout { 30 };
    /// Bounds memory; far above the number of callers that reconnect at once.
    constexpr std::size_t MaxPendingQueries = 4'096;

} // namespace

run_handover::run_handover(const node_id& self, send_function send, std::function<bool()> isInputPending,
    timer_queue& timers, decision_log& log, gateway_metrics& metrics)
    : m_self(self)
    , m_send(std::move(send))
    , m_isInputPending(std::move(isInputPending))
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_nodes { self }
    , m_records(run_directory_settings {})
{
}

run_handover::~run_handover()
{
    for (auto& [number, pending] : m_pendingQueries)
        m_timers.cancel(pending.timer);
}

void run_handover::setNodes(std::vector<node_id> nodes)
{
    m_nodes = std::move(nodes);
    m_nodes.push_back(m_self);
}

std::vector<node_id> run_handover::responsibleNodesFor(const request_hash& requestHash, std::size_t count) const
{
    return responsibleNodes(requestHash.low, m_nodes, count);
}

void run_handover::publish(run_record record, std::function<void()> onTaken)
{
    record.origin = m_self;
    m_ownRuns[record.attempt] = std::move(onTaken);
    m_records.put(record, m_timers.now()); // callers may also reconnect to this node
    auto responsible = responsibleNodesFor(record.requestHash, QueriedNodeCount);
    responsible.erase(std::remove(responsible.begin(), responsible.end(), m_self), responsible.end());
    responsible.resize(std::min(responsible.size(), ReplicaCount));
    for (const auto& node : responsible)
        m_send(node, record);
}

void run_handover::withdraw(const std::string& attempt)
{
    m_ownRuns.erase(attempt);
}

void run_handover::find(const request_hash& requestHash, find_callback done)
{
    if (const auto known = m_records.find(requestHash, m_timers.now())) {
        done(known);
        return;
    }
    auto responsible = responsibleNodesFor(requestHash, QueriedNodeCount);
    responsible.erase(std::remove(responsible.begin(), responsible.end(), m_self), responsible.end());
    if (responsible.empty() || m_pendingQueries.size() >= MaxPendingQueries) {
        done(std::nullopt);
        return;
    }
    const auto number = ++m_lastQueryNumber;
    m_pendingQueries.emplace(
        number, pending_query { std::move(done), response_wait(QueryTimeout, m_timers.now()), responsible.size() });
    armQueryTimer(number);
    for (const auto& node : responsible)
        m_send(node, run_question { requestHash, number });
}

void run_handover::armQueryTimer(std::uint64_t number)
{
    auto& query = m_pendingQueries.at(number);
    query.timer = m_timers.at(query.wait.due(), [this, number] { onQueryTimer(number); });
}

void run_handover::onQueryTimer(std::uint64_t number)
{
    if (!m_pendingQueries.at(number).wait.isUnresponsive(m_timers.now(), m_isInputPending())) {
        armQueryTimer(number);
        return;
    }
    m_metrics.count("run_questions_unanswered");
    completeQuery(number, std::nullopt);
}

void run_handover::completeQuery(std::uint64_t number, const std::optional<run_record>& record)
{
    auto pending = m_pendingQueries.extract(number);
    if (!pending)
        return;
    m_timers.cancel(pending.mapped().timer);
    pending.mapped().done(record);
}

void run_handover::takeOver(const run_record& record)
{
    m_metrics.count("runs_taken_over");
    m_log.write("run_taken_over",
        { { "attempt", record.attempt }, { "from", record.origin.value() }, { "holder", record.holder.value() } });
    if (record.origin == m_self)
        onTaken({ record.attempt });
    else
        m_send(record.origin, run_taken { record.attempt });
}

void run_handover::receive(const node_id& from, const run_message& message)
{
    if (const auto* record = std::get_if<run_record>(&message))
        m_records.put(*record, m_timers.now());
    else if (const auto* query = std::get_if<run_question>(&message))
        onRunQuery(from, *query);
    else if (const auto* answer = std::get_if<run_answer>(&message))
        onRunQueryResult(*answer);
    else
        onTaken(std::get<run_taken>(message));
}

void run_handover::onRunQuery(const node_id& from, const run_question& query)
{
    m_send(from, run_answer { query.number, m_records.find(query.requestHash, m_timers.now()) });
}

void run_handover::onRunQueryResult(const run_answer& answer)
{
    const auto query = m_pendingQueries.find(answer.number);
    if (query == m_pendingQueries.end())
        return;
    if (answer.record || !--query->second.pendingResponses)
        completeQuery(answer.number, answer.record);
}

void run_handover::onTaken(const run_taken& taken)
{
    auto run = m_ownRuns.extract(taken.attempt);
    if (run && run.mapped())
        run.mapped()();
}

} // namespace oriolepick
