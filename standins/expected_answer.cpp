#include "standins/expected_answer.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace oriolepick {

namespace {

    constexpr std::uint64_t VocabularySize = 100'000;

    std::uint64_t combine(std::uint64_t left, std::uint64_t right)
    {
        char bytes[8];
        for (int index = 0; index < 8; ++index)
            bytes[index] = static_cast<char>(right >> (8 * index));
        return stableHash(std::string_view(bytes, sizeof bytes), left);
    }

    std::optional<std::uint32_t> findFixedLength(std::string_view prompt)
    {
        constexpr std::string_view Marker = "[length=";
        const auto found = prompt.find(Marker);
        if (found == std::string_view::npos)
            return std::nullopt;
        const auto digits = prompt.substr(found + Marker.size());
        std::uint32_t length = 0;
        const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
        if (failure != std::errc() || end == digits.data() + digits.size() || *end != ']' || !length)
            return std::nullopt;
        return length;
    }

} // namespace

answer_function::answer_function(const model_ref& model, std::uint64_t seed, const std::string& prompt)
    : m_base(combine(stableHash(model.model.text()), stableHash(model.version.value())))
    , m_fixedLength(findFixedLength(prompt))
{
    m_base = combine(m_base, stableHash(model.adapter.value()));
    m_base = combine(m_base, seed);
    m_base = combine(m_base, stableHash(prompt));
}

token answer_function::tokenAfter(std::uint64_t digest, std::uint32_t position, std::uint64_t salt) const
{
    std::uint64_t hash = combine(combine(m_base, digest), position);
    if (salt)
        hash = combine(hash, salt);
    const auto id = static_cast<token_id>(hash % VocabularySize);
    return { id, vocabularyText(id) };
}

std::uint32_t answer_function::length(std::uint32_t maxTokens) const
{
    const std::uint32_t limit = std::max<std::uint32_t>(maxTokens, 1);
    if (m_fixedLength)
        return std::min(*m_fixedLength, limit);
    return 1 + static_cast<std::uint32_t>(combine(m_base, ~std::uint64_t { 0 }) % limit);
}

std::string answer_function::finishReason(std::uint32_t maxTokens) const
{
    return length(maxTokens) >= maxTokens ? "length" : "stop";
}

token_list expectedAnswer(const answer_function& answer, std::uint32_t maxTokens, std::uint64_t salt)
{
    token_list tokens;
    std::uint64_t digest = 0;
    const std::uint32_t length = answer.length(maxTokens);
    tokens.reserve(length);
    while (tokens.size() < length) {
        const token_id next = answer.tokenAfter(digest, static_cast<std::uint32_t>(tokens.size()), salt).id;
        tokens.push_back(next);
        digest = extendDigest(digest, next);
    }
    return tokens;
}

std::string vocabularyText(token_id id)
{
    return " w" + std::to_string(id);
}

} // namespace oriolepick
