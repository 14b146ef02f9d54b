#include "node/request_permit.h"

#include "node/gate_pass.h"
#include "node/team_limits.h"

namespace oriolepick {

request_permit::request_permit(team_limits& limits, team_id team, std::uint32_t reservedTokens)
    : m_limits(limits)
    , m_team(std::move(team))
    , m_reservedTokens(reservedTokens)
{
}

request_permit::~request_permit()
{
    finish(0);
}

void request_permit::setPass(std::unique_ptr<gate_pass> pass)
{
    m_pass = std::move(pass);
}

void request_permit::recordFirstToken(std::chrono::milliseconds latency)
{
    if (m_pass)
        m_pass->recordFirstToken(latency);
}

void request_permit::finish(std::uint32_t usedTokens)
{
    if (m_finished)
        return;
    m_finished = true;
    m_pass.reset();
    const auto unused = m_reservedTokens > usedTokens ? m_reservedTokens - usedTokens : 0;
    m_limits.release(m_team, unused, std::chrono::steady_clock::now());
}

} // namespace oriolepick
