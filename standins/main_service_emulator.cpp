/// \file
/// Program service-emulator: one emulated plain service.
#include "standins/program_options.h"
#include "standins/service_emulator.h"

#include <cstdlib>
#include <iostream>

using namespace oriolepick;

namespace {

constexpr char Usage[] = R"(Emulates a plain service over HTTP and counts the runs of each call by its key.

Usage:
  service-emulator --listen=ADDR [options]
  service-emulator --help

Options:
  --listen=ADDR    Address ip:port; port 0 takes any free one.
  --connections=N  Most connections at a time. [default: 1024]
)";

} // namespace

int main(int argc, char** argv)
{
    const program_options options(Usage, argc, argv);
    blockTerminationSignals();
    raiseOpenFileLimit();
    service_emulator emulator(options.number("--connections"), [] { std::_Exit(134); });
    if (!emulator.start(options.text("--listen"))) {
        std::cerr << "service-emulator: cannot listen on " << options.text("--listen") << "\n";
        return 1;
    }
    std::cout << "listening on " << emulator.address() << std::endl;
    waitForTermination();
    emulator.stop();
    return 0;
}
