// Guards state, load, orders and cache events between the HTTP adapter and an emulated engine.
#include "core/test/ample_memory.h"
#include "standins/test/recording_sink.h"
#include "standins/test/silent_listener.h"
#include "targets/prompt_blocks.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

constexpr std::chrono::seconds Patience { 20 };

model_ref otherModel()
{
    auto model = testModel();
    model.version = model_version("4");
    return model;
}

engine_order orderOf(order_kind kind, std::uint64_t fencing)
{
    return { kind, otherModel(), "spare", fencing, 1 };
}

void runAttempt(engine_emulator& engine, const attempt_request& request, recording_sink& sink)
{
    call_abort abort;
    http_engine_client(ampleMemory()).start(engine.address(), request, {}, sink, abort);
}

} // namespace

TEST(engine_reports, orders_change_the_state)
{
    auto settings = quickEngine();
    settings.weightBytes = 1;
    engine_emulator engine(settings);
    ASSERT_TRUE(engine.start("127.0.0.1:0"));
    http_engine_client client { ampleMemory() };
    for (const auto kind : { order_kind::Load, order_kind::Role, order_kind::Drain })
        ASSERT_TRUE(client.giveOrder(engine.address(), orderOf(kind, 5), Patience));
    ASSERT_TRUE(eventually([&] { return client.readState(engine.address(), Patience).value().loaded.size() == 2; }));
    const auto state = client.readState(engine.address(), Patience);
    EXPECT_EQ(state.value().loaded.back(), otherModel());
    EXPECT_EQ(state.value().role, "spare");
    EXPECT_TRUE(state.value().draining);
    EXPECT_EQ(state.value().fencing, 5u);
    recording_sink refused;
    runAttempt(engine, testRequest("[length=2]"), refused);
    EXPECT_EQ(refused.reason(), stream_break::Draining);
    ASSERT_TRUE(client.giveOrder(engine.address(), orderOf(order_kind::Undrain, 5), Patience));
    ASSERT_TRUE(client.giveOrder(engine.address(), orderOf(order_kind::Unload, 6), Patience));
    EXPECT_EQ(client.giveOrder(engine.address(), orderOf(order_kind::Unload, 6), Patience).error().kind,
        error_kind::NotLoaded);
}

TEST(engine_reports, load_takes_the_time_of_its_weights)
{
    auto settings = quickEngine();
    settings.weightBytes = 1000;
    settings.weightBytesPerSecond = 1;
    engine_emulator engine(settings);
    ASSERT_TRUE(engine.start("127.0.0.1:0"));
    http_engine_client client { ampleMemory() };
    ASSERT_TRUE(client.giveOrder(engine.address(), orderOf(order_kind::Load, 1), Patience));
    const auto state = client.readState(engine.address(), Patience);
    ASSERT_TRUE(state.value().loading);
    EXPECT_EQ(*state.value().loading, otherModel());
    EXPECT_EQ(state.value().loaded.size(), 1u);
}

TEST(engine_reports, stale_fencing_is_refused_unless_the_engine_ignores_it)
{
    for (const bool checks : { true, false }) {
        auto settings = quickEngine();
        settings.checksFencing = checks;
        engine_emulator engine(settings);
        ASSERT_TRUE(engine.start("127.0.0.1:0"));
        http_engine_client client { ampleMemory() };
        ASSERT_TRUE(client.giveOrder(engine.address(), orderOf(order_kind::Drain, 9), Patience));
        const auto stale = client.giveOrder(engine.address(), orderOf(order_kind::Undrain, 8), Patience);
        EXPECT_EQ(stale.has_value(), !checks);
        if (checks) {
            EXPECT_EQ(stale.error().kind, error_kind::StaleFencing);
        }
        EXPECT_EQ(client.readState(engine.address(), Patience).value().draining, checks);
    }
}

