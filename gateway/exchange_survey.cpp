/// \file
/// Choice of an engine for a generation: the holder of its copy, or the best of a few that are asked for their load.
#include "gateway/exchange.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_settings.h"
#include "gateway/replacement_finder.h"
#include "routing/route_table.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Engines asked before a generation: three random ones are rarely all busy, each further one adds little.
    constexpr std::size_t SurveyedEngines = 3;
    /// A live engine answers within a round trip; a lost packet is not worth waiting for.
    constexpr std::chrono::milliseconds SurveyPatience { 60 };
    /// Age of what engines report.
    constexpr std::chrono::milliseconds ReportLag { 300 };

} // namespace

bool exchange::hasUsableCopy() const
{
    return m_copy && m_copyHolder && m_parts.board.mayGoOnAt(*m_copyHolder);
}

// A holder that crashed meanwhile would refuse the request: that is known sooner and costs no repeat when it is asked.
void exchange::askCopyHolder(const target_entry& holder)
{
    m_parts.prober.ask(holder, SurveyPatience, [self = weak_from_this(), holder](const target_prober::answer& answer) {
        const auto exchange = self.lock();
        if (!exchange || exchange->m_over)
            return;
        if (answer.alive) {
            exchange->send(holder);
            return;
        }
        exchange->m_parts.board.recordFault(holder.name,
            answer.replaced ? target_fault::Misaddressed : target_fault::Unreachable, exchange->m_parts.timers.now());
        exchange->m_copy.reset();
        exchange->dispatch();
    });
}

// Asks a few engines for their load: other nodes send to them too, and prompts read side by side delay each other.
// The zone of this node is not preferred: after the loss of a zone all its nodes would choose the one engine left
// there.
bool exchange::survey()
{
    const auto* rules = m_table->rulesOf(m_service);
    if (!rules || !rules->engine)
        return false;
    const target_wish wish { m_service, std::nullopt, m_tried, m_lostZone };
    const auto now = m_parts.timers.now();
    m_survey.clear();
    for (auto& target : m_parts.board.candidates(wish, SurveyedEngines, now)) {
        const auto unreported = m_parts.board.startedSince(target.name, now - ReportLag);
        m_survey.push_back({ std::move(target), false, std::nullopt, unreported });
    }
    if (m_survey.size() < 2)
        return false;
    m_surveyPending = m_survey.size();
    for (std::size_t index = 0; index < m_survey.size(); ++index) {
        m_parts.prober.ask(m_survey[index].target, SurveyPatience,
            [self = weak_from_this(), index](const target_prober::answer& answer) {
                if (const auto exchange = self.lock())
                    exchange->onSurveyAnswer(index, answer);
            });
    }
    return true;
}

void exchange::onSurveyAnswer(std::size_t index, const target_prober::answer& answer)
{
    if (m_over)
        return;
    auto& engine = m_survey[index];
    engine.report = answer.report;
    engine.alive = answer.alive;
    const auto now = m_parts.timers.now();
    if (answer.replaced || !answer.alive)
        m_parts.log.write("target_failed_survey",
            { { "attempt", m_caller.attempt }, { "target", engine.target.name.value() },
                { "why", answer.replaced ? "replaced" : "no answer" } });
    if (answer.replaced) {
        m_parts.board.recordFault(engine.target.name, target_fault::Misaddressed, now);
        m_parts.targetsOutdated();
        if (answer.report)
            m_parts.replacements.find(engine.target, answer.report->startedAt);
    } else if (!answer.alive) {
        m_parts.board.recordFault(engine.target.name, target_fault::Unreachable, now);
    }
    if (!--m_surveyPending)
        onSurveyed();
}

void exchange::onSurveyed()
{
    // The survey took a moment: targets may have left, begun to drain or turned out to be others.
    const auto unusable = [this](const surveyed_engine& engine) {
        const auto* target = m_parts.board.find(engine.target.name);
        return !engine.alive || !target || target->draining || m_parts.board.isReplaced(engine.target.name);
    };
    for (const auto& engine : m_survey) {
        if (unusable(engine))
            m_tried.push_back(engine.target.name);
    }
    m_survey.erase(std::remove_if(m_survey.begin(), m_survey.end(), unusable), m_survey.end());
    const auto chosen = chooseSurveyed(m_survey, m_caller.promptTokens + m_caller.maxOutputTokens, survey_settings {});
    if (chosen)
        send(target_entry(m_survey[*chosen].target));
    else
        dispatch();
}

} // namespace oriolepick
