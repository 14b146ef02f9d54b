/// \file
/// Allocates the places of one shard: knows what all nodes use at its targets, and keeps the line of requests.
#pragma once

#include "core/instant.h"
#include "core/seeded_random.h"
#include "routing/place_directory.h"
#include "routing/place_line.h"
#include "routing/place_messages.h"
#include "routing/place_targets.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace oriolepick {

/// Settings of place_account.
struct place_account_settings {
    place_targets_settings targets;
    place_line_settings line;
    /// A request that is still in the line after this time is told to wait, well before the sender's time limit of
    /// 25 ms; most requests are decided before, which saves a message.
    std::chrono::milliseconds waitingNoticeDelay { 8 };
    /// Longest wait in the line without news of the sender, which renews its requests.
    std::chrono::milliseconds renewTimeout { 2'000 };
    /// Over which the rate of new requests is averaged: bursts and the crests of waves last for a few seconds.
    std::chrono::milliseconds rateMemory { 8'000 };
    std::chrono::milliseconds answerRetention { 1'000 }; ///< of decisions, for repeated requests
    std::chrono::milliseconds minRetryAfter { 250 };
    std::chrono::milliseconds maxRetryAfter { 2'000 }; ///< callers wait a few seconds at most
};

/// The allocator of one shard. Not synchronized.
class place_account {
public:
    using actions = std::vector<send_place_message>;

    place_account(place_shard shard, const place_account_settings& settings, seeded_random random, instant now);

    /// Sets the targets of the shard.
    /// \param service kind and memory of the targets
    actions setTargets(const place_service& service, const std::vector<place_target>& targets, instant now);

    /// Ends the uses of nodes that are not alive.
    actions removeDeadNodes(const place_directory& directory, instant now);

    /// Decides on a request at once or puts it into the line.
    /// \param zone of the node \p from
    actions request(const node_id& from, const availability_zone& zone, const place_request& asked, instant now);

    actions cancel(const node_id& from, std::uint64_t number, instant now);

    actions renew(const node_id& from, const place_renewal& renewal, instant now);

    /// Applies the report of a node.
    actions state(const node_id& from, const place_report& report, instant now);

    /// Performs all due work. Call at nextDue() or later.
    actions tick(instant now);

    /// \return the time of the next due work of tick()
    instant nextDue() const;

    /// \return the time of the last message
    instant usedAt() const { return m_usedAt; }

    /// \return the number of requests in the line
    std::size_t waiting() const { return m_line.size(); }

    const place_targets& targets() const { return m_targets; }

private:
    using request_id = std::pair<node_id, std::uint64_t>;
    struct sent_answer {
        place_answer answer;
        instant at;
    };

    void grantWaiting(actions& out, instant now);
    void grant(actions& out, const waiting_place& waiting, const target_name& target, instant now);
    void refuse(actions& out, const waiting_place& waiting, instant now);
    void apply(const node_id& from, const place_report& report, instant now);
    void sendAnswer(actions& out, const node_id& to, place_answer answer, instant now);
    void noticeWaiting(actions& out, instant now);
    std::chrono::milliseconds nextRetryAfter(instant now);
    place_room room(instant now) const;
    instant goodStart(const place_request& asked, instant now) const;
    void recordNewcomer(instant now);
    place_pace pace(instant now) const;

    place_shard m_shard;
    place_account_settings m_settings;
    seeded_random m_random;
    place_targets m_targets;
    place_line m_line;
    std::map<request_id, sent_answer> m_answers;
    std::deque<std::pair<instant, request_id>> m_answerOrder;
    instant m_returnsUntil; // until which room is promised to callers that were refused
    bool m_hasReleases = false; // places became free since the line was last served
    double m_newcomersPerMs = 0;
    instant m_newcomerAt;
    instant m_expireAt;
    instant m_usedAt;
};

} // namespace oriolepick