TEST(engine_reports, cached_prefix_is_counted_and_reported)
{
    engine_emulator engine(quickEngine());
    ASSERT_TRUE(engine.start("127.0.0.1:0"));
    const std::string manual(3 * PromptBlockTokens * PromptTokenBytes, 'm');
    recording_sink first;
    runAttempt(engine, testRequest(manual + "[length=2]", 1), first);
    recording_sink second;
    runAttempt(engine, testRequest(manual + "[length=3]", 2), second);
    ASSERT_TRUE(first.summary() && second.summary());
    EXPECT_EQ(first.summary()->cachedTokens, 0u);
    EXPECT_EQ(second.summary()->cachedTokens, 3 * PromptBlockTokens);
    const auto events = http_engine_client(ampleMemory()).readCacheEvents(engine.address(), 0, Patience);
    ASSERT_EQ(events.value().events.size(), 3u);
    const auto blocks = promptBlocks(testModel(), manual);
    for (const auto& event : events.value().events)
        EXPECT_NE(std::find(blocks.begin(), blocks.end(), event.block), blocks.end());
    EXPECT_TRUE(
        http_engine_client(ampleMemory()).readCacheEvents(engine.address(), 3, Patience).value().events.empty());
}

TEST(engine_reports, higher_priority_runs_first)
{
    auto settings = quickEngine();
    settings.batch = 1;
    engine_emulator engine(settings);
    ASSERT_TRUE(engine.start("127.0.0.1:0"));
    const auto begin = [&](const attempt_request& request) {
        return std::make_unique<background_call>([&engine, request](attempt_sink& sink, call_abort& abort) {
            http_engine_client(ampleMemory()).start(engine.address(), request, {}, sink, abort);
        });
    };
    const auto running = begin(testRequest("[length=90000]", 1));
    ASSERT_TRUE(running->sink().waitForTokens(1));
    auto low = begin(testRequest("[length=90000]", 2));
    ASSERT_TRUE(eventually([&] { return engine.batch().currentLoad().waiting == 1; }));
    auto urgent = testRequest("[length=4]", 3);
    urgent.priority = 1;
    const auto high = begin(urgent);
    ASSERT_TRUE(eventually([&] { return engine.batch().currentLoad().waiting == 2; }));
    ASSERT_TRUE(http_engine_client(ampleMemory()).cancel(engine.address(), { "node-1.7", 1 }, Patience));
    high->join();
    EXPECT_TRUE(high->sink().summary());
    EXPECT_TRUE(eventually([&] { return low->sink().waitForTokens(1); }));
    low->abort().abort();
}

TEST(engine_reports, silent_engine_is_another_error_than_an_unreachable_one)
{
    silent_listener engine;
    http_engine_client client { ampleMemory() };
    constexpr std::chrono::milliseconds Short { 50 };
    EXPECT_EQ(client.readState(engine.address(), Short).error().kind, error_kind::TargetFailed);
    EXPECT_EQ(client.readLoad(engine.address(), Short).error().kind, error_kind::TargetFailed);
    EXPECT_EQ(client.giveOrder(engine.address(), orderOf(order_kind::Drain, 1), Short).error().kind,
        error_kind::TargetFailed);
}

TEST(engine_reports, incarnation_is_kept_while_the_engine_runs)
{
    engine_emulator engine(quickEngine());
    ASSERT_TRUE(engine.start("127.0.0.1:0"));
    const auto first = http_engine_client(ampleMemory()).readState(engine.address(), Patience).value().incarnation;
    EXPECT_NE(first, 0u);
    EXPECT_EQ(http_engine_client(ampleMemory()).readState(engine.address(), Patience).value().incarnation, first);
}

TEST(engine_reports, unreachable_engine_is_an_error)
{
    std::string address;
    {
        engine_emulator engine(quickEngine());
        ASSERT_TRUE(engine.start("127.0.0.1:0"));
        address = engine.address();
    }
    http_engine_client client { ampleMemory() };
    EXPECT_EQ(client.readState(address, Patience).error().kind, error_kind::NoTarget);
    EXPECT_EQ(client.readLoad(address, Patience).error().kind, error_kind::NoTarget);
    EXPECT_EQ(client.readCacheEvents(address, 0, Patience).error().kind, error_kind::NoTarget);
    EXPECT_EQ(client.giveOrder(address, orderOf(order_kind::Drain, 1), Patience).error().kind, error_kind::NoTarget);
    EXPECT_FALSE(client.probe(address, std::nullopt, Patience).alive);
}
