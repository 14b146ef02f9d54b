/// \file
/// Tells a peer that is gone from one that reads slowly.
#pragma once

#include "core/instant.h"

#include <optional>

namespace oriolepick {

struct send_state;

/// The kernel of a peer acknowledges what it receives, also when its process does not read: then it answers each probe
/// of its closed window. A peer that acknowledges nothing for some time is gone. Pure: the owner reads the state at
/// regular intervals while bytes are unacknowledged.
class peer_watch {
public:
    /// \param patience time without any acknowledgement after which a peer is gone
    explicit peer_watch(std::chrono::milliseconds patience)
        : m_patience(patience)
    {
    }

    /// \param state of the connection at \p now
    /// \return whether the peer is gone
    bool isGone(const send_state& state, instant now);

    /// Forgets what was seen, because all bytes are acknowledged.
    void reset() { m_silentSince.reset(); }

private:
    std::chrono::milliseconds m_patience;
    std::optional<instant> m_silentSince; // first sight of a silence that goes on
};

} // namespace oriolepick
