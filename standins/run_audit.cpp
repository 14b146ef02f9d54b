#include "standins/run_audit.h"

#include "core/memory_budget.h"
#include "targets/call_abort.h"
#include "targets/http_service_client.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

void run_audit::judge(caller_outcome outcome, bool repeatable, std::uint64_t runs)
{
    if (runs > 1)
        ++(repeatable ? repeated : doubled);
    switch (outcome) {
    case caller_outcome::Complete:
        lost += runs ? 0 : 1;
        break;
    case caller_outcome::NotRun:
        ranAfterNotRun += runs ? 1 : 0;
        break;
    case caller_outcome::MayHaveRun:
    case caller_outcome::GaveUp:
        ++(runs ? unknownRan : unknownNotRun);
        break;
    }
}

recorded_runs readRuns(const std::vector<std::string>& services)
{
    recorded_runs runs;
    constexpr std::size_t MaxListBytes = std::size_t { 256 } << 20;
    constexpr std::size_t MemoryPerListByte = 16; // copies of the list and growth
    memory_budget memory(MemoryPerListByte * MaxListBytes, 0);
    http_service_client client(memory, MaxListBytes);
    for (const auto& service : services) {
        call_abort abort;
        const auto outcome = client.call(service, { "GET", "/runs", {}, {} }, {}, abort);
        const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
        if (outcome.kind != service_outcome_kind::Response || !body.is_object() || !body.contains("runs")
            || !body["runs"].is_object()) {
            runs.unreachable.push_back(service);
            continue;
        }
        for (const auto& [key, count] : body["runs"].items()) {
            if (count.is_number_unsigned())
                runs.byKey[key.substr(key.rfind('/') + 1)] += count.get<std::uint64_t>();
        }
    }
    return runs;
}

std::uint64_t runsOf(const recorded_runs& runs, const std::string& key)
{
    const auto found = runs.byKey.find(key);
    return found == runs.byKey.end() ? 0 : found->second;
}

} // namespace oriolepick
