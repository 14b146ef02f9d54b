#include "targets/prompt_blocks.h"

#include "core/stable_hash.h"

namespace oriolepick {

std::uint32_t promptTokens(std::string_view prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + PromptTokenBytes - 1) / PromptTokenBytes);
}

std::vector<std::uint64_t> promptBlocks(const model_ref& model, std::string_view prompt)
{
    constexpr std::size_t BlockBytes = std::size_t { PromptBlockTokens } * PromptTokenBytes;
    std::uint64_t hash = stableHash(model.model.text());
    hash = stableHash(model.version.value(), hash);
    hash = stableHash(model.adapter.value(), hash);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(prompt.size() / BlockBytes);
    for (; prompt.size() >= BlockBytes; prompt.remove_prefix(BlockBytes)) {
        hash = stableHash(prompt.substr(0, BlockBytes), hash);
        blocks.push_back(hash);
    }
    return blocks;
}

std::vector<std::uint64_t> sharedPartsOf(const model_ref& model, std::string_view prompt)
{
    constexpr std::size_t DenseBlocks = 16; ///< each of the first blocks; then ever larger steps
    constexpr std::size_t StepDivisor = 4;
    const auto blocks = promptBlocks(model, prompt);
    std::vector<std::uint64_t> parts;
    for (std::size_t index = 0; index + 1 < blocks.size(); index += index < DenseBlocks ? 1 : index / StepDivisor)
        parts.push_back(blocks[index]);
    return parts;
}

} // namespace oriolepick
