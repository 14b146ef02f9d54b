/// \file
/// What one admitted generation holds: its team's reservation and its pass of the gate. Given back once.
#pragma once

#include "core/names.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace oriolepick {

class gate_pass;
class team_limits;

class request_permit {
public:
    /// \param reservedTokens what team_limits::admit was asked for
    request_permit(team_limits& limits, team_id team, std::uint32_t reservedTokens);
    ~request_permit();
    request_permit(const request_permit&) = delete;
    request_permit& operator=(const request_permit&) = delete;

    void setPass(std::unique_ptr<gate_pass> pass);
    void recordFirstToken(std::chrono::milliseconds latency);

    /// Gives everything back.
    /// \param usedTokens prompt and output tokens that were computed
    void finish(std::uint32_t usedTokens);

private:
    team_limits& m_limits;
    team_id m_team;
    std::uint32_t m_reservedTokens;
    std::unique_ptr<gate_pass> m_pass;
    bool m_finished = false;
};

} // namespace oriolepick
