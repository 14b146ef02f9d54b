/// \file
/// Messages between nodes about places at targets. Each may be lost, late or repeated.
#pragma once

#include "core/names.h"
#include "routing/routing_names.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

namespace oriolepick {

/// Hash of a target's name; equal at every node and shorter than the name.
using target_hash = std::uint64_t;

/// \return the hash of \p target in place messages
target_hash hashOf(const target_name& target);

/// A group of targets of one service, with one allocator.
struct place_shard {
    service_name service;
    availability_zone zone; ///< of the targets; empty if the shard contains all targets of the service
    std::uint32_t index = 0;
    std::uint32_t count = 1; ///< number of shards that the zone is split into, in the view of the sender

    friend bool operator==(const place_shard& left, const place_shard& right)
    {
        return left.index == right.index && left.count == right.count && left.zone == right.zone
            && left.service == right.service;
    }
    friend bool operator<(const place_shard& left, const place_shard& right)
    {
        return std::tie(left.service, left.zone, left.count, left.index)
            < std::tie(right.service, right.zone, right.count, right.index);
    }
};

/// Use of one target by one node. All values are absolute, so a lost message is corrected by the next one.
struct target_use {
    target_hash target = 0;
    std::uint32_t inFlight = 0;
    std::uint64_t unreadTokens = 0; ///< prompts in flight that the engine has not read yet
    std::uint64_t heldTokens = 0; ///< memory of prompts that were read, of generated tokens, and of copies
    std::uint64_t completed = 0; ///< requests that the target completed, since the start of the node
    std::chrono::milliseconds busy { 0 }; ///< sum of the durations of the completed requests
    /// Time since the target last refused a request of the node for lack of capacity, if that was recent.
    std::optional<std::chrono::milliseconds> refusedAgo;
    /// Time since a request of the node last failed at the target, if that was recent and none succeeded since.
    std::optional<std::chrono::milliseconds> faultAgo;
};

/// What one node uses in one shard. A report replaces those of an earlier start and those with smaller sequence
/// numbers.
struct place_report {
    std::uint64_t startedAt = 0; ///< start of the node in Unix milliseconds
    std::uint64_t sequence = 0; ///< increases with each report of the node
    /// Requests up to this number are decided, except \c open ones: a grant of a decided one is either contained in
    /// the uses or no longer needed.
    std::uint64_t newest = 0;
    std::vector<std::uint64_t> open; ///< numbers of undecided requests, ascending
    std::vector<target_use> uses; ///< targets that are absent have nothing in flight
};

/// Asks the allocator of a shard for a place.
struct place_request {
    std::uint64_t number = 0; ///< chosen by the sender, increasing; repeated in the answer
    place_shard shard;
    std::uint32_t rank = 0; ///< 0 is the most urgent
    std::uint64_t team = 0; ///< hash of the team's name, 0 without teams
    /// Remaining time in which a start at a target is useful at all, by the deadline of the request. A request that
    /// can't meet the objective waits behind those that can.
    std::chrono::milliseconds latestStart { 0 };
    std::chrono::milliseconds objective { 0 }; ///< remaining time to the objective of the response or first event
    std::uint64_t promptTokens = 0; ///< engines only
    std::uint64_t outputTokens = 0; ///< engines only: upper bound
    std::chrono::milliseconds prefillTime { 0 }; ///< engines only: time to read the prompt without other prompts
    std::chrono::milliseconds waited { 0 }; ///< since the caller's first attempt if it was refused before, else 0
    std::vector<target_hash> excluded; ///< targets that must not be chosen
    std::optional<place_report> report; ///< saves a place_state
};

/// The sender no longer needs the place that it asked for.
struct place_cancel {
    place_shard shard;
    std::uint64_t number = 0;
};

/// Asks whether the requests still wait; sent while an allocator has answered that they do.
struct place_renewal {
    place_shard shard;
    std::vector<std::uint64_t> numbers;
};

/// Answer to place_renewal. Decisions on other numbers are sent again.
struct place_line_state {
    place_shard shard;
    std::vector<std::uint64_t> waiting;
};

/// Room of a shard.
struct place_room {
    std::uint32_t free = 0; ///< places that could be granted now
    std::chrono::milliseconds wait { 0 }; ///< expected wait of a new request of the lowest rank
};

/// Kind of answer to place_request.
enum class place_outcome : std::uint8_t {
    Granted, ///< the request must be sent to the target now
    Refused, ///< the request can't be served in time; the caller may return after retryAfter
    Waiting, ///< the request waits in the line; another answer follows
};

/// Answer to place_request.
struct place_answer {
    std::uint64_t number = 0;
    place_shard shard;
    place_outcome outcome = place_outcome::Refused;
    target_name target; ///< Granted only
    std::chrono::milliseconds retryAfter { 0 }; ///< Refused only
    std::chrono::milliseconds decisionWithin { 0 }; ///< Waiting only: time until the decision at the latest
    place_room room;
};

/// A report without a request.
struct place_state {
    place_shard shard;
    place_report report;
};

using place_message
    = std::variant<place_request, place_answer, place_state, place_cancel, place_renewal, place_line_state>;

/// Send a message to another node. A message to the own node must be passed to its receive functions directly.
struct send_place_message {
    node_id to;
    place_message message;
};

} // namespace oriolepick
