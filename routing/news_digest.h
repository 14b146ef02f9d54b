/// \file
/// Digest of the versions and ages of the store tables that a node holds. Type names match wire/messages.proto.
#pragma once

#include "core/store_version.h"
#include "routing/content_revision.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace oriolepick {

/// Tables of the store that nodes replicate.
enum class store_topic : std::uint8_t {
    Configuration, ///< routes, services, teams and their keys
    Targets, ///< registrations of targets
};

constexpr std::size_t StoreTopicCount = 2;

/// The version of one topic at a node.
struct topic_digest {
    bool known = false; ///< the node holds the topic; otherwise the other fields have no meaning
    content_revision changeRevision; ///< at the last relevant change
    store_version readRevision; ///< up to which no other change is relevant
    std::chrono::milliseconds age { 0 }; ///< time since the store was at readRevision
};

/// The versions of all topics and the last accesses to the store.
struct news_digest {
    std::array<topic_digest, StoreTopicCount> topics;
    /// Time since the last failed read of the store by any node, if there was one.
    std::optional<std::chrono::milliseconds> sinceFailedAttempt;
    /// Time since the store was first read after its last outage, as long as expired registrations may return.
    std::optional<std::chrono::milliseconds> sinceRecovery;
    /// Time of sending by the monotonic clock of the sender, if known. Ages in the digest are as of this time.
    std::optional<std::chrono::milliseconds> sentAt;
    /// Rank number of the node that read the store last; of two readers the lower number remains.
    std::uint32_t reader = 0;
    bool isReply = false; ///< reply to an outdated digest; gets no reply itself

    const topic_digest& of(store_topic topic) const { return topics[static_cast<std::size_t>(topic)]; }
    topic_digest& of(store_topic topic) { return topics[static_cast<std::size_t>(topic)]; }
};

} // namespace oriolepick
