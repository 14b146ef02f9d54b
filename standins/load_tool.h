/// \file
/// Plays many callers against nodes and checks what they got.
#pragma once

#include "standins/caller.h"
#include "standins/traffic.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace oriolepick {

class elastic_thread_pool;
class seeded_random;

/// One run of the load tool.
class load_tool {
public:
    explicit load_tool(load_plan plan);

    /// Sends the traffic, waits for all callers, compares with the service emulators.
    /// \return one JSON object; see docs/targets.md
    std::string run();

    /// \return whether the last run found a token fault, a doubled or lost call, or a call that ran after "not run"
    bool foundFault() const { return m_foundFault; }

private:
    struct totals {
        std::uint64_t sent = 0;
        std::uint64_t skipped = 0; ///< not sent because too many requests were under way
        std::map<caller_outcome, std::uint64_t> outcomes;
        std::map<std::string, std::uint64_t> errors; ///< final errors by code
        std::uint64_t breaks = 0;
        std::uint64_t tokens = 0;
        answer_faults faults;
        value_summary firstToken;
        value_summary betweenTokens;
        value_summary longestGap;
        value_summary breakGap;
    };
    struct sent_call {
        caller_outcome outcome = caller_outcome::GaveUp;
        bool repeatable = false;
    };

    void sendCompletions(const completion_traffic& traffic, std::uint64_t seed, elastic_thread_pool& pool);
    void sendCalls(const call_traffic& traffic, std::uint64_t seed, elastic_thread_pool& pool);
    /// Calls \p send at random intervals of mean 1/rate until the plan's end.
    template <typename Send> void pace(double rate, seeded_random& random, Send send);
    bool openOne(totals& where);
    void closeOne(totals& where, const caller_report& report);
    std::string resultJson(double seconds);

    const load_plan m_plan;
    std::mutex m_mutex;
    std::uint32_t m_open = 0;
    totals m_completions;
    totals m_plainCalls;
    std::map<std::string, sent_call> m_calls; ///< by key
    bool m_foundFault = false;
};

} // namespace oriolepick
