/// \file
/// Program load-tool: callers with a checker.
#include "standins/http_listener.h"
#include "standins/load_tool.h"
#include "standins/program_options.h"

#include <absl/strings/numbers.h>

#include <iostream>

using namespace oriolepick;

namespace {

constexpr char Usage[] = R"(Plays callers against nodes, checks every answer, prints one JSON object.
Exits with 1 when a token was missing, repeated or mixed, a call was doubled or lost, or ran after "not run".

Usage:
  load-tool --node=ADDR... [--completions=SPEC]... [--calls=SPEC]... [--service=ADDR]... [--salt=N]... [options]
  load-tool --help

Options:
  --node=ADDR         Node, ip:port.
  --completions=SPEC  bearer=T,model=NAME,ref=fleet/model@version,rate=5,prompt=400,shared=256,tokens=20:200,
                      priority=3,deadline=9000,length=50,text=WORDS; only model and ref are required.
  --calls=SPEC        bearer=T,service=NAME,path=/orders,method=POST,rate=2,repeatable=no; only service is required.
  --service=ADDR      Service emulator whose runs are compared with the answers at the end.
  --salt=N            Salt of an engine that may answer; without any, 0.
  --duration-ms=N     Time of sending. [default: 10000]
  --patience-ms=N     Time after which a caller gives up. [default: 60000]
  --idle-ms=N         Time without any byte after which a caller reconnects. [default: 5000]
  --max-open=N        Most requests under way. [default: 4000]
  --seed=N            Seed of intervals, prompts and lengths. [default: 1]
  --no-tokens         Do not return the received tokens when resuming.
)";

std::optional<std::uint64_t> parseNumber(const std::string& text)
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? std::optional<std::uint64_t>(number) : std::nullopt;
}

load_plan readPlan(const program_options& options)
{
    load_plan plan;
    plan.nodes = options.list("--node");
    plan.services = options.list("--service");
    for (const auto& text : options.list("--completions"))
        plan.completions.push_back(options.checked("--completions", text, parseCompletionTraffic));
    for (const auto& text : options.list("--calls"))
        plan.calls.push_back(options.checked("--calls", text, parseCallTraffic));
    const auto salts = options.list("--salt");
    if (!salts.empty())
        plan.salts.clear();
    for (const auto& text : salts)
        plan.salts.push_back(options.checked("--salt", text, parseNumber));
    plan.duration = std::chrono::milliseconds(options.number("--duration-ms"));
    plan.patience = std::chrono::milliseconds(options.number("--patience-ms"));
    plan.idle = std::chrono::milliseconds(options.number("--idle-ms"));
    plan.maxOpen = static_cast<std::uint32_t>(options.number("--max-open"));
    plan.seed = options.number("--seed");
    plan.returnsTokens = !options.flag("--no-tokens");
    return plan;
}

} // namespace

int main(int argc, char** argv)
{
    const program_options options(Usage, argc, argv);
    raiseOpenFileLimit();
    load_tool tool(readPlan(options));
    std::cout << tool.run() << std::endl;
    return tool.foundFault() ? 1 : 0;
}
