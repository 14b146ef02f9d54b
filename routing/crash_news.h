/// \file
/// What nodes tell each other of requests that crash targets.
#pragma once

#include "core/crash_ledger.h"
#include "core/names.h"
#include "routing/routing_names.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriolepick {

/// A crash under a request. Ages instead of times: the clocks of nodes differ.
struct crash_sighting {
    std::uint64_t crash = 0; ///< equal at every node that saw it
    target_name target;
    std::chrono::milliseconds age { 0 };
};

/// One request.
struct crash_note {
    request_fingerprint request = 0;
    std::vector<crash_sighting> sightings;
    std::optional<std::chrono::milliseconds> sinceCleared; ///< older sightings do not count: it ran to its end since
};

/// All requests that a node does not dispatch; equal at two nodes that know the same of them.
struct quarantine_digest {
    std::uint32_t requests = 0;
    std::uint64_t hash = 0;

    friend bool operator==(const quarantine_digest& left, const quarantine_digest& right)
    {
        return left.requests == right.requests && left.hash == right.hash;
    }
};

/// One message.
struct crash_news {
    /// Why it is sent.
    enum class purpose : std::uint8_t {
        Report, ///< to the nodes responsible for the requests, which decide
        Verdict, ///< from a responsible node to all
        Reply, ///< of what the receiver lacks; not answered
        Exchange, ///< a digest for comparison
    };

    purpose messagePurpose = purpose::Report;
    std::vector<crash_note> notes;
    std::optional<quarantine_digest> digest;
};

/// Notes in one message: with three sightings each they fit into one packet.
constexpr std::size_t MaxCrashNotes = 8;
/// Sightings in one note: a few more than the ledger needs.
constexpr std::size_t MaxCrashSightings = 6;

} // namespace oriolepick
