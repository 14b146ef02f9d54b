/// \file
/// Hashes of prompt blocks, by which engines report what their prefix cache holds.
#pragma once

#include "core/names.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace oriolepick {

/// Prompt tokens in one hashed block.
constexpr std::uint32_t PromptBlockTokens = 64;

/// Bytes of text that one prompt token stands for, as engines of this protocol count them.
constexpr std::uint32_t PromptTokenBytes = 4;

/// \return the number of prompt tokens of \p prompt
std::uint32_t promptTokens(std::string_view prompt);

/// \return the chained hashes of the full blocks of \p prompt: equal hashes mean the same model, version and adapter
///     and equal text up to the end of the block
std::vector<std::uint64_t> promptBlocks(const model_ref& model, std::string_view prompt);

/// \return the hashes of some of promptBlocks(), dense at the beginning, which identify what the prompt shares with
/// others;
///     without the last block, which belongs to the request
std::vector<std::uint64_t> sharedPartsOf(const model_ref& model, std::string_view prompt);

} // namespace oriolepick
