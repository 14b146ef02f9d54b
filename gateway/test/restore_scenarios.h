/// \file
/// Scenarios for tests of a store that returns from an outage in an older state, in fleets of 6 to 370 nodes.
#pragma once

#include "gateway/test/news_scenarios.h"

namespace oriolepick {

inline const std::vector<fleet_size> RestoredFleetSizes { { 6, 1, 6 }, { 9, 1, 8 }, { 40, 1, 3 }, { 120, 1, 1 },
    { 370, 1, 1 } };

/// A restore of the store.
struct store_restore {
    std::chrono::milliseconds at;
    std::chrono::milliseconds age; ///< of the copy
    std::chrono::milliseconds outage;

    std::chrono::milliseconds returnsAt() const { return at + outage; }
};

inline std::chrono::milliseconds randomTime(
    news_simulation& fleet, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    return from + std::chrono::milliseconds(fleet.random().below(static_cast<std::uint64_t>((to - from).count())));
}

inline store_restore randomRestore(news_simulation& fleet, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    return { randomTime(fleet, from, to), randomTime(fleet, 2s, 9s), randomTime(fleet, 300ms, 3s) };
}

inline void restoreStore(news_simulation& fleet, const store_restore& restore)
{
    fleet.at(restore.at, [&fleet, restore] { fleet.restoreStore(restore.age, restore.outage); });
}

// Restores the store, and again between \p from and \p to after its return.
inline void restoreAgainAfter(news_simulation& fleet, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    changeEverything(fleet, 25s);
    const auto first = randomRestore(fleet, 4s, 8s);
    restoreStore(fleet, first);
    const auto next = first.returnsAt() + randomTime(fleet, from, to);
    restoreStore(fleet, { next, randomTime(fleet, 1s, 6s), randomTime(fleet, 300ms, 2s) });
}

// Nodes are disturbed from shortly before the loss of the store until everything is written again.
inline void restoreAndDisturb(news_simulation& fleet, const std::vector<trouble>& kinds)
{
    changeEverything(fleet, 25s);
    const auto restore = randomRestore(fleet, 5s, 9s);
    restoreStore(fleet, restore);
    fleet.at(restore.at - 2s, [&fleet, kinds, restore] { disturbNodes(fleet, kinds, restore.outage + 5s, 400ms); });
}

// Targets that start are in force like any other change, unless a node knows only that they were removed.
inline void expectNewTargetsInTime(news_simulation_settings& settings)
{
    settings.registrationDelay = 0ms;
}

} // namespace oriolepick
