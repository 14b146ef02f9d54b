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

} // namespace oriolepick
