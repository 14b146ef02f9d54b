/// \file
/// Checks an answer token by token against the deterministic output of the emulated engines.
#pragma once

#include "core/token.h"
#include "standins/expected_answer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oriolepick {

/// Faults found in one answer, or in many.
struct answer_faults {
    std::uint64_t missing = 0; ///< positions left out, and positions short of the whole answer
    std::uint64_t repeated = 0; ///< tokens at positions that were there before
    std::uint64_t mixed = 0; ///< tokens that no engine computes on the tokens before them
    std::uint64_t wrongEnd = 0; ///< complete answers with another length or finish reason than expected

    bool any() const { return missing || repeated || mixed || wrongEnd; }
    void add(const answer_faults& other);
};

/// Takes the tokens of one answer in the order of their arrival.
class answer_checker {
public:
    /// \param salts of all engines that may answer
    answer_checker(answer_function answer, std::uint32_t maxTokens, std::vector<std::uint64_t> salts);

    void takeToken(std::uint32_t position, const token& next);

    /// Takes the end of a complete answer.
    void takeEnd(const std::string& finishReason);

    const token_list& tokens() const { return m_tokens; } ///< the answer so far
    const answer_faults& faults() const { return m_faults; }

private:
    bool isComputable(std::uint32_t position, const token& next) const;

    const answer_function m_answer;
    const std::uint32_t m_maxTokens;
    const std::vector<std::uint64_t> m_salts;
    token_list m_tokens;
    std::uint64_t m_digest = 0;
    answer_faults m_faults;
};

} // namespace oriolepick
