/// \file
/// The program platform-emulator.
#include "standins/platform_emulator.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr char Usage[] = R"(Emulates the platform of Oriolepick: table, object store, instance list and weight store.

Usage:
  platform-emulator [options]

Options:
  --host=ADDRESS             Address to listen on [default: 127.0.0.1].
  --port=PORT                Port to listen on, 0 for any free one [default: 0].
  --seed=SEED                Seed of probabilistic faults [default: 1].
  --instance-lag-ms=MS       Age of the instance list that is shown [default: 1000].
  --weights-per-second=RATE  Loads per second of the weight store [default: 4].
  --weight-burst=COUNT       Loads that may start at once [default: 4].
  --threads=COUNT            Connections served at once [default: 128].
  -h --help                  Show this text.
)";

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc }, true);
    oriolepick::platform_emulator_options options;
    try {
        options.host = arguments["--host"].asString();
        options.port = std::stoi(arguments["--port"].asString());
        options.seed = std::stoull(arguments["--seed"].asString());
        options.instanceLag = std::chrono::milliseconds(std::stol(arguments["--instance-lag-ms"].asString()));
        options.weightsPerSecond = std::stod(arguments["--weights-per-second"].asString());
        options.weightBurst = std::stoul(arguments["--weight-burst"].asString());
        options.threads = std::stoul(arguments["--threads"].asString());
    } catch (const std::logic_error&) {
        std::cerr << "platform-emulator: an option's value is not a number in range; see --help\n";
        return 2;
    }

    // Blocked before any thread starts, so that only sigwait below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    oriolepick::platform_emulator emulator(options);
    if (const auto started = emulator.start(); !started) {
        std::cerr << "platform-emulator: " << started.error().message << "\n";
        return 1;
    }
    std::cout << "listening on " << emulator.address() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    // Idle connections would hold up an orderly stop for their keep-alive time; there is no state to save.
    std::_Exit(0);
}
