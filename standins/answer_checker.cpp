#include "standins/answer_checker.h"

#include "core/stable_hash.h"

#include <utility>

namespace oriolepick {

void answer_faults::add(const answer_faults& other)
{
    missing += other.missing;
    repeated += other.repeated;
    mixed += other.mixed;
    wrongEnd += other.wrongEnd;
}

answer_checker::answer_checker(answer_function answer, std::uint32_t maxTokens, std::vector<std::uint64_t> salts)
    : m_answer(answer)
    , m_maxTokens(maxTokens)
    , m_salts(std::move(salts))
{
}

void answer_checker::takeToken(std::uint32_t position, const token& next)
{
    if (position < m_tokens.size()) {
        ++m_faults.repeated;
        if (m_tokens[position] != next.id)
            ++m_faults.mixed;
        return;
    }
    if (position > m_tokens.size()) {
        // The tokens between are not known, so this one cannot be checked; the rest of the answer counts as missing.
        m_faults.missing += position - m_tokens.size();
        return;
    }
    if (!isComputable(position, next))
        ++m_faults.mixed;
    m_tokens.push_back(next.id);
    m_digest = extendDigest(m_digest, next.id);
}

void answer_checker::takeEnd(const std::string& finishReason)
{
    const std::uint32_t length = m_answer.length(m_maxTokens);
    if (m_tokens.size() < length)
        m_faults.missing += length - m_tokens.size();
    if (m_tokens.size() != length || finishReason != m_answer.finishReason(m_maxTokens))
        ++m_faults.wrongEnd;
}

bool answer_checker::isComputable(std::uint32_t position, const token& next) const
{
    for (const std::uint64_t salt : m_salts) {
        if (m_answer.tokenAfter(m_digest, position, salt) == next)
            return true;
    }
    return false;
}

} // namespace oriolepick
