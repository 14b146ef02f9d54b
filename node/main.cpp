#include "config/settings_json.h"
#include "core/heap_settings.h"
#include "node/daemon.h"
#include "node/node_log.h"

#include <docopt/docopt.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <pthread.h>
#include <sstream>

namespace {

constexpr const char* Version = "oriolepickd 0.1.0";
constexpr const char* Usage = R"(oriolepickd: a node of the serving system.

Usage:
  oriolepickd --settings FILE
  oriolepickd --check-settings FILE
  oriolepickd --settings-reference
  oriolepickd (-h | --help)
  oriolepickd --version

Options:
  --settings FILE         Serve with the settings in FILE; SIGTERM performs a planned stop.
  --check-settings FILE   Check FILE, print every problem with its field, and exit.
  --settings-reference    Print the reference of all settings as a Markdown table.
  -h --help               Show this text.
  --version               Show the version.

Exit codes: 0 success, 1 failure, 2 wrong usage or settings.
)";

enum exit_code { Success = 0, Failure = 1, WrongUsage = 2 };

std::optional<oriolepick::settings> readSettings(const std::string& fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    if (!file) {
        std::cerr << fileName << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto outcome = oriolepick::parseSettings(text.str());
    for (const auto& problem : outcome.errors)
        std::cerr << fileName << ": " << problem.path << ": " << problem.message << "\n";
    return std::move(outcome.value);
}

/// Blocks the signals of a stop and a reload, before any thread starts, so that only sigwait() receives them.
sigset_t blockSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, number);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void waitForStop(const sigset_t& signals)
{
    int received = SIGHUP;
    while (received == SIGHUP) {
        if (const int problem = sigwait(&signals, &received)) {
            oriolepick::logError("waiting for signals failed", { { "error", std::to_string(problem) } });
            return;
        }
        if (received == SIGHUP)
            oriolepick::logWarning(
                "signal ignored", { { "signal", "SIGHUP" }, { "reason", "settings are read at start" } });
    }
    oriolepick::logInfo("signal", { { "number", std::to_string(received) } });
}

int serve(const oriolepick::settings& configuration, const sigset_t& signals)
{
    oriolepick::configureLog(configuration.logFormat, configuration.logLevel);
    const auto node = oriolepick::daemon::create(configuration);
    if (!node) {
        oriolepick::logError("start failed", { { "reason", node.error().message } });
        return Failure;
    }
    const auto started = node.value()->start();
    if (!started) {
        oriolepick::logError("start failed", { { "reason", started.error().message } });
        return Failure;
    }
    waitForStop(signals);
    return node.value()->drainAndStop() ? Success : Failure;
}

} // namespace

int main(int argc, char** argv)
{
    oriolepick::applyHeapSettings();
    const auto signals = blockSignals();
    std::map<std::string, docopt::value> options;
    try {
        options = docopt::docopt_parse(Usage, { argv + 1, argv + argc }, true, true);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << Usage;
        return Success;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << Version << "\n";
        return Success;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << "\nUsage: oriolepickd --settings FILE (see --help)\n";
        return WrongUsage;
    }
    if (options["--settings-reference"].asBool()) {
        std::cout << oriolepick::settingsReference();
        return Success;
    }
    const bool checkOnly = static_cast<bool>(options["--check-settings"]);
    const auto configuration = readSettings(options[checkOnly ? "--check-settings" : "--settings"].asString());
    if (!configuration)
        return WrongUsage;
    return checkOnly ? Success : serve(*configuration, signals);
}
