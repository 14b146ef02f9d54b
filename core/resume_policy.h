/// \file
/// Policies for stalled and broken streams: when to wait, probe, hedge, attach, continue or replay.
#pragma once

#include "core/stall_detector.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace oriolepick {

/// Input of a policy decision about a stalled stream.
struct stall_observation {
    std::chrono::milliseconds timeSinceProgress { 0 }; ///< time since the stream's last progress
    std::uint32_t round = 0; ///< number of earlier decisions about this stall
    bool otherStreamsProgress = false; ///< other streams of the target make progress
    bool reportedLost = false; ///< a peer reported the target as lost
    bool probed = false; ///< a probe was sent during this stall
    std::uint32_t failedProbes = 0; ///< probes of this stall without a positive result, including a pending one
    std::optional<bool> probeAlive; ///< whether the probe found the target alive, if the result is known
    std::optional<bool> probeHasAttempt; ///< whether the target still runs the attempt, if the result is known
    bool hedgeRunning = false; ///< a second attempt exists
};

/// Reaction to a stalled stream.
enum class stall_action {
    Wait, ///< check again later
    Probe, ///< probe the target
    Hedge, ///< place a second attempt
    Abandon, ///< treat the target as dead
};

/// A reaction and the delay before the next check.
struct stall_decision {
    stall_action action = stall_action::Wait;
    std::chrono::milliseconds recheckAfter { 250 };
};

/// Constant settings of a policy.
struct resume_rules {
    stall_settings stall;
    bool attachFirst = true; ///< try to attach to the running attempt before using another target
    bool keepPrefix = true; ///< continue from the delivered tokens; false replays from the prompt
    bool duplicate = false; ///< always run a second attempt
    bool preferCached = false; ///< prefer targets that have the prefix cached
    std::chrono::milliseconds attachTimeout { 250 }; ///< timeout for the acceptance of an attach
    std::chrono::milliseconds acceptTimeout { 500 }; ///< a start that is not accepted within this time is suspected
    /// Cap on the estimated time to the first token while a stream is interrupted.
    std::chrono::milliseconds maxFirstTokenEstimate { 2000 };
    /// How long to search for a target after an interruption.
    std::chrono::milliseconds resumePlacementTimeout { 3000 };
    std::chrono::milliseconds placementRetryDelay { 100 }; ///< delay before the next search for a target
    std::uint32_t maxLostTargets = 3; ///< crashes of targets under one request after which it fails
    std::uint32_t maxAttaches = 2; ///< consecutive attaches without progress
    std::uint32_t maxRejections = 6; ///< rejections of one request after which it fails
};

/// Policy for one class of work. Stateless; one object serves all generations.
class resume_policy {
public:
    virtual ~resume_policy() = default;

    /// \return the policy's name in tickets and reports
    virtual std::string_view name() const = 0;

    virtual const resume_rules& rules() const = 0;

    /// \return the reaction to \p stall
    virtual stall_decision decide(const stall_observation& stall) const = 0;
};

/// Suspects early and hedges without waiting for a probe result, for the lowest resume latency.
class latency_first_policy : public resume_policy {
public:
    latency_first_policy();
    std::string_view name() const override { return "latency_first"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// Probes, waits, and prefers targets that have the prefix cached, for the least extra computation.
class waiting_policy : public resume_policy {
public:
    waiting_policy();
    std::string_view name() const override { return "waiting"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// Baseline for benchmarks only: restarts an interrupted response from the prompt.
class restart_policy : public resume_policy {
public:
    restart_policy();
    std::string_view name() const override { return "restart"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// Baseline for benchmarks only: abandons a stream after 5 s without progress and continues on another target.
class fixed_timeout_policy : public resume_policy {
public:
    fixed_timeout_policy();
    std::string_view name() const override { return "fixed_timeout"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// Baseline for benchmarks only: always runs two attempts in parallel.
class duplicate_policy : public resume_policy {
public:
    duplicate_policy();
    std::string_view name() const override { return "duplicate"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// \return a new policy for a name used in tickets ("latency_first", "waiting"), null for any other name
std::unique_ptr<resume_policy> makeResumePolicy(std::string_view name);

} // namespace oriolepick
