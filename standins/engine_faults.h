/// \file
/// Faults of an emulated engine that can be switched while it runs.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

/// How a stream is broken on purpose.
enum class stream_fault { None, Truncate, Reset, Garbage };

/// What breaks one stream.
struct stream_fault_plan {
    stream_fault fault = stream_fault::None;
    std::uint32_t after = 0; ///< tokens of the response that are sent before the fault
};

/// The switches. Thread-safe.
class engine_faults {
public:
    /// Sets the switches named in a JSON object: "pause" (bool), "slow_factor" (number), "truncate_after",
    /// "reset_after", "garbage_after" (number of tokens, null for off), "fault_streams" (how many of the streams
    /// opened from now on get the fault), "reject" ("queue_full", "draining", "not_loaded", "error" or "").
    /// \return what is wrong, empty for nothing
    std::string apply(std::string_view text);

    /// Blocks while output is paused.
    void waitWhilePaused();

    bool paused() const;
    double slowFactor() const;
    std::string rejection() const;

    /// Takes the plan for a stream that opens now.
    stream_fault_plan takeStreamPlan();

    /// Ends all pauses for good, for shutdown.
    void release();

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_resumed;
    bool m_paused = false;
    bool m_released = false;
    double m_slowFactor = 1;
    stream_fault_plan m_plan;
    std::optional<std::uint32_t> m_streams;
    std::string m_rejection;
};

} // namespace oriolepick
