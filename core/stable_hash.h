/// \file
/// Hashes that are equal in every process and build, for rendezvous hashing, digests and fingerprints that nodes
/// exchange. absl::Hash is seeded per process and serves only for containers.
#pragma once

#include "core/token.h"

#include <cstdint>
#include <string_view>

namespace oriolepick {

/// \return a 64-bit hash of \p bytes, continued from \p seed
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Continues the rolling digest of an answer by one token.
/// \param digest the digest of all earlier tokens, 0 before the first
/// \param next the token number that follows
/// \return the digest that includes \p next
std::uint64_t extendDigest(std::uint64_t digest, token_id next);

/// \return the rolling digest of \p tokens, 0 for none
std::uint64_t digestOf(const token_list& tokens);

} // namespace oriolepick
