#include "gateway/run_handover.h"

#include "core/rendezvous.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Nodes that know of a run beside its own: both would have to be lost together with that one.
    constexpr std::size_t Keepers = 2;
    /// Nodes that are asked: the keepers, and the run's own node where it is among the first.
    constexpr std::size_t Asked = Keepers + 1;
    /// Several round trips between zones. Without an answer the prompt is read anew, which takes longer.
    constexpr std::chrono::milliseconds Patience { 30 };
    constexpr std::size_t MaxQuestions = 4'096; ///< far above the callers that return at once; bounds memory

} // namespace

run_handover::run_handover(
    const node_id& self, sender send, timer_queue& timers, decision_log& log, gateway_metrics& metrics)
    : m_self(self)
    , m_send(std::move(send))
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_nodes { self }
    , m_records(run_directory_settings {})
{
}

run_handover::~run_handover()
{
    for (auto& [number, question] : m_questions)
        m_timers.cancel(question.timer);
}

void run_handover::setNodes(std::vector<node_id> nodes)
{
    m_nodes = std::move(nodes);
    m_nodes.push_back(m_self);
}

std::vector<node_id> run_handover::keepersOf(const request_hash& requestHash, std::size_t count) const
{
    return responsibleNodes(requestHash.low, m_nodes, count);
}

void run_handover::publish(run_record record, std::function<void()> onTaken)
{
    record.origin = m_self;
    m_own[record.attempt] = std::move(onTaken);
    m_records.put(record, m_timers.now()); // callers may also return to this node
    auto keepers = keepersOf(record.requestHash, Asked);
    keepers.erase(std::remove(keepers.begin(), keepers.end(), m_self), keepers.end());
    keepers.resize(std::min(keepers.size(), Keepers));
    for (const auto& node : keepers)
        m_send(node, record);
}

void run_handover::withdraw(const std::string& attempt)
{
    m_own.erase(attempt);
}

void run_handover::find(const request_hash& requestHash, finder done)
{
    if (const auto known = m_records.find(requestHash, m_timers.now())) {
        done(known);
        return;
    }
    auto keepers = keepersOf(requestHash, Asked);
    keepers.erase(std::remove(keepers.begin(), keepers.end(), m_self), keepers.end());
    if (keepers.empty() || m_questions.size() >= MaxQuestions) {
        done(std::nullopt);
        return;
    }
    const auto number = ++m_lastQuestion;
    auto& asked = m_questions[number];
    asked.done = std::move(done);
    asked.unanswered = keepers.size();
    asked.timer = m_timers.at(m_timers.now() + Patience, [this, number] {
        m_metrics.count("run_questions_unanswered");
        finish(number, std::nullopt);
    });
    for (const auto& node : keepers)
        m_send(node, run_question { requestHash, number });
}

void run_handover::finish(std::uint64_t number, const std::optional<run_record>& record)
{
    auto question = m_questions.extract(number);
    if (!question)
        return;
    m_timers.cancel(question.mapped().timer);
    question.mapped().done(record);
}

void run_handover::take(const run_record& record)
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
    else if (const auto* asked = std::get_if<run_question>(&message))
        onQuestion(from, *asked);
    else if (const auto* answer = std::get_if<run_answer>(&message))
        onAnswer(*answer);
    else
        onTaken(std::get<run_taken>(message));
}

void run_handover::onQuestion(const node_id& from, const run_question& asked)
{
    m_send(from, run_answer { asked.number, m_records.find(asked.requestHash, m_timers.now()) });
}

void run_handover::onAnswer(const run_answer& answer)
{
    const auto asked = m_questions.find(answer.number);
    if (asked == m_questions.end())
        return;
    if (answer.record || !--asked->second.unanswered)
        finish(answer.number, answer.record);
}

void run_handover::onTaken(const run_taken& taken)
{
    auto run = m_own.extract(taken.attempt);
    if (run && run.mapped())
        run.mapped()();
}

} // namespace oriolepick
