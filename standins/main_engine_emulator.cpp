/// \file
/// Program engine-emulator: one emulated model engine.
#include "standins/engine_emulator.h"
#include "standins/program_options.h"

#include <cstdlib>
#include <iostream>

using namespace oriolepick;

namespace {

constexpr char Usage[] = R"(Emulates a model engine over HTTP.

Usage:
  engine-emulator --listen=ADDR --model=REF... [options]
  engine-emulator --help

Options:
  --listen=ADDR             Address ip:port; port 0 takes any free one.
  --model=REF               Model loaded at the start: fleet/model@version or fleet/model@version+adapter.
  --role=NAME               Role reported at the start. [default: mixed]
  --salt=N                  Enters each output token; 0 makes all engines give equal answers. [default: 0]
  --seed=N                  Seed of the loss of cache events. [default: 1]
  --step-us=N               Step with an empty batch, microseconds. [default: 20000]
  --step-per-attempt-us=N   Added to a step for each attempt in the batch. [default: 100]
  --prefill-us=N            Prefill time per uncached prompt token. [default: 100]
  --batch=N                 Most attempts that run at a time. [default: 64]
  --max-queue=N             Most attempts that wait. [default: 256]
  --kv-tokens=N             Memory in tokens, also of the prefix cache. [default: 1000000]
  --cache-event-delay-ms=N  Delay of cache events. [default: 200]
  --cache-event-loss=N      Share of lost cache events, percent. [default: 0]
  --load-lag-ms=N           Lag of load reports. [default: 100]
  --attachable-ms=N         How long an attempt outlives its reader. [default: 10000]
  --weight-mb=N             Weights of a model, megabytes. [default: 1000]
  --weight-rate-mb=N        Rate of loading weights, megabytes a second. [default: 1000]
  --ignore-fencing          Take orders with stale fencing numbers.
  --crash-on=TEXT           Exit at once when a prompt containing TEXT runs.
  --connections=N           Most connections at a time. [default: 4096]
)";

engine_settings readSettings(const program_options& options)
{
    engine_settings settings;
    for (const auto& text : options.list("--model"))
        settings.models.push_back(options.checked("--model", text, parseModelRef));
    settings.role = options.text("--role");
    settings.salt = options.number("--salt");
    settings.seed = options.number("--seed");
    settings.stepBase = std::chrono::microseconds(options.number("--step-us"));
    settings.stepPerAttempt = std::chrono::microseconds(options.number("--step-per-attempt-us"));
    settings.prefillPerToken = std::chrono::microseconds(options.number("--prefill-us"));
    settings.batch = static_cast<std::uint32_t>(options.number("--batch"));
    settings.maxQueue = static_cast<std::uint32_t>(options.number("--max-queue"));
    settings.kvTokens = options.number("--kv-tokens");
    settings.cacheEventDelay = std::chrono::milliseconds(options.number("--cache-event-delay-ms"));
    settings.cacheEventLossPercent = static_cast<std::uint32_t>(options.number("--cache-event-loss"));
    settings.loadReportLag = std::chrono::milliseconds(options.number("--load-lag-ms"));
    settings.attachableFor = std::chrono::milliseconds(options.number("--attachable-ms"));
    settings.weightBytes = options.number("--weight-mb") * 1'000'000;
    settings.weightBytesPerSecond = options.number("--weight-rate-mb") * 1'000'000;
    settings.checksFencing = !options.flag("--ignore-fencing");
    settings.crashOn = options.text("--crash-on");
    settings.maxConnections = options.number("--connections");
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    const program_options options(Usage, argc, argv);
    blockTerminationSignals();
    raiseOpenFileLimit();
    // No destructors, flushes or goodbyes: to its callers it looks like a crash.
    engine_emulator emulator(readSettings(options), [] { std::_Exit(134); });
    if (!emulator.start(options.text("--listen"))) {
        std::cerr << "engine-emulator: cannot listen on " << options.text("--listen") << "\n";
        return 1;
    }
    std::cout << "listening on " << emulator.address() << std::endl;
    waitForTermination();
    emulator.stop();
    return 0;
}
