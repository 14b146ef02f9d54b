/// \file
/// Program demo-caller: one long streamed generation, checked token by token and reported for a person.
#include "standins/caller.h"
#include "standins/program_options.h"

#include <cstdio>
#include <iostream>

using namespace oriolepick;

namespace {

constexpr char Usage[] = R"(Streams one generation from the nodes, reconnects with its cursor, and compares every token.

Usage:
  demo-caller --node=ADDR... --bearer=TOKEN --model=NAME --ref=REF [--salt=N]... [options]
  demo-caller --help

Options:
  --node=ADDR      Node, ip:port; the first is asked first.
  --bearer=TOKEN   The team's token.
  --model=NAME     Deployment as the caller names it.
  --ref=REF        What it resolves to: fleet/model@version.
  --salt=N         Salt of an engine that may answer.
  --length=N       Tokens of the answer. [default: 300]
  --key=KEY        Request key. [default: demo-1]
)";

double seconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double>(value).count();
}

void print(const caller_report& report, std::uint64_t expected)
{
    std::printf("tokens expected %llu, received %llu, missing %llu, repeated %llu, mixed %llu\n",
        static_cast<unsigned long long>(expected), static_cast<unsigned long long>(report.tokens),
        static_cast<unsigned long long>(report.faults.missing), static_cast<unsigned long long>(report.faults.repeated),
        static_cast<unsigned long long>(report.faults.mixed));
    std::printf("connections %u, broken %u\n", report.connections, report.breaks);
    std::printf("resume latency, engine's death: %.3f s (longest gap within a connection)\n",
        seconds(report.longestConnectedGap));
    std::printf(
        "resume latency, node's death: %.3f s (longest gap over a reconnect)\n", seconds(report.longestBreakGap));
}

} // namespace

int main(int argc, char** argv)
{
    const program_options options(Usage, argc, argv);
    const auto length = static_cast<std::uint32_t>(options.number("--length"));
    const auto traffic = parseCompletionTraffic("bearer=" + options.text("--bearer")
        + ",model=" + options.text("--model") + ",ref=" + options.text("--ref") + ",length=" + std::to_string(length));
    if (!traffic) {
        std::cerr << "--bearer, --model or --ref: malformed\n";
        return 2;
    }
    load_plan plan;
    plan.nodes = options.list("--node");
    plan.completions = { *traffic };
    plan.salts.clear();
    for (const auto& salt : options.list("--salt"))
        plan.salts.push_back(std::stoull(salt));
    completion_call call;
    call.traffic = &plan.completions.front();
    call.key = options.text("--key");
    call.prompt = "Summarise the service manual of this handset. [length=" + std::to_string(length) + "]";
    call.seed = 7;
    call.maxTokens = length + 1;
    const auto report = runCompletion(plan, call, 0);
    print(report, length);
    const bool whole = report.outcome == caller_outcome::Complete && report.tokens == length && !report.faults.any();
    return whole ? 0 : 1;
}
