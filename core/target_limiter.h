/// \file
/// Keeps the request limits that targets name, summed over all nodes.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/permit_bucket.h"
#include "core/response_wait.h"
#include "core/target_limit_messages.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace oriolepick {

/// A node and its zone.
struct limit_node {
    node_id node;
    availability_zone zone;
};

/// Send a message to another node.
struct send_target_limit_message {
    node_id to;
    target_limit_message message;
};

/// The decision on a permit that was pending.
struct permit_decided {
    std::uint64_t number = 0; ///< of the permit_result
    bool granted = false;
};

/// The limit of a target began, changed notably or ended at this node.
struct target_limit_changed {
    limited_target target;
    target_limit limit;
    bool fromPeer = false; ///< stated by another node, not by the target itself
};

/// A statement about an earlier incarnation of a target was ignored.
struct outdated_limit_ignored {
    limited_target target;
};

/// The owner of a limit did not answer in time.
struct limit_owner_unresponsive {
    limited_target target;
    node_id owner;
};

using target_limit_action = std::variant<send_target_limit_message, permit_decided, target_limit_changed,
    outdated_limit_ignored, limit_owner_unresponsive>;

/// Whether a request may be sent to a target.
enum class permit_decision {
    NotNeeded, ///< the target has no known limit
    Granted, ///< the request must be sent now; a permit is valid for one request
    Denied,
    Pending, ///< permit_decided follows
};

/// Result of target_limiter::acquire().
struct permit_result {
    permit_decision decision = permit_decision::NotNeeded;
    std::uint64_t number = 0; ///< of a pending decision
    std::vector<target_limit_action> actions;
};

/// When a target that was denied may get another request.
struct permit_outlook {
    instant nextPermit; ///< before then every permit is denied at this node
    std::chrono::milliseconds spread { 0 }; ///< time over which the returns of refused callers must be spread
};

