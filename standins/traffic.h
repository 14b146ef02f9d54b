/// \file
/// What the load tool sends.
#pragma once

#include "core/names.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// Streamed completions of one team.
struct completion_traffic {
    std::string bearer; ///< the team's token
    std::string model; ///< the deployment, as the caller names it
    model_ref ref; ///< what the deployment resolves to, for the checker
    double rate = 1; ///< requests a second
    std::uint32_t promptBytes = 400;
    std::uint32_t sharedBytes = 0; ///< start of the prompt that all requests of this traffic share
    std::vector<std::uint32_t> maxTokens { 100 }; ///< one is drawn for each request
    std::int64_t priority = 0;
    bool sendsPriority = false;
    std::uint32_t deadlineMs = 0; ///< 0 for none
    std::uint32_t fixedLength = 0; ///< length of each answer, 0 for a drawn one
    std::string promptText; ///< put into each prompt, for example a text that crashes engines
};

/// Plain calls of one team.
struct call_traffic {
    std::string bearer;
    std::string service; ///< as the caller names it
    std::string path = "/orders";
    std::string method = "POST";
    double rate = 1;
    bool repeatable = false; ///< declared so: may run more than once
};

/// Everything that one run of the load tool needs.
struct load_plan {
    std::vector<std::string> nodes; ///< addresses "ip:port"
    std::vector<std::string> services; ///< addresses of service emulators, to compare runs with answers
    std::vector<completion_traffic> completions;
    std::vector<call_traffic> calls;
    std::vector<std::uint64_t> salts { 0 };
    std::chrono::milliseconds duration { 10'000 }; ///< of sending; requests under way are waited for
    std::chrono::milliseconds patience { 60'000 }; ///< a caller gives up a request after this time
    std::chrono::milliseconds idle { 5'000 }; ///< a caller leaves a connection without any byte for so long
    bool returnsTokens = true; ///< send received_token_ids when resuming
    std::uint64_t seed = 1;
    std::uint32_t maxOpen = 4000; ///< requests under way; beyond it none is sent and "skipped" counts
};

/// Parses "bearer=T,model=manuals,ref=fleet/model@version,rate=5,prompt=400,shared=256,tokens=20:200,priority=3,
/// deadline=9000,length=50,text=WORDS".
/// \return nothing when a field is unknown or malformed
std::optional<completion_traffic> parseCompletionTraffic(const std::string& text);

/// Parses "bearer=T,service=booking,path=/orders,method=POST,rate=2,repeatable=yes".
/// \return nothing when a field is unknown or malformed
std::optional<call_traffic> parseCallTraffic(const std::string& text);

} // namespace oriolepick
