// Guards against a node that runs out of memory because targets send bytes without end to many callers at once, against
// callers that wait for the end of such a response, and against other callers that are not served meanwhile.
#include "core/heap_settings.h"
#include "core/test/peak_memory.h"
#include "node/test/endless_server.h"
#include "node/test/node_fixture.h"

#include <atomic>
#include <iostream>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Callers = 60;
constexpr std::int64_t ResponseMemoryBytes = 64 << 20;
constexpr long NodeKilobytes = 256 << 10; ///< memory of a node at the design size
constexpr auto TimeLimit = 5s; ///< of the fixture's service

// Large bodies stay below the limit of one response and then go on one byte at a time.
std::vector<endless_response> responses()
{
    const std::string filler(32'768, 'x');
    const std::string large(7 << 20, 'x');
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { ok + "\r\n" + large, "x", 50ms },
        { ok + "Content-Length: 99999999999\r\n\r\n" + large, "x", 50ms },
        { chunked + "700000\r\n" + large + "\r\n", "1\r\nx\r\n", 50ms },
        { ok + "Content-Length: 99999999999\r\n\r\n", filler },
        { ok + "\r\n", filler },
        { chunked, "8000\r\n" + filler + "\r\n" },
        { ok + "X-Long: ", filler },
        { ok, "X: 1\r\n" },
        { chunked + "5;", filler },
        { chunked + "2\r\nok\r\n0\r\n", "X-Trailer: t\r\n" },
        { "", filler },
    };
}

class EndlessResponses : public node_fixture {
protected:
    static void SetUpTestSuite() { applyHeapSettings(); }

    std::vector<std::string> serviceAddresses() override { return { m_endless.address() }; }
    void configure(settings& configuration) override
    {
        configuration.callersThreads = 128;
        configuration.responseMemoryBytes = ResponseMemoryBytes;
    }

    // Sends a request again while its team is over its rate.
    template <typename Send> static buffered_response withinRate(Send send)
    {
        auto response = send(0);
        for (int retry = 1; response.status == 429 && retry < 1'000; ++retry) {
            std::this_thread::sleep_for(10ms);
            response = send(retry);
        }
        return response;
    }

    bool callEndsInTime(std::size_t number)
    {
        auto begin = std::chrono::steady_clock::now();
        const auto response = withinRate([&](int retry) {
            begin = std::chrono::steady_clock::now();
            const auto key = "k" + std::to_string(number) + "-" + std::to_string(retry);
            return number % 2 ? call("GET", key, "") : call("POST", key, "{}");
        });
        return response.result.end == exchange_end::Complete && response.status >= 500
            && std::chrono::steady_clock::now() - begin < 2 * TimeLimit;
    }

    endless_server m_endless { responses() };
};

TEST_F(EndlessResponses, ManyCallersOfFaultyTargetsLeaveMemoryAndServiceToOthers)
{
    std::atomic<std::size_t> answered { 0 };
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < Callers; ++number)
        callers.emplace_back([this, number, &answered] { answered += callEndsInTime(number); });
    for (int generation = 0; generation < 20; ++generation) {
        const auto response = withinRate([this](int) {
            return complete(
                R"({"model":"manuals","prompt":"p [length=20]","max_tokens":30,"seed":1,"stream":true})", {}, "desk");
        });
        EXPECT_EQ(response.status, 200) << "a generation beside them";
        std::this_thread::sleep_for(50ms);
    }
    for (auto& caller : callers)
        caller.join();
    EXPECT_EQ(answered, Callers) << "each caller gets a final answer in time";
    EXPECT_GE(m_endless.requests(), Callers);
    std::cout << Callers << " callers of endless responses: peak of process " << peakKilobytes() << " KB\n";
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    EXPECT_LT(peakKilobytes(), NodeKilobytes);
#endif
}

} // namespace
