/// \file
/// Outlier detection for the targets of one group: ejects slow, failing or unresponsive targets and reinstates them
/// after successful probes.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace oriolepick {

/// Outcome of one request, as far as it shows the health of the target.
enum class target_outcome {
    Success,
    Error, ///< connection reset, 5xx response or truncated stream
    NoProgress, ///< the target accepted the request and then did not respond
};

/// Reason of an ejection.
enum class ejection_reason { Errors, NoProgress, Slow };

/// Action: send no new requests to the target.
struct eject_target {
    target_id target;
    ejection_reason reason = ejection_reason::Errors;
};

/// Action: send one small inference or service request and report its outcome to recordProbe. A health check is not
/// sufficient, because a target that makes no progress on requests may still respond to it.
struct probe_ejected_target {
    target_id target;
};

/// Action: send requests to the target again.
struct reinstate_target {
    target_id target;
};

using ejector_action = std::variant<eject_target, probe_ejected_target, reinstate_target>;

/// Settings of outlier_ejector.
struct outlier_settings {
    std::uint32_t consecutiveFailures = 5; ///< this many failures in a row eject a target before the window ends
    double failureShare = 0.5; ///< a higher share of failures in a window ejects a target
    /// A window with fewer samples is not evaluated, except for consecutive failures.
    std::uint32_t minimumSamples = 10;
    double slowFactor = 3.0; ///< a mean latency above the group's median by this factor ejects a target
    std::chrono::milliseconds slowLatencyFloor { 200 }; ///< a mean latency up to this value never ejects a target
    std::chrono::milliseconds window { 10'000 };
    double maximumEjectedShare = 0.3; ///< share of the group's targets that may be ejected at the same time
    /// Time from an ejection to the first probe, doubled by each consecutive ejection.
    std::chrono::milliseconds baseEjectionTime { 5'000 };
    std::chrono::milliseconds maximumEjectionTime { 60'000 }; ///< upper bound of the doubled time
    std::chrono::milliseconds probeInterval { 1'000 };
    std::uint32_t probesToReinstate = 2; ///< consecutive successful probes that reinstate a target
};

/// Decides which targets of one group are ejected. All targets of the group serve the same work.
class outlier_ejector {
public:
    explicit outlier_ejector(outlier_settings settings = {});

    void addTarget(const target_id& target);
    void removeTarget(const target_id& target);

    /// Records the outcome of a request; ignored for an ejected target.
    /// \param latency time to first token minus the expected prefill time; used only if \p outcome is Success
    void recordOutcome(const target_id& target, target_outcome outcome, std::chrono::milliseconds latency);

    /// Records the outcome of a probe_ejected_target action.
    void recordProbe(const target_id& target, bool succeeded, instant now);

    /// Decides which targets are ejected, probed and reinstated. Must be called a few times per second.
    /// \return the actions for the caller to carry out
    std::vector<ejector_action> evaluate(instant now);

    bool isEjected(const target_id& target) const;
    std::size_t ejectedCount() const;

    /// \return how many targets may be ejected at the same time: the configured share, but at least one and never all
    std::size_t maximumEjected() const;

private:
    struct health {
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        std::uint32_t failuresInRow = 0;
        bool lastFailureWasNoProgress = false;
        std::chrono::milliseconds latencySum { 0 };
        bool ejected = false;
        std::uint32_t ejections = 0; // consecutive, reset by a window with successes and without failures
        std::uint32_t probesSucceeded = 0;
        instant ejectedAt;
        instant nextProbe;
    };

    void reinstateExcess(std::vector<ejector_action>& actions);
    void probeOrReinstate(std::vector<ejector_action>& actions, instant now);
    void ejectFailing(std::vector<ejector_action>& actions, instant now);
    void ejectSlow(std::vector<ejector_action>& actions, instant now);
    void eject(const target_id& target, health& state, ejection_reason reason, std::vector<ejector_action>& actions,
        instant now);
    void startWindow();
    bool isFailing(const health& state) const;

    outlier_settings m_settings;
    std::map<target_id, health> m_targets; // ordered, so that decisions do not depend on the hash order
    bool m_started = false;
    instant m_windowStart;
};

} // namespace oriolepick
