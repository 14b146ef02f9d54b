/// \file
/// An engine's load report and the text form of its header "Engine-Load: running=3;waiting=0;batch=16;kv_free=81234".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

/// Load of one engine at the time of its report; reports lag behind the engine's actual load.
struct engine_load {
    std::uint32_t running = 0; ///< attempts in the batch
    std::uint32_t waiting = 0; ///< attempts in the engine's queue
    std::uint32_t batch = 0; ///< largest batch
    std::uint64_t kvFree = 0; ///< free cache memory, in tokens

    friend bool operator==(const engine_load& left, const engine_load& right)
    {
        return left.running == right.running && left.waiting == right.waiting && left.batch == right.batch
            && left.kvFree == right.kvFree;
    }
};

/// Parses the value of the header Engine-Load.
/// \return the load, or nothing unless each of the four fields stands there exactly once with a number in range
std::optional<engine_load> parseEngineLoad(std::string_view text);

/// \return the value of the header Engine-Load for \p load
std::string formatEngineLoad(const engine_load& load);

} // namespace oriolepick
