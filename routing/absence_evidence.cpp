#include "routing/absence_evidence.h"

#include <algorithm>

namespace oriolepick {

absence_evidence::absence_evidence(std::chrono::milliseconds window)
    : m_window(window)
{
}

bool absence_evidence::corroborates(const response& response, const silent_probe& probe)
{
    return response.target != probe.target && response.receivedAt >= probe.sentAt && response.sentAt <= probe.due
        && response.receivedAt - response.sentAt <= probe.due - probe.sentAt;
}

void absence_evidence::recordResponse(const target_name& target, instant sentAt, instant now)
{
    if (m_lastResponse && m_lastResponse->target != target)
        m_lastResponseOfOther = m_lastResponse;
    m_lastResponse = response { target, sentAt, now };
    const auto isRefuted
        = [&target](const silence& silence) { return !silence.decided && silence.probe.target == target; };
    m_silences.erase(std::remove_if(m_silences.begin(), m_silences.end(), isRefuted), m_silences.end());
    for (auto& silence : m_silences)
        silence.corroborated = silence.corroborated || corroborates(*m_lastResponse, silence.probe);
}

bool absence_evidence::isCorroborated(const silent_probe& probe) const
{
    return (m_lastResponse && corroborates(*m_lastResponse, probe))
        || (m_lastResponseOfOther && corroborates(*m_lastResponseOfOther, probe));
}

void absence_evidence::recordSilence(const silent_probe& probe, instant now)
{
    const auto known = std::find_if(m_silences.begin(), m_silences.end(),
        [&probe](const silence& silence) { return silence.probe.target == probe.target; });
    if (known != m_silences.end() && !known->decided) {
        if (known->confirmation == confirmation_state::UnderWay && probe.sentAt > known->probe.sentAt) {
            known->probe = probe;
            known->recordedAt = now;
        }
        known->corroborated = known->corroborated || isCorroborated(probe);
        return;
    }
    if (known != m_silences.end())
        m_silences.erase(known);
    m_silences.push_back({ probe, now, isCorroborated(probe) });
}

void absence_evidence::beginConfirmation(const target_name& target)
{
    setConfirmation(target, confirmation_state::UnderWay);
}

void absence_evidence::endConfirmation(const target_name& target, bool complete)
{
    setConfirmation(target, complete ? confirmation_state::Complete : confirmation_state::None);
}

void absence_evidence::setConfirmation(const target_name& target, confirmation_state state)
{
    for (auto& silence : m_silences) {
        if (silence.probe.target == target && !silence.decided)
            silence.confirmation = state;
    }
}

bool absence_evidence::isInSeveralZones(const silence& silence) const
{
    return std::any_of(m_silences.begin(), m_silences.end(), [&](const auto& other) {
        const auto distance = other.recordedAt - silence.recordedAt;
        return !other.corroborated && other.probe.zone != silence.probe.zone && distance <= m_window
            && distance >= -m_window;
    });
}

std::vector<absence_finding> absence_evidence::takeFindings(instant now)
{
    std::vector<absence_finding> findings;
    for (auto& silence : m_silences) {
        const bool mustWait = silence.confirmation == confirmation_state::UnderWay
            || (silence.confirmation == confirmation_state::None && now < silence.recordedAt + m_window);
        if (silence.decided || (mustWait && !silence.corroborated))
            continue;
        silence.decided = true;
        findings.push_back({ silence.probe.target, silence.corroborated || !isInSeveralZones(silence) });
    }
    const auto isOutdated = [&](const silence& silence) {
        return silence.decided && (silence.corroborated || now > silence.recordedAt + 2 * m_window);
    };
    m_silences.erase(std::remove_if(m_silences.begin(), m_silences.end(), isOutdated), m_silences.end());
    return findings;
}

instant absence_evidence::nextDue() const
{
    auto due = instant::max();
    for (const auto& silence : m_silences) {
        if (!silence.decided && silence.confirmation != confirmation_state::UnderWay)
            due = std::min(due, silence.recordedAt + m_window);
    }
    return due;
}

} // namespace oriolepick
