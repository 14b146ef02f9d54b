#include "gateway/absence_detector.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <memory>

namespace oriolepick {

namespace {

    /// Longer than the time limit of a poll, and short against the back-off.
    constexpr std::chrono::milliseconds CorroborationWindow { 100 };
    /// Time limit of the probes that confirm a silence; they end within the window.
    constexpr std::chrono::milliseconds ConfirmationTimeout { 80 };

} // namespace

absence_detector::absence_detector(
    target_tracker& targetTracker, probe_sender probe, timer_queue& timers, decision_log& log, gateway_metrics& metrics)
    : m_targetTracker(targetTracker)
    , m_probe(std::move(probe))
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_evidence(CorroborationWindow)
{
}

absence_detector::~absence_detector()
{
    m_timers.cancel(m_timer);
}

void absence_detector::recordResponse(const target_name& target, instant sentAt)
{
    m_evidence.recordResponse(target, sentAt, m_timers.now());
    m_undecided.erase(target);
    if (!m_undecided.empty())
        decide();
}

void absence_detector::recordSilence(const silent_probe_report& silence, decision done)
{
    const auto& target = silence.target;
    const auto [undecided, isFirst] = m_undecided.try_emplace(target.name, undecided_silence { silence, {} });
    if (done)
        undecided->second.owners.push_back(std::move(done));
    if (!isFirst) {
        undecided->second.report.recordsFault |= silence.recordsFault;
        return;
    }
    m_evidence.recordSilence({ target.name, target.zone, silence.sentAt, silence.due }, m_timers.now());
    decide();
    if (m_undecided.count(target.name))
        confirm(target);
}

// Probes the target again, together with one of another zone. Streams that began at different times become silent at
// different times, so that without these probes, the first one would be judged alone.
void absence_detector::confirm(const target_entry& silent)
{
    target_query query { silent.service, std::nullopt, {}, silent.zone };
    for (const auto& [name, undecided] : m_undecided)
        query.excluded.push_back(name);
    if (m_lastSilentWitness)
        query.excluded.push_back(*m_lastSilentWitness);
    const auto witness = m_targetTracker.choose(query, m_timers.now());
    if (!witness || witness->zone == silent.zone)
        return;
    m_metrics.count("absence_confirmations");
    m_evidence.beginConfirmation(silent.name);
    struct confirmation {
        int pending = 2;
        bool complete = true;
    };
    const auto state = std::make_shared<confirmation>();
    for (const auto& target : { silent, *witness }) {
        m_probe(target, ConfirmationTimeout, [this, silent = silent.name, target, state](const auto& answer) {
            if (answer.isSilent()) {
                m_evidence.recordSilence({ target.name, target.zone, answer.sentAt, answer.due }, m_timers.now());
                if (target.name != silent)
                    m_lastSilentWitness = target.name;
            }
            state->complete = state->complete && !answer.failedHere();
            if (--state->pending)
                return;
            m_evidence.endConfirmation(silent, state->complete);
            decide();
        });
    }
}

void absence_detector::decide()
{
    for (const auto& finding : m_evidence.takeFindings(m_timers.now())) {
        if (const auto silence = m_undecided.extract(finding.target))
            apply(silence.mapped(), finding.absent);
    }
    m_timers.cancel(m_timer);
    const auto due = m_evidence.nextDue();
    if (m_undecided.empty() || due == instant::max())
        return;
    m_timer = m_timers.at(due, [this] {
        m_timer = 0;
        decide();
    });
}

void absence_detector::apply(const undecided_silence& silence, bool absent)
{
    recordFinding(silence.report, absent);
    for (const auto& done : silence.owners)
        done(absent);
}

void absence_detector::recordFinding(const silent_probe_report& silence, bool absent)
{
    const auto* current = m_targetTracker.find(silence.target.name);
    if (!current || current->startedAt != silence.target.startedAt)
        return; // the target was registered anew
    m_metrics.count(absent ? "targets_absent" : "target_absences_unproven");
    m_log.write(absent ? "target_absent" : "target_absence_unproven",
        { { "attempt", silence.attempt }, { "target", silence.target.name.value() }, { "why", silence.problem },
            { "node_delay_ms", std::to_string(m_timers.delay().count()) } });
    if (absent && silence.recordsFault)
        m_targetTracker.recordFault(silence.target.name, target_fault::Unreachable, m_timers.now());
}

} // namespace oriolepick
