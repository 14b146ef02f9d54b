/// \file
/// Detection of stalled token streams, adaptive to the token rates of the stream and of other streams of its target.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <optional>

namespace oriolepick {

/// Settings of a stall detector, set by the resume policy.
struct stall_settings {
    std::chrono::microseconds shortestGap { 250'000 }; ///< a shorter gap between tokens is never suspected
    std::chrono::microseconds longestGap { 1'500'000 }; ///< a longer gap between tokens is always suspected
    double deviations = 6; ///< suspected gap above the mean gap, in mean deviations
    double prefillFactor = 2; ///< factor on the expected time to the first token before suspicion
    /// Time added to the expected time to the first token before suspicion.
    std::chrono::microseconds prefillSlack { 500'000 };
};

/// Recent token rate of one target over all streams that this node reads from it.
struct target_pace {
    instant lastProgress; ///< when any stream last produced a token
    std::chrono::microseconds meanGap { 0 }; ///< smoothed inter-token time of its streams
};

/// Provides the token rates of targets.
class target_pace_source {
public:
    virtual ~target_pace_source() = default;

    /// \return the token rate of \p target, or nothing if none of its streams was read
    virtual std::optional<target_pace> paceOf(const target_id& target) const = 0;
};

/// Tracks the token rates of all targets that a node reads streams from. Not synchronized: one per event loop, or
/// guarded.
class target_pace_tracker : public target_pace_source {
public:
    /// Records the time between two tokens of one stream.
    void recordGap(const target_id& target, std::chrono::microseconds gap, instant now);

    /// Removes the record of a target that no longer exists.
    void forget(const target_id& target);

    std::optional<target_pace> paceOf(const target_id& target) const override;

private:
    absl::flat_hash_map<target_id, target_pace> m_paces;
};

/// Stall detector of one stream.
class stall_detector {
public:
    explicit stall_detector(const stall_settings& settings);

    /// Restarts the detector for the first token of an attempt.
    /// \param expectedFirstToken estimated queueing and prefill time, 0 if unknown
    void attemptStarted(instant now, std::chrono::microseconds expectedFirstToken);

    /// Restarts the wait after an attach to the same attempt and keeps the token rate measured so far.
    void reattached(instant now);

    /// Records a token.
    void tokenArrived(instant now);

    /// \param pace token rate of the target over all its streams, if known
    /// \return when the stream becomes suspected if no token arrives
    instant suspectAt(const std::optional<target_pace>& pace) const;

    /// \return when the next token is expected at the usual token rate, earlier than suspectAt
    instant nextTokenExpectedAt(const std::optional<target_pace>& pace) const;

    /// \return whether other streams of the target made progress after this one stopped, which means that the target is
    /// slow or busy rather than dead
    bool otherStreamsProgress(const std::optional<target_pace>& pace, instant now) const;

    instant lastProgress() const { return m_lastProgress; }

private:
    std::chrono::microseconds allowedGap(const std::optional<target_pace>& pace) const;

    stall_settings m_settings;
    instant m_lastProgress;
    std::chrono::microseconds m_expectedFirstToken { 0 };
    bool m_awaitsFirstToken = true;
    int m_gaps = 0; ///< number of gaps between tokens recorded
    double m_mean = 0; ///< microseconds
    double m_deviation = 0; ///< microseconds
};

} // namespace oriolepick
