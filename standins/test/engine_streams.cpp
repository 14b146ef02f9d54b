// Guards the life of a stream between the HTTP adapter and an emulated engine: whole answers, continuation from a
// prefix, attach, supersede, cancel, and abort of a paused engine.
#include "core/stable_hash.h"
#include "core/test/ample_memory.h"
#include "standins/test/recording_sink.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

class engine_streams : public testing::Test {
protected:
    void startEngine(const engine_settings& settings)
    {
        m_engine = std::make_unique<engine_emulator>(settings);
        ASSERT_TRUE(m_engine->start("127.0.0.1:0"));
    }
    const std::string& address() const { return m_engine->address(); }

    std::unique_ptr<background_call> start(const attempt_request& request)
    {
        return std::make_unique<background_call>([this, request](attempt_sink& sink, call_abort& abort) {
            m_client.start(address(), request, {}, sink, abort);
        });
    }
    std::unique_ptr<background_call> attach(const attempt_request& request, std::uint32_t from, std::uint64_t epoch)
    {
        return std::make_unique<background_call>([this, request, from, epoch](attempt_sink& sink, call_abort& abort) {
            m_client.attach(address(), request.id, from, epoch, {}, sink, abort);
        });
    }

    std::unique_ptr<engine_emulator> m_engine;
    http_engine_client m_client { ampleMemory() };
};

} // namespace

TEST_F(engine_streams, whole_answer_with_load_and_summary)
{
    startEngine(quickEngine());
    const auto request = testRequest("Diagnose the horn. [length=30]");
    const auto call = start(request);
    call->join();
    EXPECT_EQ(call->sink().tokens(), expectedTokens(request));
    ASSERT_TRUE(call->sink().summary()) << call->sink().detail();
    EXPECT_EQ(call->sink().summary()->length, 30u);
    EXPECT_EQ(call->sink().summary()->finishReason, "stop");
    ASSERT_TRUE(call->sink().load());
    EXPECT_EQ(call->sink().load()->batch, quickEngine().batch);
}

TEST_F(engine_streams, continuation_from_a_prefix_gives_the_rest_of_the_answer)
{
    startEngine(quickEngine());
    auto request = testRequest("[length=20]");
    const auto all = expectedTokens(request);
    request.prefix.assign(all.begin(), all.begin() + 12);
    const auto call = start(request);
    call->join();
    EXPECT_EQ(call->sink().tokens(), token_list(all.begin() + 12, all.end()));
    EXPECT_TRUE(call->sink().summary()) << call->sink().detail();
}

TEST_F(engine_streams, attach_supersedes_the_older_reader_and_goes_on)
{
    startEngine(quickEngine());
    const auto request = testRequest("[length=20000]");
    const auto first = start(request);
    ASSERT_TRUE(first->sink().waitForTokens(5));
    const auto second = attach(request, 3, 7);
    first->join();
    EXPECT_EQ(first->sink().reason(), stream_break::Superseded);
    ASSERT_TRUE(second->sink().waitForTokens(10));
    const auto stale = attach(request, 0, 6);
    stale->join();
    EXPECT_EQ(stale->sink().reason(), stream_break::Superseded);
    second->abort().abort();
    second->join();
    EXPECT_EQ(second->sink().reason(), stream_break::Aborted);
    const auto all = expectedTokens(request);
    const auto got = second->sink().tokens();
    EXPECT_EQ(got, token_list(all.begin() + 3, all.begin() + 3 + static_cast<std::ptrdiff_t>(got.size())));
}

TEST_F(engine_streams, attempt_outlives_its_reader_for_the_set_time_only)
{
    auto settings = quickEngine();
    settings.attachableFor = std::chrono::milliseconds(50);
    startEngine(settings);
    const auto request = testRequest("[length=90000]");
    {
        const auto call = start(request);
        ASSERT_TRUE(call->sink().waitForTokens(2));
        call->abort().abort();
    }
    EXPECT_TRUE(eventually([&] { return !m_engine->batch().attempts(); }));
    EXPECT_TRUE(eventually([&] { return !m_engine->batch().currentLoad().running; }));
    const auto late = attach(request, 2, 1);
    late->join();
    EXPECT_EQ(late->sink().reason(), stream_break::UnknownAttempt);
}

TEST_F(engine_streams, reader_that_left_can_read_a_finished_answer)
{
    startEngine(quickEngine());
    const auto request = testRequest("[length=40]");
    {
        const auto call = start(request);
        ASSERT_TRUE(call->sink().waitForTokens(2));
        call->abort().abort();
    }
    const auto second = attach(request, 2, 1);
    second->join();
    const auto all = expectedTokens(request);
    EXPECT_EQ(second->sink().tokens(), token_list(all.begin() + 2, all.end()));
    EXPECT_TRUE(second->sink().summary()) << second->sink().detail();
}

TEST_F(engine_streams, cancel_ends_the_attempt_and_is_repeatable)
{
    startEngine(quickEngine());
    const auto request = testRequest("[length=90000]");
    const auto call = start(request);
    ASSERT_TRUE(call->sink().waitForTokens(1));
    EXPECT_TRUE(m_client.probe(address(), request.id, std::chrono::seconds(20)).hasAttempt.value_or(false));
    EXPECT_TRUE(m_client.cancel(address(), request.id, std::chrono::seconds(20)));
    EXPECT_TRUE(m_client.cancel(address(), request.id, std::chrono::seconds(20)));
    call->join();
    EXPECT_EQ(call->sink().reason(), stream_break::Reset);
    EXPECT_FALSE(m_client.probe(address(), request.id, std::chrono::seconds(20)).hasAttempt.value_or(true));
}

TEST_F(engine_streams, read_from_a_paused_engine_can_be_aborted)
{
    startEngine(quickEngine());
    const auto call = start(testRequest("[length=90000]"));
    ASSERT_TRUE(call->sink().waitForTokens(1));
    ASSERT_EQ(m_engine->faults().apply(R"({"pause":true})"), "");
    EXPECT_FALSE(m_client.probe(address(), std::nullopt, std::chrono::milliseconds(50)).alive);
    call->abort().abort();
    call->join();
    EXPECT_EQ(call->sink().reason(), stream_break::Aborted);
    ASSERT_EQ(m_engine->faults().apply(R"({"pause":false})"), "");
    EXPECT_TRUE(m_client.probe(address(), std::nullopt, std::chrono::seconds(20)).alive);
}

TEST_F(engine_streams, sink_can_stop_the_read_and_nothing_follows)
{
    startEngine(quickEngine());
    recording_sink sink(3);
    call_abort abort;
    m_client.start(address(), testRequest("[length=90000]"), {}, sink, abort);
    EXPECT_EQ(sink.tokens().size(), 3u);
    EXPECT_FALSE(sink.reason());
    EXPECT_FALSE(sink.summary());
}

TEST_F(engine_streams, salt_makes_tokens_depend_on_the_delivered_prefix)
{
    auto settings = quickEngine();
    settings.salt = 9;
    startEngine(settings);
    auto request = testRequest("[length=6]");
    const auto ours = expectedTokens(request, 0);
    request.prefix.assign(ours.begin(), ours.begin() + 4);
    const auto call = start(request);
    call->join();
    const answer_function answer(request.model, request.seed, request.prompt);
    ASSERT_EQ(call->sink().tokens().size(), 2u);
    EXPECT_EQ(call->sink().tokens().front(), answer.tokenAfter(digestOf(request.prefix), 4, 9).id);
    EXPECT_NE(call->sink().tokens().front(), ours[4]);
}
