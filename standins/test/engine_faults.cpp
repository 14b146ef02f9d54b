// Guards what the HTTP adapter reports when an engine rejects, crashes or breaks the protocol: a wrong reason would
// make a node say "not run" of work that ran, or lose a stream that could go on.
#include "core/test/ample_memory.h"
#include "standins/test/recording_sink.h"
#include "standins/test/silent_listener.h"

#include <gtest/gtest.h>

#include <atomic>

using namespace oriolepick;

namespace {

struct fault_row {
    const char* switches;
    std::size_t tokens; ///< delivered before the break
    stream_break reason;
    bool notRun;
};

const fault_row FaultRows[] = {
    { R"({"reject":"queue_full"})", 0, stream_break::QueueFull, true },
    { R"({"reject":"draining"})", 0, stream_break::Draining, true },
    { R"({"reject":"not_loaded"})", 0, stream_break::NotLoaded, true },
    { R"({"reject":"error"})", 0, stream_break::Malformed, false },
    { R"({"truncate_after":4})", 4, stream_break::Truncated, false },
    { R"({"truncate_after":0})", 0, stream_break::Truncated, false },
    { R"({"reset_after":4})", 4, stream_break::Reset, false },
    { R"({"garbage_after":4})", 4, stream_break::Malformed, false },
    { R"({"garbage_after":0})", 0, stream_break::Malformed, false },
};

recording_sink& runCall(recording_sink& sink, const std::string& address, const attempt_request& request)
{
    call_abort abort;
    http_engine_client(ampleMemory()).start(address, request, {}, sink, abort);
    return sink;
}

} // namespace

TEST(engine_faults, each_fault_gives_its_reason)
{
    for (const auto& row : FaultRows) {
        engine_emulator engine(quickEngine());
        ASSERT_TRUE(engine.start("127.0.0.1:0"));
        ASSERT_EQ(engine.faults().apply(row.switches), "");
        recording_sink sink;
        runCall(sink, engine.address(), testRequest("[length=20]"));
        EXPECT_EQ(sink.reason(), row.reason) << row.switches << " " << sink.detail();
        EXPECT_EQ(sink.tokens().size(), row.tokens) << row.switches;
        EXPECT_EQ(provenNotRun(row.reason), row.notRun) << row.switches;
    }
}

TEST(engine_faults, fault_can_be_limited_to_a_number_of_streams)
{
    engine_emulator engine(quickEngine());
    ASSERT_TRUE(engine.start("127.0.0.1:0"));
    ASSERT_EQ(engine.faults().apply(R"({"truncate_after":4,"fault_streams":1})"), "");
    recording_sink broken;
    recording_sink whole;
    EXPECT_EQ(runCall(broken, engine.address(), testRequest("[length=9]", 1)).reason(), stream_break::Truncated);
    EXPECT_TRUE(runCall(whole, engine.address(), testRequest("[length=9]", 2)).summary());
}

TEST(engine_faults, malformed_switches_change_nothing)
{
    engine_faults faults;
    for (const auto* text : { "", "[]", "{\"pause\":1}", "{\"slow_factor\":0}", "{\"unknown\":1}",
             "{\"pause\":true,\"truncate_after\":-1}", "{\"reject\":\"other\"}" })
        EXPECT_NE(faults.apply(text), "") << text;
    EXPECT_FALSE(faults.paused());
}

TEST(engine_faults, crash_breaks_all_streams_and_then_refuses_connections)
{
    std::atomic<bool> crashed { false };
    auto settings = quickEngine();
    settings.crashOn = "CRASH";
    engine_emulator engine(settings, [&] { crashed = true; });
    ASSERT_TRUE(engine.start("127.0.0.1:0"));
    const std::string address = engine.address();
    background_call bystander([&](attempt_sink& sink, call_abort& abort) {
        http_engine_client(ampleMemory()).start(address, testRequest("[length=90000]", 1), {}, sink, abort);
    });
    ASSERT_TRUE(bystander.sink().waitForTokens(2));
    recording_sink culprit;
    EXPECT_EQ(runCall(culprit, address, testRequest("please CRASH", 2)).reason(), stream_break::Reset);
    bystander.join();
    EXPECT_EQ(bystander.sink().reason(), stream_break::Reset);
    EXPECT_TRUE(crashed);
    engine.stop();
    recording_sink refused;
    EXPECT_EQ(runCall(refused, address, testRequest("[length=2]", 3)).reason(), stream_break::ConnectRefused);
}

TEST(engine_faults, rejections_by_state)
{
    auto settings = quickEngine();
    settings.batch = 1;
    settings.maxQueue = 0;
    engine_emulator engine(settings);
    ASSERT_TRUE(engine.start("127.0.0.1:0"));
    auto other = testRequest("[length=2]", 1);
    other.model.version = model_version("4");
    recording_sink otherVersion;
    EXPECT_EQ(runCall(otherVersion, engine.address(), other).reason(), stream_break::NotLoaded);

    auto malformed = testRequest("[length=2]", 2);
    malformed.maxTokens = 0;
    recording_sink invalid;
    EXPECT_EQ(runCall(invalid, engine.address(), malformed).reason(), stream_break::Invalid);

    background_call running([&](attempt_sink& sink, call_abort& abort) {
        http_engine_client(ampleMemory()).start(engine.address(), testRequest("[length=90000]", 3), {}, sink, abort);
    });
    ASSERT_TRUE(running.sink().waitForTokens(1));
    recording_sink again;
    EXPECT_EQ(runCall(again, engine.address(), testRequest("[length=90000]", 3)).reason(), stream_break::Malformed);
    recording_sink full;
    EXPECT_EQ(runCall(full, engine.address(), testRequest("[length=2]", 4)).reason(), stream_break::QueueFull);
    running.abort().abort();
}

TEST(engine_faults, silent_engine_times_out)
{
    silent_listener engine;
    recording_sink sink;
    call_abort abort;
    http_engine_client(ampleMemory())
        .start(engine.address(), testRequest("x"), { std::chrono::seconds(20), std::chrono::milliseconds(50) }, sink,
            abort);
    EXPECT_EQ(sink.reason(), stream_break::Timeout) << sink.detail();
    EXPECT_FALSE(sink.accepted());
}

TEST(engine_faults, malformed_addresses_are_not_sent)
{
    for (const auto* address : { "", "127.0.0.1", ":80", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:x" }) {
        recording_sink sink;
        EXPECT_EQ(runCall(sink, address, testRequest("x")).reason(), stream_break::ConnectRefused) << address;
    }
}
