/// \file
/// Decides whether targets that did not respond to probes are absent, or whether this node could not reach anything.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "routing/routing_names.h"

#include <optional>
#include <vector>

namespace oriolepick {

/// A probe to which a target did not respond in time.
struct silent_probe {
    target_name target;
    availability_zone zone; ///< of the target
    instant sentAt;
    instant due; ///< end of the time limit
};

/// What the silence of one target shows.
struct absence_finding {
    target_name target;
    bool absent = false; ///< false: the silence speaks against this node or its link
};

/// Corroborates the silence of targets. A silent target is absent
/// - as soon as another target has responded in time to a probe that was under way together with the silent one, since
///   the link of this node works then;
/// - when a window passes without such a response, unless targets in several zones are silent within it. Zones fail one
///   at a time, so the link of this node is the more likely cause then.
///
/// A node that probes little has no other probes in the window. Its owner may therefore probe the silent target again,
/// together with a target of another zone, and the decision waits for both.
///
/// Only responses to probes count: through a full link, events of streams keep arriving long after they were sent.
/// Targets that fail in another way than by silence need no corroboration. Pure: the owner calls takeFindings() after
/// each change and at nextDue(). Not synchronized.
class absence_evidence {
public:
    /// \param window time after a silent probe for which a decision may wait; at least the time limit of the probes,
    /// so that those sent just before its end can be answered
    explicit absence_evidence(std::chrono::milliseconds window);

    /// Records that \p target responded to a probe that was sent at \p sentAt. An undecided silence of this target is
    /// forgotten.
    void recordResponse(const target_name& target, instant sentAt, instant now);

    /// Records that \p probe got no response. A probe that confirms an undecided silence of the target takes the place
    /// of the earlier one; otherwise, the time of the decision stays.
    void recordSilence(const silent_probe& probe, instant now);

    /// Records that the undecided silence of \p target is being confirmed by further probes: it is decided before
    /// endConfirmation() only if another target responds.
    void beginConfirmation(const target_name& target);

    /// Records that the further probes of \p target have ended.
    /// \param complete whether both were sent; then the silence is decided without waiting for the end of the window
    void endConfirmation(const target_name& target, bool complete);

    /// \return what was decided since the last call
    std::vector<absence_finding> takeFindings(instant now);

    /// \return when the next decision is due without further events; instant::max() without undecided silences,
    /// or while all of them are being confirmed
    instant nextDue() const;

private:
    struct response {
        target_name target;
        instant sentAt;
        instant receivedAt;
    };
    enum class confirmation_state { None, UnderWay, Complete };
    struct silence {
        silent_probe probe;
        instant recordedAt;
        bool corroborated = false; // another target responded
        confirmation_state confirmation = confirmation_state::None;
        bool decided = false; // kept to be compared with others
    };

    static bool corroborates(const response& response, const silent_probe& probe);
    bool isCorroborated(const silent_probe& probe) const;
    void setConfirmation(const target_name& target, confirmation_state state);
    bool isInSeveralZones(const silence& silence) const;

    std::chrono::milliseconds m_window;
    std::vector<silence> m_silences;
    std::optional<response> m_lastResponse;
    std::optional<response> m_lastResponseOfOther; // of another target than m_lastResponse
};

} // namespace oriolepick
