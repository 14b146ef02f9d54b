// Guards against sound targets that are suspected, and responses that are dropped, because the thread of a session was
// held up while their events came in.
#include "core/fleet_state.h"
#include "core/resume_policy.h"
#include "node/control_loop.h"
#include "node/generation_session.h"
#include "node/locked_admission.h"
#include "node/node_metrics.h"
#include "node/node_status.h"
#include "node/peer_hub.h"
#include "node/state_keeper.h"
#include "node/task_pool.h"
#include "node/trace_store.h"
#include "standins/fake_table.h"
#include "targets/engine_client.h"
#include "targets/service_client.h"
#include "transport/peer_transport.h"
#include "transport/transport_counters.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Tokens = 10;

/// Accepts an attempt and sends all of its tokens at once.
class prompt_engine final : public engine_client {
public:
    void start(
        const std::string&, const attempt_request&, const stream_timeouts&, attempt_sink& sink, call_abort&) override
    {
        sink.accepted({});
        for (std::uint32_t position = 0; position < Tokens; ++position)
            sink.tokenArrived(position, { position, "t" });
        sink.done({ "stop", Tokens, 1, 0, {} });
        m_sent.set_value();
    }
    void attach(const std::string&, const attempt_id&, std::uint32_t, std::uint64_t, const stream_timeouts&,
        attempt_sink&, call_abort&) override
    {
        ADD_FAILURE() << "the attempt was not interrupted";
    }
    result<void> cancel(const std::string&, const attempt_id&, std::chrono::milliseconds) override { return success(); }
    probe_answer probe(const std::string&, const std::optional<attempt_id>&, std::chrono::milliseconds) const override
    {
        return {};
    }
    result<engine_state> readState(const std::string&, std::chrono::milliseconds) const override { return unused(); }
    result<engine_load> readLoad(const std::string&, std::chrono::milliseconds) const override { return unused(); }
    result<cache_events> readCacheEvents(const std::string&, std::uint64_t, std::chrono::milliseconds) const override
    {
        return unused();
    }
    result<void> giveOrder(const std::string&, const engine_order&, std::chrono::milliseconds) override
    {
        return unused();
    }

    void waitUntilSent() { m_sent.get_future().wait(); }

private:
    static error unused() { return { error_kind::Internal, "not part of the test", {} }; }

    std::promise<void> m_sent;
};

class no_services final : public service_client {
public:
    service_outcome call(const std::string&, const service_request&, const service_timeouts&, call_abort&) override
    {
        return {};
    }
    bool refusesConnections(const std::string&, std::chrono::milliseconds) override { return false; }
};

class no_peers final : public peer_transport {
public:
    void start(handler) override { }
    void stop() override { }
    void send(const node_id&, const wire::envelope&) override { }
    const transport_counters& counters() const override { return m_counters; }

private:
    transport_counters m_counters;
};

class held_up_sessions_test : public testing::Test {
protected:
    held_up_sessions_test()
    {
        target_settings settings;
        settings.address = "127.0.0.1:1";
        settings.zone = availability_zone("z1");
        m_targets.applyState(std::make_shared<fleet_state>(1,
            std::vector<ticket_object> { { { object_kind::Target, m_target.fleet(), m_target.name() }, settings } },
            std::vector<std::pair<deployment_id, retired_deployment>> {}));
        engine_state state;
        state.loaded = { m_model };
        m_targets.recordEngineState(m_target, state);
    }

    session_request request(std::optional<instant> deadline) const
    {
        session_request made;
        made.generation.key = { team_id(m_fleet, "bench"), "key" };
        made.generation.attemptOrigin = "origin";
        made.generation.model = m_model;
        made.generation.maxTokens = Tokens;
        made.generation.deadline = deadline;
        made.deployment = deployment_id(m_fleet, "manuals");
        made.allowedTargets = { m_target };
        made.arrived = std::chrono::steady_clock::now();
        return made;
    }

    /// Holds the session up from the start of its attempt until \p limit, and then runs it to its end.
    /// \return the tokens that were delivered
    std::size_t runHeldUp(generation_session& session, instant limit)
    {
        session.start();
        session.wait(std::chrono::steady_clock::now()); // starts the attempt
        m_engine.waitUntilSent();
        std::this_thread::sleep_until(limit);
        std::size_t delivered = 0;
        while (!session.ended() || session.hasTokens()) {
            session.wait(instant::max());
            delivered += session.takeTokens().size();
        }
        return delivered;
    }

    const fleet_name m_fleet { "one" };
    const target_id m_target { m_fleet, "e1" };
    const model_ref m_model { model_id(m_fleet, "manuals"), model_version("3"), adapter_name() };
    prompt_engine m_engine;
    no_services m_services;
    no_peers m_transport;
    fake_table m_table;
    state_keeper m_states;
    node_metrics m_metrics;
    node_status m_status;
    control_loop m_loop;
    trace_store m_traces { 16 };
    task_pool m_tasks { 1, 16 };
    target_directory m_targets { node_id("127.0.0.1:2"), availability_zone("z1"), region_name("r1"),
        makePlacementStrategy("cost_based"), 1 };
    locked_admission m_admission { retry_budget_settings {}, 1, std::chrono::steady_clock::now() };
    peer_hub m_peers { node_id("127.0.0.1:2"), 1, m_transport, m_loop, m_states, m_metrics };
    crash_guard m_crashes { "node", m_table, m_engine, m_services, m_targets, m_peers, m_loop, m_metrics, 1000ms };
    const std::unique_ptr<resume_policy> m_policy = makeResumePolicy("latency_first");
    session_services m_used { m_engine, m_targets, m_tasks, m_metrics, m_traces, m_admission, m_crashes, m_status };
};

} // namespace

TEST_F(held_up_sessions_test, a_target_whose_events_are_queued_is_not_suspected)
{
    generation_session session(request({}), *m_policy, m_used);
    EXPECT_EQ(runHeldUp(session, std::chrono::steady_clock::now() + 4s), Tokens);
    EXPECT_TRUE(session.end().finished);
    EXPECT_EQ(m_metrics.serialize().find("event=\"suspicion\""), std::string::npos);
}

TEST_F(held_up_sessions_test, a_response_that_came_in_before_the_deadline_is_delivered_after_it)
{
    const auto deadline = std::chrono::steady_clock::now() + 4s;
    generation_session session(request(deadline), *m_policy, m_used);
    EXPECT_EQ(runHeldUp(session, deadline + 100ms), Tokens);
    EXPECT_TRUE(session.end().finished) << "ended with " << errorResponseFor(session.end().kind).code;
}
