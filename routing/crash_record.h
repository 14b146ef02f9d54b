/// \file
/// What is recorded about crashes outside the nodes, so that it outlives the processes of all of them.
#pragma once

#include "routing/crash_news.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace oriolepick {

/// The notes on requests and parts that have crashed several targets.
struct crash_record {
    std::chrono::milliseconds writtenAt { 0 }; ///< by the clock of the store; the ages in the notes are of this time
    std::vector<crash_note> notes; ///< those with the latest changes first
};

/// Digest of notes. Equal for the same crashes of the same requests.
struct crash_record_digest {
    std::uint64_t all = 0;
    std::uint64_t quarantined = 0; ///< of the notes on what is quarantined

    friend bool operator==(const crash_record_digest& left, const crash_record_digest& right)
    {
        return left.all == right.all && left.quarantined == right.quarantined;
    }
};

} // namespace oriolepick
