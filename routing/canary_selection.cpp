#include "routing/canary_selection.h"

#include "core/stable_hash.h"
#include "routing/rollout_messages.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <tuple>

namespace oriolepick {

namespace {

    constexpr std::size_t MinCanaries = 2; ///< a single one could not be told from a disturbed target

} // namespace

std::uint64_t canaryHash(const target_name& target)
{
    return std::max<std::uint64_t>(stableHash(target.value()), 1);
}

std::map<target_name, std::uint64_t> selectCanaries(
    std::uint64_t order, const std::string& version, const std::vector<rollout_target>& targets, double share)
{
    std::map<availability_zone, std::vector<std::pair<std::uint64_t, target_name>>> zones;
    std::size_t count = 0;
    for (const auto& target : targets) {
        if (target.version != version)
            continue;
        zones[target.zone].emplace_back(stableHash(target.name.value(), order), target.name);
        ++count;
    }
    // By position within the zone first, so that all zones get their first canary before one gets its second.
    std::vector<std::tuple<std::size_t, std::uint64_t, target_name>> ranked;
    for (auto& [zone, members] : zones) {
        std::sort(members.begin(), members.end());
        for (std::size_t position = 0; position < members.size(); ++position)
            ranked.emplace_back(position, members[position].first, members[position].second);
    }
    std::sort(ranked.begin(), ranked.end());
    const auto wanted = static_cast<std::size_t>(std::ceil(share * static_cast<double>(count)));
    const auto selected = std::min(ranked.size(), std::clamp(wanted, MinCanaries, MaxCanaries));
    std::map<target_name, std::uint64_t> canaries;
    for (std::size_t index = 0; index < selected; ++index)
        canaries.emplace(std::get<2>(ranked[index]), canaryHash(std::get<2>(ranked[index])));
    return canaries;
}

} // namespace oriolepick
