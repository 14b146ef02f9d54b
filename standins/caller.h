/// \file
/// One emulated caller: a request that is repeated at other nodes until it has its final answer.
#pragma once

#include "standins/answer_checker.h"
#include "standins/traffic.h"
#include "standins/value_summary.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace oriolepick {

/// How a request ended for its caller.
enum class caller_outcome {
    Complete, ///< whole answer, or a response of the service
    NotRun, ///< final error that says "not run"
    MayHaveRun, ///< final error that says that it may have run or ran
    GaveUp, ///< no final answer in the caller's time
};

/// What one caller saw.
struct caller_report {
    caller_outcome outcome = caller_outcome::GaveUp;
    std::string errorCode; ///< of a final error
    std::uint32_t connections = 0;
    std::uint32_t breaks = 0; ///< connections that ended before the answer did
    std::uint64_t tokens = 0;
    answer_faults faults;
    std::optional<std::chrono::nanoseconds> firstToken; ///< from the first send
    value_summary betweenTokens;
    std::chrono::nanoseconds longestGap { 0 }; ///< between two tokens
    std::chrono::nanoseconds longestConnectedGap { 0 }; ///< between two tokens of one connection
    std::chrono::nanoseconds longestBreakGap { 0 }; ///< between two tokens with a break between them
};

/// A streamed completion.
struct completion_call {
    const completion_traffic* traffic = nullptr;
    std::string key;
    std::string prompt;
    std::uint64_t seed = 0;
    std::uint32_t maxTokens = 0;
};

/// Runs a completion; blocks until its end.
/// \param firstNode index of the node to begin with
caller_report runCompletion(const load_plan& plan, const completion_call& call, std::size_t firstNode);

/// Runs a plain call; blocks until its end.
caller_report runPlainCall(
    const load_plan& plan, const call_traffic& traffic, const std::string& key, std::size_t firstNode);

} // namespace oriolepick
