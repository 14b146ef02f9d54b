/// \file
/// Messages of the failure detector between nodes.
#pragma once

#include "core/names.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace oriolepick {

/// State of a node. At equal incarnation, a later enumerator overrides an earlier one.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer a probe; can refute the suspicion with a higher incarnation.
    Leaving, ///< Announced its planned shutdown.
    Left, ///< Was leaving and no longer answers.
    Dead, ///< Was suspected and did not refute in time.
};

/// State of one node, as gossiped.
struct member_update {
    node_id node;
    availability_zone zone;
    region_name region;
    member_state state = member_state::Alive;
    std::uint64_t incarnation = 0; ///< of the node; raised only by the node itself
};

/// \return whether a node in \p state is expected to respond
inline bool isReachable(member_state state)
{
    return state == member_state::Alive || state == member_state::Leaving;
}

/// \return whether a node in \p state is no longer probed
inline bool isDeadOrLeft(member_state state)
{
    return state == member_state::Dead || state == member_state::Left;
}

/// \return whether \p update replaces the \p known state of the same node
inline bool overrides(const member_update& update, const member_update& known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

/// Maximum number of updates in a message, without the state of the sender.
inline constexpr std::size_t MaxUpdatesPerMessage = 8;

/// Maximum number of members in a page, so that the page fits into one datagram.
inline constexpr std::size_t MaxMembersPerPage = 24;

/// Requests an ack_message with the same sequence number.
struct ping_message {
    std::uint64_t sequence = 0;
};

/// Confirms that \c subject is alive: the answer to a ping, or forwarded to the origin of an indirect ping.
struct ack_message {
    std::uint64_t sequence = 0;
    node_id subject; ///< the node that is alive
};

/// Requests an indirect ping: the receiver pings \c subject and forwards the ack.
struct ping_request_message {
    std::uint64_t sequence = 0;
    node_id subject;
};

/// Requests the page of members that follow \c after in the order of their names.
struct sync_request_message {
    node_id after; ///< empty for the first page
};

/// One page of members, which are the updates of the message.
struct sync_page_message {
    node_id last; ///< last member of the page
    bool more = false;
};

using membership_body
    = std::variant<ping_message, ack_message, ping_request_message, sync_request_message, sync_page_message>;

/// \return maximum number of updates in a message with \p body
inline std::size_t maxUpdates(const membership_body& body)
{
    return std::holds_alternative<sync_page_message>(body) ? MaxMembersPerPage : MaxUpdatesPerMessage;
}

/// A message with its piggybacked updates.
struct membership_message {
    member_update sender; ///< state of the sender
    membership_body body;
    std::vector<member_update> updates; ///< at most maxUpdates(body)
};

} // namespace oriolepick
