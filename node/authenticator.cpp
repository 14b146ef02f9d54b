#include "node/authenticator.h"

#include "core/fleet_state.h"
#include "node/state_keeper.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace oriolepick {

namespace {

    constexpr std::string_view Scheme = "Bearer ";
    constexpr std::size_t MaximumTokenBytes = 512;

    std::string_view bearerToken(std::string_view authorization)
    {
        if (authorization.substr(0, Scheme.size()) != Scheme
            || authorization.size() > Scheme.size() + MaximumTokenBytes)
            return {};
        return authorization.substr(Scheme.size());
    }

    error unauthorized()
    {
        return { error_kind::Unauthorized, "Authorization: a valid bearer token is required", {} };
    }

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

authenticator::authenticator(const state_keeper& states, const std::string& operatorTokenSha256)
    : m_states(states)
    , m_operatorTokenSha256(absl::AsciiStrToLower(operatorTokenSha256))
{
}

result<team_id> authenticator::team(std::string_view authorization) const
{
    const auto token = bearerToken(authorization);
    if (token.empty())
        return unauthorized();
    if (auto team = m_states.current()->teamByTokenDigest(sha256Hex(token)))
        return *std::move(team);
    return unauthorized();
}

result<void> authenticator::operators(std::string_view authorization) const
{
    const auto token = bearerToken(authorization);
    if (token.empty())
        return unauthorized();
    const auto digest = sha256Hex(token);
    if (!CRYPTO_memcmp(digest.data(), m_operatorTokenSha256.data(), digest.size()))
        return success();
    if (m_states.current()->teamByTokenDigest(digest))
        return error { error_kind::Forbidden, "Authorization: this needs the operators' token", {} };
    return unauthorized();
}

} // namespace oriolepick
