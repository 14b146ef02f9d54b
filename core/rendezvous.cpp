#include "core/rendezvous.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

std::vector<node_id> responsibleNodes(std::uint64_t key, const std::vector<node_id>& nodes, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const node_id*>> scored;
    scored.reserve(nodes.size());
    for (const auto& node : nodes)
        scored.emplace_back(stableHash(node.value(), key), &node);
    const auto better = [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    };
    count = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(), better);
    std::vector<node_id> chosen;
    for (std::size_t index = 0; index < count; ++index)
        chosen.push_back(*scored[index].second);
    return chosen;
}

} // namespace oriolepick
