/// \file
/// Detection of stalled token streams, adaptive to the stream's own pace and to its target's other streams.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <optional>

namespace oriolepick {

/// Limits of a stall detector, set by the resume policy.
struct stall_settings {
    std::chrono::microseconds shortestGap { 250'000 }; ///< no gap below this is suspected
    std::chrono::microseconds longestGap { 1'500'000 }; ///< every gap above this is suspected
    double deviations = 6; ///< gap above the mean, in mean deviations, that is suspected
    double prefillFactor = 2; ///< how far the expected time to the first token may be exceeded
    std::chrono::microseconds prefillSlack { 500'000 }; ///< allowed on top of the expected time to the first token
};

/// Recent token rate of one target over all streams that this node reads from it.
struct target_pace {
    instant lastProgress; ///< when any stream last produced a token
    std::chrono::microseconds meanGap { 0 }; ///< smoothed inter-token time of its streams
};

/// Where the pace of targets is looked up.
class target_pace_source {
public:
    virtual ~target_pace_source() = default;

    /// \return the pace of \p target, or nothing when no stream of it was seen
    virtual std::optional<target_pace> paceOf(const target_id& target) const = 0;
};

/// The paces of all targets that a node reads streams from. Not synchronized: one per event loop, or guarded.
class target_pace_tracker : public target_pace_source {
public:
    /// Records an inter-token time of one stream.
    void recordGap(const target_id& target, std::chrono::microseconds gap, instant now);

    /// Drops the record of a target that is gone.
    void forget(const target_id& target);

    std::optional<target_pace> paceOf(const target_id& target) const override;

private:
    absl::flat_hash_map<target_id, target_pace> m_paces;
};

/// Detector of one stream.
class stall_detector {
public:
    explicit stall_detector(const stall_settings& settings);

    /// Starts waiting for the first token of an attempt.
    /// \param expectedFirstToken estimated queueing and prefill time, 0 when not known
    void attemptStarted(instant now, std::chrono::microseconds expectedFirstToken);

    /// Waits again after an attach to the same attempt, with the pace measured so far.
    void reattached(instant now);

    /// Records a token.
    void tokenArrived(instant now);

    /// \param pace the target's pace over all its streams, if known
    /// \return when the stream is suspected if no token arrives
    instant suspectAt(const std::optional<target_pace>& pace) const;

    /// \return when the next token is due at the usual pace, earlier than suspectAt
    instant nextTokenExpectedAt(const std::optional<target_pace>& pace) const;

    /// \return whether other streams of the target progressed after this one stopped, so that the target is slow or
    /// busy rather than dead
    bool otherStreamsProgress(const std::optional<target_pace>& pace, instant now) const;

    instant lastProgress() const { return m_lastProgress; }

private:
    std::chrono::microseconds allowedGap(const std::optional<target_pace>& pace) const;

    stall_settings m_settings;
    instant m_lastProgress;
    std::chrono::microseconds m_expectedFirstToken { 0 };
    bool m_awaitsFirstToken = true;
    int m_gaps = 0; ///< inter-token times recorded
    double m_mean = 0; ///< microseconds
    double m_deviation = 0; ///< microseconds
};

} // namespace oriolepick
