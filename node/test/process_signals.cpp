// Guards against a node that ends at a reload signal and cuts every request that it holds.
#include "node/test/node_fixture.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>

using namespace oriolepick;

namespace {

std::string settingsText(const std::string& callers, const std::string& platform)
{
    nlohmann::json text;
    text["node"] = { { "name", "node" }, { "zone", "z1" }, { "region", "r1" } };
    text["callers"] = { { "listen", callers } };
    text["peers"] = { { "listen", freeLoopbackAddress() } };
    text["platform"] = { { "address", platform } };
    text["operators"] = { { "token_sha256", sha256Hex("operator") } };
    text["cursor"]["keys"] = nlohmann::json::array({ { { "id", 1 }, { "secret_hex", std::string(64, 'a') } } });
    return text.dump();
}

bool serves(const std::string& address)
{
    call_abort abort;
    return exchangeBuffered(address, { "GET", "/healthz", {}, {} }, {}, 4096, ampleMemory(), abort).status == 200;
}

} // namespace

TEST(process_signals, a_reload_signal_is_ignored_and_a_stop_signal_ends_the_node_as_planned)
{
    platform_emulator platform { platform_emulator_options {} };
    ASSERT_TRUE(platform.start());
    const auto callers = freeLoopbackAddress();
    std::string fileName = testing::TempDir() + "node-" + std::to_string(getpid()) + ".json";
    std::ofstream(fileName) << settingsText(callers, "127.0.0.1:" + std::to_string(platform.port()));
    std::string program = ORIOLEPICKD;
    std::string option = "--settings";
    char* arguments[] = { program.data(), option.data(), fileName.data(), nullptr };
    pid_t process = 0;
    ASSERT_EQ(posix_spawn(&process, program.c_str(), nullptr, nullptr, arguments, environ), 0);
    for (int tries = 0; tries < 3000 && !serves(callers); ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    EXPECT_TRUE(serves(callers));
    kill(process, SIGHUP);
    kill(process, SIGTERM);
    int status = 0;
    ASSERT_EQ(waitpid(process, &status, 0), process);
    EXPECT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
    EXPECT_EQ(WEXITSTATUS(status), 0);
    std::remove(fileName.c_str());
    platform.stop();
}
