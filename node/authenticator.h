/// \file
/// Tells who presents a bearer token: a team of callers, or an operator. The two kinds of token are apart.
#pragma once

#include "core/error.h"
#include "core/names.h"

#include <string>
#include <string_view>

namespace oriolepick {

class state_keeper;

class authenticator {
public:
    /// \param operatorTokenSha256 digest of the operators' token, 64 hexadecimal digits
    authenticator(const state_keeper& states, const std::string& operatorTokenSha256);

    /// \param authorization value of the Authorization header
    /// \return the team, or Unauthorized
    result<team_id> team(std::string_view authorization) const;

    /// \return success for the operators' token, otherwise Unauthorized, or Forbidden for a team's token
    result<void> operators(std::string_view authorization) const;

private:
    const state_keeper& m_states;
    std::string m_operatorTokenSha256;
};

/// \return SHA-256 of \p text as 64 lower-case hexadecimal digits
std::string sha256Hex(std::string_view text);

} // namespace oriolepick
