// Guards against prompts that share a part which crashes every engine: they differ, so that each of them ends engines
// anew.
#include "node/test/node_fixture.h"

#include <sys/wait.h>

#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>

using namespace oriolepick;

namespace {

/// Requests with the part that may still end engines after its fifth crash.
constexpr int AllowedRequests = 3;
constexpr int CountedCrashes = 5;

} // namespace

class crashing_prompts_test : public node_fixture {
protected:
    struct fragile_engine {
        std::string address;
        pid_t process = 0;
    };

    void SetUp() override
    {
        node_fixture::SetUp();
        m_engine.stop();
        m_engines[0].address = m_engine.address();
        m_engines[1].address = freeLoopbackAddress();
        for (auto& engine : m_engines)
            start(engine);
        addSecondEngine();
        m_supervisor = std::thread([this] { superviseEngines(); });
        waitUntil("/v1/admin/status", "\"engines_reporting\":2");
    }

    void TearDown() override
    {
        m_ending = true;
        if (m_supervisor.joinable())
            m_supervisor.join();
        node_fixture::TearDown();
        for (const auto& engine : m_engines) {
            kill(engine.process, SIGKILL);
            waitpid(engine.process, nullptr, 0);
        }
    }

    // The engine is a process of its own, since it ends in the middle of its responses.
    static void start(fragile_engine& engine)
    {
        const auto program
            = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "../bin/engine-emulator").string();
        const auto listen = "--listen=" + engine.address;
        engine.process = fork();
        if (!engine.process) {
            execl(program.c_str(), program.c_str(), listen.c_str(), "--model=one/manuals@3", "--crash-on=[crash]",
                static_cast<char*>(nullptr));
            _exit(1);
        }
    }

    void addSecondEngine()
    {
        const auto text = R"({"ticket":2,"operator":"test","note":"test","objects":[
            {"kind":"target","fleet":"one","name":"e2","state":{"address":")"
            + m_engines[1].address + R"(","zone":"z1","kind":"engine"}},
            {"kind":"deployment","fleet":"one","name":"manuals","state":{"model":"one/manuals","version":"3",
                "targets":["one/e1","one/e2"],"resume_policy":"fast"}}]})";
        http_table_service table(m_platform.address());
        const auto outcome = table.commit(
            { { { "ticket/000000000002", {} } }, { { "ticket/000000000002", text }, { "ticket-head", "2" } } },
            std::chrono::seconds(5));
        ASSERT_TRUE(outcome && outcome.value().committed);
    }

    // Starts engines again that have ended.
    void superviseEngines()
    {
        while (!m_ending) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            for (auto& engine : m_engines) {
                if (waitpid(engine.process, nullptr, WNOHANG) != engine.process)
                    continue;
                ++m_crashes;
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
                start(engine);
            }
        }
    }

    // Sends a prompt that begins with \p part, a few blocks long, and ends with text of its own.
    int send(const std::string& part)
    {
        const auto number = std::to_string(++m_sent);
        const auto prompt = std::string(600, 'f') + part + std::string(600, 'm') + " request " + number
            + std::string(400, 'o') + " [length=3]";
        const auto response
            = complete(R"({"model":"manuals","prompt":")" + prompt + R"(","max_tokens":3,"seed":1,"stream":false})",
                { { "Idempotency-Key", "k" + number } });
        m_lastBody = response.body;
        return response.status;
    }

    std::array<fragile_engine, 2> m_engines;
    std::thread m_supervisor;
    std::atomic<bool> m_ending { false };
    std::atomic<int> m_crashes { 0 };
    std::string m_lastBody;
    int m_sent = 0;
};

TEST_F(crashing_prompts_test, prompts_that_share_a_crashing_part_end_few_engines_and_sound_ones_are_served)
{
    for (int number = 0; number < 20; ++number)
        EXPECT_EQ(send("sound part"), 200);
    for (int number = 0; number < 12; ++number) {
        EXPECT_GE(send("[crash]"), 400);
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        EXPECT_EQ(send("sound part"), 200) << m_lastBody << " after crashing prompt " << number;
    }
    EXPECT_LE(m_crashes, CountedCrashes + AllowedRequests);
}
