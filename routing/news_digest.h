/// \file
/// What one node tells another about the age and the version of what it knows.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace oriolepick {

/// What nodes tell each other of.
enum class store_topic : std::uint8_t {
    Configuration, ///< routes, services, teams and their keys
    Targets, ///< registrations of targets
};

constexpr std::size_t StoreTopicCount = 2;

/// One topic as a node knows it.
struct topic_digest {
    bool known = false; ///< it was read at least once; the other fields mean nothing otherwise
    std::uint64_t changeRevision = 0; ///< of the store, at the last change that says anything new
    std::uint64_t readRevision = 0; ///< of the store, up to which nothing else has changed
    std::chrono::milliseconds age { 0 }; ///< since the store was at readRevision
};

/// All topics.
struct news_digest {
    std::array<topic_digest, StoreTopicCount> topics;
    std::optional<std::chrono::milliseconds> sinceFailedAttempt; ///< since a node asked the store in vain, if one did
    std::uint32_t reader = 0; ///< rank number of the node that read the store last; the least reads on
    bool isReply = false; ///< answers a digest that was behind, and is not answered

    const topic_digest& of(store_topic topic) const { return topics[static_cast<std::size_t>(topic)]; }
    topic_digest& of(store_topic topic) { return topics[static_cast<std::size_t>(topic)]; }
};

} // namespace oriolepick
