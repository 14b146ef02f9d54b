/// \file
/// Losses of the nodes that read a store which is restored.
#pragma once

#include "gateway/test/restore_scenarios.h"

#include <optional>

namespace oriolepick {

/// \return the node that reads the store, or nothing
inline std::optional<std::size_t> readerOf(news_simulation& fleet)
{
    for (std::size_t index = 0; index < fleet.nodes().size(); ++index) {
        const auto& node = fleet.nodes()[index];
        if (node.running && fleet.now() >= node.frozenUntil && node.gossip->readerSchedule().isReader())
            return index;
    }
    return std::nullopt;
}

/// How a node is lost.
using loss = void (*)(news_simulation&, std::size_t reader);

/// Loses the node that reads the store next.
inline void loseNextReader(news_simulation& fleet, loss lose)
{
    if (const auto reader = readerOf(fleet))
        lose(fleet, *reader);
    else
        fleet.at(10ms, [&fleet, lose] { loseNextReader(fleet, lose); });
}

/// The readers are lost shortly before the store is, and shortly after its return.
inline void restoreAndLoseReaders(news_simulation& fleet, loss lose)
{
    changeEverything(fleet, 25s);
    const auto restore = randomRestore(fleet, 6s, 10s);
    restoreStore(fleet, restore);
    fleet.at(restore.at - randomTime(fleet, 0ms, 400ms), [&fleet, lose] { loseNextReader(fleet, lose); });
    fleet.at(restore.returnsAt() + randomTime(fleet, 0ms, 600ms), [&fleet, lose] { loseNextReader(fleet, lose); });
}

} // namespace oriolepick
