#include "gateway/caller_connection_state.h"

#include <algorithm>

namespace oriolepick {

caller_connection_state::caller_connection_state(instant openedAt)
    : m_openedAt(openedAt)
    , m_since(openedAt)
{
}

caller_phase caller_connection_state::phase() const
{
    return m_phase == caller_phase::Idle && m_unsent ? caller_phase::Sending : m_phase;
}

void caller_connection_state::receiveInput(instant now)
{
    m_phase = caller_phase::Reading;
    m_since = now;
}

void caller_connection_state::startRequest(instant now)
{
    m_phase = caller_phase::Serving;
    m_since = now;
    m_requestReceived = true;
}

connection_action caller_connection_state::completeResponse(after_response next, bool unsent, instant now)
{
    m_unsent = unsent;
    m_since = now;
    if (next == after_response::KeepOpen) {
        m_phase = caller_phase::Idle;
        return connection_action::ReadRequest;
    }
    m_phase = caller_phase::Closing;
    return m_unsent ? connection_action::None : finish(now);
}

connection_action caller_connection_state::drain(instant now)
{
    m_unsent = false;
    if (m_phase == caller_phase::Closing)
        return finish(now);
    if (m_phase == caller_phase::Idle || m_phase == caller_phase::Reading)
        m_since = now;
    return connection_action::None;
}

void caller_connection_state::discardInput(instant now)
{
    if (m_phase == caller_phase::Lingering)
        m_since = now;
}

instant caller_connection_state::lingersUntil() const
{
    return std::min(m_since + LingerTime, m_shutDownAt + MaxLingerTime);
}

connection_action caller_connection_state::finish(instant now)
{
    m_phase = caller_phase::Lingering;
    m_since = now;
    m_shutDownAt = now;
    return connection_action::ShutDownSending;
}

void caller_connection_state::close()
{
    m_phase = caller_phase::Closed;
}

std::optional<instant> caller_connection_state::waitingSince() const
{
    const bool waits = m_phase == caller_phase::Idle || m_phase == caller_phase::Reading;
    return waits && !m_unsent ? std::optional<instant>(m_since) : std::nullopt;
}

bool caller_connection_state::mayCloseAtStop(instant now) const
{
    const bool isNew = !m_requestReceived && now < m_openedAt + FirstRequestGrace;
    return phase() == caller_phase::Idle && !isNew;
}

bool caller_connection_state::isEnding() const
{
    return m_endedForStop || m_phase == caller_phase::Lingering || m_phase == caller_phase::Closed;
}

} // namespace oriolepick
