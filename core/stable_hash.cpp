#include "core/stable_hash.h"

namespace oriolepick {

namespace {

    std::uint64_t mix(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

} // namespace

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ mix(seed);
    for (const char byte : bytes)
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    return mix(hash);
}

std::uint64_t extendDigest(std::uint64_t digest, token_id next)
{
    // The added constant keeps a leading token 0 from leaving the digest unchanged.
    return mix(digest * 0x9e3779b97f4a7c15ULL + next + 1);
}

std::uint64_t digestOf(const token_list& tokens)
{
    std::uint64_t digest = 0;
    for (const token_id id : tokens)
        digest = extendDigest(digest, id);
    return digest;
}

} // namespace oriolepick
