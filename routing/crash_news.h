/// \file
/// Messages between nodes about requests that crash targets. Type names match wire/messages.proto.
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

/// A crash while a request was in flight. Carries an age instead of a time because the clocks of nodes differ.
struct crash_sighting {
    std::uint64_t crash = 0; ///< identifier of the crash, equal at every node that observed it
    target_name target;
    std::chrono::milliseconds age { 0 };
    request_fingerprint request = 0; ///< the request that had the part; 0 in a note on a request
    std::uint32_t concurrentRequests = 1; ///< see crash_mark
};

/// The known crashes of one request, or of a part that requests share.
struct crash_note {
    request_fingerprint request = 0; ///< or the fingerprint of the part
    std::vector<crash_sighting> sightings;
    /// Time since the request last completed; older sightings do not count.
    std::optional<std::chrono::milliseconds> sinceCleared;
    run_share share; ///< of a part, as far as the sender knows
};

/// Digest of all requests that a node has quarantined. Equal on two nodes with the same set.
struct quarantine_digest {
    std::uint32_t requests = 0;
    std::uint64_t hash = 0;

    friend bool operator==(const quarantine_digest& left, const quarantine_digest& right)
    {
        return left.requests == right.requests && left.hash == right.hash;
    }
};

/// A message about crashes.
struct crash_news {
    /// Purpose of the message.
    enum class purpose : std::uint8_t {
        Report, ///< to the nodes responsible for the requests, which decide on the quarantine
        Verdict, ///< from a responsible node to all nodes
        Reply, ///< records that the receiver lacks; gets no reply
        Exchange, ///< a digest for anti-entropy
        TrialRequest, ///< to the first responsible node: the sender refuses requests with these parts
        TrialGrant, ///< the receiver may send one request with each of these parts, to see whether it still crashes
    };

    purpose messagePurpose = purpose::Report;
    std::vector<crash_note> notes;
    std::optional<quarantine_digest> digest;
};

/// Maximum number of notes in a message: with three sightings each they fit into one packet.
constexpr std::size_t MaxCrashNotes = 8;
/// Maximum number of sightings in a note: a few more than crash_ledger needs for its verdict.
constexpr std::size_t MaxCrashSightings = 12;

} // namespace oriolepick
