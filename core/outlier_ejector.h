/// \file
/// Ejection of slow, erring or half-alive targets of one group, and their return through probes.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace oriolepick {

/// How one request ended as far as the health of its target is concerned.
enum class target_outcome {
    Success,
    Error, ///< reset, 5xx, truncated stream
    NoProgress, ///< accepted and then silent: the target is half alive
};

/// Why a target was ejected.
enum class ejection_reason { Errors, NoProgress, Slow };

/// No new requests to the target.
struct eject_target {
    target_id target;
    ejection_reason reason = ejection_reason::Errors;
};

/// Send one small real request (not a health check, which a half-alive target answers) and report its outcome.
struct probe_ejected_target {
    target_id target;
};

/// The target takes requests again.
struct reinstate_target {
    target_id target;
};

using ejector_action = std::variant<eject_target, probe_ejected_target, reinstate_target>;

/// Settings of outlier_ejector.
struct outlier_settings {
    std::uint32_t consecutiveFailures = 5; ///< ejects without waiting for a window
    double failureShare = 0.5; ///< ejects when exceeded in a window
    std::uint32_t minimumSamples = 10; ///< fewer samples in a window decide nothing
    double slowFactor = 3.0; ///< ejects when the mean latency exceeds the group's median by this factor
    std::chrono::milliseconds slowLatencyFloor { 200 }; ///< latency below this is never slow
    std::chrono::milliseconds window { 10'000 };
    double maximumEjectedShare = 0.3; ///< of the group's targets that may be ejected at once
    std::chrono::milliseconds baseEjectionTime { 5'000 }; ///< doubled with each ejection in a row
    std::chrono::milliseconds maximumEjectionTime { 60'000 };
    std::chrono::milliseconds probeInterval { 1'000 };
    std::uint32_t probesToReinstate = 2; ///< successful probes in a row
};

/// Decides about the targets of one group, which serve the same work.
class outlier_ejector {
public:
    explicit outlier_ejector(outlier_settings settings = {});

    void addTarget(const target_id& target);
    void removeTarget(const target_id& target);

    /// \param latency time to first token less the expected prefill, ignored unless the outcome is Success
    void recordOutcome(const target_id& target, target_outcome outcome, std::chrono::milliseconds latency);

    /// Records the outcome of a probe_ejected_target action.
    void recordProbe(const target_id& target, bool succeeded, instant now);

    /// Ejects, probes and returns targets. Call a few times a second.
    std::vector<ejector_action> evaluate(instant now);

    bool isEjected(const target_id& target) const;
    std::size_t ejectedCount() const;

    /// \return how many targets may be ejected at once: the declared share, at least one, never all
    std::size_t maximumEjected() const;

private:
    struct health {
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        std::uint32_t failuresInRow = 0;
        bool lastFailureWasNoProgress = false;
        std::chrono::milliseconds latencySum { 0 };
        bool ejected = false;
        std::uint32_t ejections = 0; // in a row, forgotten after a healthy window
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
    std::map<target_id, health> m_targets; // ordered, so that decisions do not depend on hash order
    bool m_started = false;
    instant m_windowStart;
};

} // namespace oriolepick
