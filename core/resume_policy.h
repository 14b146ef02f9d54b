/// \file
/// Strategies for suspected and broken streams: when to wait, probe, hedge, attach, continue or replay.
#pragma once

#include "core/stall_detector.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace oriolepick {

/// What is known about a stalled stream when the policy is asked.
struct stall_observation {
    std::chrono::milliseconds timeSinceProgress { 0 }; ///< time since the stream's last progress
    std::uint32_t round = 0; ///< how often the policy was asked about this stall, from 0
    bool otherStreamsProgress = false; ///< other streams of the target progress
    bool reportedLost = false; ///< a peer reported the target as lost
    bool probed = false; ///< a probe was sent during this stall
    std::uint32_t failedProbes = 0; ///< probes of this stall without a positive answer, including one under way
    std::optional<bool> probeAlive; ///< the probe's answer, if any
    std::optional<bool> probeHasAttempt; ///< the target still runs the attempt, if probed
    bool hedgeRunning = false; ///< a second attempt is under way
};

/// What to do about a stalled stream.
enum class stall_action {
    Wait, ///< only look again later
    Probe, ///< ask the target
    Hedge, ///< place a second attempt
    Abandon, ///< treat the target as dead
};

/// A step and when to look again.
struct stall_decision {
    stall_action action = stall_action::Wait;
    std::chrono::milliseconds recheckAfter { 250 };
};

/// Limits and preferences that do not depend on the moment.
struct resume_rules {
    stall_settings stall;
    bool attachFirst = true; ///< try the engine's own stream before another target
    bool keepPrefix = true; ///< continue from the delivered tokens; false replays from the prompt
    bool duplicate = false; ///< always run a second attempt
    bool preferCached = false; ///< prefer a target with the prefix cached
    std::chrono::milliseconds attachTimeout { 250 }; ///< how long an attach may take to be accepted
    std::chrono::milliseconds acceptTimeout { 500 }; ///< how long a start may take to be accepted without suspicion
    std::chrono::milliseconds maxFirstTokenEstimate {
        2000
    }; ///< longest estimate of a first token believed while a caller waits
    std::chrono::milliseconds resumePlacementTimeout { 3000 }; ///< how long to look for a target after a break
    std::chrono::milliseconds placementRetryDelay { 100 }; ///< pause before asking again for a target
    std::uint32_t maxLostTargets = 3; ///< targets that one request may lose
    std::uint32_t maxAttaches = 2; ///< attaches in a row without progress
    std::uint32_t maxRejections = 6; ///< proven rejections of one request
};

/// Strategy for one class of work. Stateless; one object serves all generations.
class resume_policy {
public:
    virtual ~resume_policy() = default;

    /// \return the policy's name in tickets and reports
    virtual std::string_view name() const = 0;

    virtual const resume_rules& rules() const = 0;

    /// \return what to do about the stall described by \p stall
    virtual stall_decision decide(const stall_observation& stall) const = 0;
};

/// Suspects early and hedges at once: shortest resume latency.
class latency_first_policy : public resume_policy {
public:
    latency_first_policy();
    std::string_view name() const override { return "latency_first"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// Probes, waits, and prefers targets that have the prefix cached: least extra computation.
class waiting_policy : public resume_policy {
public:
    waiting_policy();
    std::string_view name() const override { return "waiting"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// Baseline for benchmarks only: runs a broken response again from the prompt.
class restart_policy : public resume_policy {
public:
    restart_policy();
    std::string_view name() const override { return "restart"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// Baseline for benchmarks only: abandons a stream after 5 s of silence, then continues elsewhere.
class fixed_timeout_policy : public resume_policy {
public:
    fixed_timeout_policy();
    std::string_view name() const override { return "fixed_timeout"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// Baseline for benchmarks only: always runs two attempts.
class duplicate_policy : public resume_policy {
public:
    duplicate_policy();
    std::string_view name() const override { return "duplicate"; }
    const resume_rules& rules() const override { return m_rules; }
    stall_decision decide(const stall_observation& stall) const override;

private:
    resume_rules m_rules;
};

/// \return a new policy by the name that tickets use ("latency_first", "waiting"), nothing for any other name
std::unique_ptr<resume_policy> makeResumePolicy(std::string_view name);

} // namespace oriolepick
