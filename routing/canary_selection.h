/// \file
/// Chooses the targets of a new version that receive requests while it is observed.
#pragma once

#include "routing/rollout_target.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolepick {

/// \return the hash that identifies a target in rollout_cell; never 0
std::uint64_t canaryHash(const target_name& target);

/// Selects canaries by hash, in turn from each zone. Nodes that know the same targets select the same ones.
/// \param order revision of the order
/// \param share of the requests that the canaries receive; with as large a share of the targets each of them gets about
/// the load that it will have later
/// \return the canaries with their hashes: at least 2, if there are as many, and at most MaxCanaries
std::map<target_name, std::uint64_t> selectCanaries(
    std::uint64_t order, const std::string& version, const std::vector<rollout_target>& targets, double share);

} // namespace oriolepick