/// Settings of target_limiter.
struct target_limiter_settings {
    /// The owner of a limit answers within a round trip. Then its deputy is asked, and after that the permit is denied.
    std::chrono::milliseconds answerTimeout { 60 };
    /// From the request for a permit. A process that was held up for longer doesn't use the permit: it would add to
    /// those that were issued since.
    std::chrono::milliseconds permitValidity { 200 };
    std::chrono::milliseconds unresponsiveTime { 1'000 }; ///< for which an owner that did not answer is not asked
    /// A new owner grants half of the limit for this time, in which the previous owner may still be asked by nodes with
    /// another membership view.
    std::chrono::milliseconds takeoverTime { 3'000 };
    /// A node that has found no other one issues no permits for this time after its start.
    std::chrono::milliseconds joinTime { 1'000 };
    /// A node that has found no other one issues half of a limit for this time, in which it finds a fleet that exists.
    std::chrono::milliseconds searchTime { 30'000 };
    std::chrono::milliseconds noticeInterval { 250 }; ///< between notices of one node about one target
    std::chrono::milliseconds claimInterval { 2'000 }; ///< between notices of an owner while its limit is in use
    std::chrono::milliseconds claimValidity { 5'000 }; ///< for which an owner is known from its last notice
};

/// For each limited target, one node issues permits from a token bucket: the owner of the limit, chosen by rendezvous
/// hashing among the nodes in the target's zone or, without nodes there, among all nodes. A node requests a permit for
/// each request that it would send to the target, so the limit is used by the nodes that have callers, however many
/// nodes there are.
///
/// Let L be the limit. With equal membership views, all nodes together send at most L * (t + 0.7 s) + 1 requests in any
/// time t: the bucket holds the permits of 0.5 s, and a permit is used within 0.2 s. A node that is not the owner in
/// its own view, or has become the owner just now, issues at most L / 2, so the sum stays within 1.5 L during one
/// change of the owner. An owner repeats its claim to all nodes while the limit is in use, and nodes report better
/// claims to each other, so nodes with wrong membership views find the same owner. A group of nodes that reaches less
/// than two thirds of all known nodes issues its share of L only, so the sum over partitions is at most 4/3 L.
///
/// A node that does not know of a limit sends without permits. It learns of the limit from the target's response, from
/// the owner's notice to all nodes, or from a permit_answer. Not synchronized.
class target_limiter {
public:
    using actions = std::vector<target_limit_action>;

    target_limiter(const limit_node& self, const target_limiter_settings& settings, instant startedAt);

    /// Sets the membership view.
    /// \param others the nodes that are believed alive, without this one
    /// \param knownNodes number of nodes that may be serving requests, including unreachable ones and this one
    actions setNodes(std::vector<limit_node> others, std::size_t knownNodes, instant now);

    /// Announces the planned stop of this node: from now on it issues no permits as an owner, unless it is alone.
    actions leave(instant now);

    /// Records what a response of \p target stated.
    /// \param zone of the target; empty if unknown
    actions observe(
        const limited_target& target, const availability_zone& zone, const target_limit& limit, instant now);

    /// Requests a permit for one request to \p incarnation of \p target.
    permit_result acquire(const limited_target& target, std::uint64_t incarnation, instant now);

    /// Records that a caller was refused because each of \p targets denied a permit.
    void recordRefused(const std::vector<limited_target>& targets);

    actions receive(const node_id& from, const target_limit_message& message, instant now);

    /// Performs all due work. Call at nextDue() or later.
    /// \param inputPending messages of other nodes wait to be read
    actions tick(instant now, bool inputPending = false);

    /// \return the time of the next due work of tick()
    instant nextDue() const;

    /// \return the limit of \p incarnation of \p target in requests per second, or nothing
    std::optional<double> limitOf(const limited_target& target, std::uint64_t incarnation) const;

    /// \return the outlook for \p target, which was denied
    permit_outlook outlook(const limited_target& target) const;

    /// \return the number of targets with a known limit
    std::size_t limitedTargets() const;

private:
    /// A node that claims to own a limit.
    struct owner_claim {
        node_id owner;
        bool isLocal;
        instant validUntil;
    };
    struct target_record {
        availability_zone zone;
        target_limit limit;
        instant statedAt; // when the target stated the limit
        instant usedAt;

        // as a sender of requests
        instant deniedUntil;
        std::chrono::milliseconds spread { 0 };
        double refused = 0; // not yet reported to the owner

        // owners of the limit in the current view, the first one responsible
        std::vector<node_id> owners;
        std::uint64_t viewNumber = 0; // of the membership view, 0 if the owners must be determined again
        std::optional<owner_claim> claim; // the best one of other nodes

        // as an owner
        std::optional<permit_bucket> bucket;
        instant takeoverEnd;

        // notices to the owner, or to all nodes as the owner
        target_limit noticed;
        instant noticedAt;
        bool noticeDue = false;
    };
    struct pending_permit {
        limited_target target;
        std::uint64_t incarnation;
        node_id owner;
        bool deputyAsked;
        instant askedAt;
        response_wait wait;
    };
    using record_map = absl::flat_hash_map<limited_target, target_record>;

    void applyView(actions& out, const std::vector<node_id>& joined, instant now);
    record_map::iterator recordFor(const limited_target& target, const availability_zone& zone, instant now);
    void updateOwners(const limited_target& target, target_record& record, instant now) const;
    void applyClaim(actions& out, const node_id& from, const target_limit_message& message, const limit_notice& notice,
        instant now);
    limit_notice noticeOf(const target_record& record, instant now) const;
    bool isInUse(const target_record& record, instant now) const;
    bool isOwner(const target_record& record) const;
    bool isResponsive(const node_id& node, instant now) const;
    const node_id* responsiveOwner(const target_record& record, instant now) const;
    double share(const target_record& record, instant now) const;
    bool isJoining(instant now) const;

    void mergeStatement(actions& out, const limited_target& target, const availability_zone& zone,
        const target_limit& limit, instant statedAt, bool fromPeer, instant now);
    void notify(actions& out, const limited_target& target, target_record& record, instant now);
    permit_answer issue(target_record& record, instant now);
    bool applyAnswer(target_record& record, const permit_answer& answer, instant now);
    limit_statement statementOf(const target_record& record, instant now) const;
    void request(actions& out, std::uint64_t number, const pending_permit& pending, target_record& record, instant now);
    pending_permit makePending(const limited_target& target, std::uint64_t incarnation, const node_id& owner,
        bool deputyAsked, instant now) const;
    void onAnswer(actions& out, const node_id& from, const target_limit_message& message, const permit_answer& answer,
        instant now);
    void sendDueNotices(actions& out, instant now);
    void onTimeout(actions& out, std::uint64_t number, const pending_permit& pending, instant now);
    void removeUnused(instant now);

    limit_node m_self;
    target_limiter_settings m_settings;
    instant m_startedAt;
    std::vector<limit_node> m_nodes; // that may own limits: including this one, unless it leaves
    bool m_leaving = false;
    double m_reachableShare = 1; // of the known nodes; 1 unless a partition is likely
    std::uint64_t m_viewNumber = 1;
    std::uint64_t m_lastNumber = 0;
    record_map m_records;
    std::map<std::uint64_t, pending_permit> m_pending; // by number
    absl::flat_hash_map<node_id, instant> m_unresponsiveUntil;
    instant m_noticesDue = instant::max(); // first of the notices that are delayed or repeated
    instant m_removeAt;
};

} // namespace oriolepick
