/// \file
/// The deterministic output of emulated engines, from which a checker recomputes every answer.
#pragma once

#include "core/names.h"
#include "core/token.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriolepick {

/// The output function for one model, seed and prompt. The token at a position is a hash of model, version, adapter,
/// seed, prompt, the rolling digest of the tokens before it, and the engine's salt; the length depends on neither the
/// tokens nor the salt.
class answer_function {
public:
    answer_function(const model_ref& model, std::uint64_t seed, const std::string& prompt);

    /// \param digest rolling digest of the tokens before the position, see extendDigest()
    /// \param salt the engine's salt, 0 for none
    token tokenAfter(std::uint64_t digest, std::uint32_t position, std::uint64_t salt = 0) const;

    /// \return the number of tokens of the answer, between 1 and \p maxTokens. A prompt that contains "[length=N]"
    ///     fixes it to N, or to \p maxTokens if that is less.
    std::uint32_t length(std::uint32_t maxTokens) const;

    /// \return "length" when \p maxTokens ends the answer, otherwise "stop"
    std::string finishReason(std::uint32_t maxTokens) const;

private:
    std::uint64_t m_base;
    std::optional<std::uint32_t> m_fixedLength;
};

/// \return all tokens of the answer of an engine with \p salt
token_list expectedAnswer(const answer_function& answer, std::uint32_t maxTokens, std::uint64_t salt = 0);

/// \return the text of token \p id in the emulated vocabulary
std::string vocabularyText(token_id id);

} // namespace oriolepick
