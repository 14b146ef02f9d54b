/// \file
/// Messages of the failure detector between nodes.
#pragma once

#include "core/names.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace oriolepick {

/// State of a node. At equal incarnation a later one overrides an earlier one.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer; can refute with a higher incarnation.
    Leaving, ///< Announced its planned stop.
    Left, ///< Was leaving and no longer answers.
    Dead, ///< Was suspected and did not refute in time.
};

/// A statement about one node.
struct member_update {
    node_id node;
    availability_zone zone;
    region_name region;
    member_state state = member_state::Alive;
    std::uint64_t incarnation = 0; ///< of the node; only the node itself raises it
};

/// \return whether a node in \p state is believed to answer
inline bool isReachable(member_state state)
{
    return state == member_state::Alive || state == member_state::Leaving;
}

/// \return whether a node in \p state is no longer probed
inline bool isDeadOrLeft(member_state state)
{
    return state == member_state::Dead || state == member_state::Left;
}

/// \return whether \p update replaces what is \p known about the same node
inline bool overrides(const member_update& update, const member_update& known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

/// Most updates that travel with a message, the sender's own statement not counted.
inline constexpr std::size_t MaxUpdatesPerMessage = 8;

/// Most members in one page: they fit into one datagram.
inline constexpr std::size_t MaxMembersPerPage = 24;

/// Are you alive?
struct ping_message {
    std::uint64_t sequence = 0;
};

/// I am alive; the answer to a ping, or passed on to the origin of an indirect ping.
struct ack_message {
    std::uint64_t sequence = 0;
    node_id subject; ///< who is alive
};

/// Ping \c subject for me.
struct ping_request_message {
    std::uint64_t sequence = 0;
    node_id subject;
};

/// Send me the members that follow \c after in order of name.
struct sync_request_message {
    node_id after; ///< empty for the first page
};

/// One page of members, in the updates of the message.
struct sync_page_message {
    node_id last; ///< of the page
    bool more = false;
};

using membership_body
    = std::variant<ping_message, ack_message, ping_request_message, sync_request_message, sync_page_message>;

/// \return how many updates may travel with \p body
inline std::size_t maxUpdates(const membership_body& body)
{
    return std::holds_alternative<sync_page_message>(body) ? MaxMembersPerPage : MaxUpdatesPerMessage;
}

/// A message with its piggybacked updates.
struct membership_message {
    member_update sender; ///< the sender's statement about itself
    membership_body body;
    std::vector<member_update> updates; ///< at most maxUpdates(body)
};

} // namespace oriolepick
