// Guards the node's entrances: whatever a stranger or a faulty peer sends gets a clear error and a counter, nobody
// reaches another team's work, and the node goes on serving.
#include "node/test/node_fixture.h"
#include "node/test/stream_tokens.h"

#include <nlohmann/json.hpp>
#include <zmq.hpp>

using namespace oriolepick;

namespace {

const std::string Streamed = R"({"model":"manuals","prompt":"p [length=40]","max_tokens":50,"seed":3,"stream":true})";

std::string codeOf(const buffered_response& response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"]["code"].get<std::string>()
                                                      : "no error: " + response.body;
}

std::string runOf(const buffered_response& response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"]["run"].get<std::string>() : "";
}

/// \return the last cursor of the first \p events events
std::string cursorOf(const std::string& stream, int events)
{
    std::size_t at = 0;
    std::string cursor;
    for (int index = 0; index < events; ++index) {
        at = stream.find("id: ", at) + 4;
        cursor = stream.substr(at, stream.find('\n', at) - at);
    }
    return cursor;
}

} // namespace

class http_edge_test : public node_fixture { };

TEST_F(http_edge_test, bad_requests_get_clear_errors_and_are_counted)
{
    EXPECT_EQ(codeOf(complete("{not json")), "bad_request");
    EXPECT_EQ(codeOf(complete(R"({"model":"manuals","prompt":"p","max_tokens":0})")), "bad_request");
    EXPECT_EQ(codeOf(complete(R"({"model":"nobody","prompt":"p"})")), "unknown_model");
    EXPECT_EQ(codeOf(complete(R"({"model":"manuals","prompt":")" + std::string(8000, 'x') + "\"}")), "body_too_large");
    EXPECT_EQ(codeOf(send("POST", "/v1/completions",
                  { { "Authorization", "Bearer bench" }, { "Content-Type", "text/plain" } }, "x")),
        "unsupported_media_type");
    EXPECT_EQ(codeOf(complete(Streamed, { { "Idempotency-Key", std::string(200, 'k') } })), "bad_request");
    EXPECT_EQ(codeOf(call("PUT", "k", "{}")), "method_not_allowed");
    EXPECT_EQ(send("GET", "/no/such/page", {}).status, 404);
    EXPECT_NE(metrics().find("oriolepick_bad_input_total{entrance=\"callers\"}"), std::string::npos);
    EXPECT_EQ(tokensOf(complete(Streamed).body).size(), 40u);
}

TEST_F(http_edge_test, tokens_of_callers_and_operators_are_apart)
{
    EXPECT_EQ(codeOf(complete(Streamed, {}, "stranger")), "unauthorized");
    EXPECT_EQ(
        codeOf(send("POST", "/v1/completions", { { "Content-Type", "application/json" } }, Streamed)), "unauthorized");
    EXPECT_EQ(codeOf(send("GET", "/v1/admin/in-force", {})), "unauthorized");
    EXPECT_EQ(codeOf(send("GET", "/v1/admin/in-force", { { "Authorization", "Bearer bench" } })), "forbidden");
    EXPECT_EQ(codeOf(complete(Streamed, {}, "operator")), "unauthorized");
}

TEST_F(http_edge_test, a_cursor_resumes_only_its_own_teams_request)
{
    const auto stream = complete(Streamed, { { "Idempotency-Key", "k1" } }).body;
    const auto whole = tokensOf(stream);
    ASSERT_EQ(whole.size(), 40u);
    const auto cursor = cursorOf(stream, 15);
    const auto rest = tokensOf(complete(Streamed, { { "Last-Event-ID", cursor } }).body);
    EXPECT_EQ(rest, token_list(whole.begin() + 15, whole.end()));
    EXPECT_EQ(codeOf(complete(Streamed, { { "Last-Event-ID", cursor } }, "desk")), "cursor_invalid");
    EXPECT_EQ(
        codeOf(complete(Streamed, { { "Last-Event-ID", cursor }, { "Idempotency-Key", "k2" } })), "cursor_invalid");
    EXPECT_EQ(
        codeOf(complete(R"({"model":"manuals","prompt":"other"})", { { "Last-Event-ID", cursor } })), "cursor_invalid");
    auto altered = cursor;
    altered[20] = altered[20] == 'A' ? 'B' : 'A';
    EXPECT_EQ(codeOf(complete(Streamed, { { "Last-Event-ID", altered } })), "cursor_invalid");
    EXPECT_NE(metrics().find("code=\"cursor_invalid\""), std::string::npos);
}

TEST_F(http_edge_test, a_truncated_stream_of_the_engine_reaches_the_caller_whole)
{
    const auto expected = tokensOf(complete(Streamed).body);
    EXPECT_EQ(m_engine.faults().apply(R"({"truncate_after":5,"fault_streams":1})"), "");
    EXPECT_EQ(tokensOf(complete(Streamed).body), expected);
}

TEST_F(http_edge_test, a_call_runs_once_and_other_teams_cannot_read_it)
{
    const auto first = call("POST", "order-1", "{\"board\":1}");
    const auto again = call("POST", "order-1", "{\"board\":1}");
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(again.body, first.body);
    EXPECT_EQ(codeOf(call("POST", "order-1", "{\"board\":2}")), "key_reused");
    const auto look = [this](const std::string& token) {
        return send("GET", "/v1/calls/order-1", { { "Authorization", "Bearer " + token } });
    };
    EXPECT_EQ(look("bench").body, first.body);
    EXPECT_EQ(codeOf(look("desk")), "unknown_call");
    // The same key of another team is another call.
    EXPECT_NE(call("POST", "order-1", "{\"board\":1}", "desk").body, first.body);
}

TEST_F(http_edge_test, garbage_on_the_peers_port_is_counted)
{
    zmq::context_t context;
    zmq::socket_t stranger(context, zmq::socket_type::push);
    stranger.set(zmq::sockopt::linger, 1000);
    stranger.connect("tcp://" + m_settings.peersListen);
    stranger.send(zmq::str_buffer("\xff\xff garbage"), zmq::send_flags::none);
    for (int tries = 0; tries < 3000
         && metrics().find("oriolepick_peer_messages_total{direction=\"malformed\"} 1") == std::string::npos;
         ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    EXPECT_NE(metrics().find("oriolepick_peer_messages_total{direction=\"malformed\"} 1"), std::string::npos);
    EXPECT_EQ(call("GET", "g", "").status, 200);
}

TEST_F(http_edge_test, refusals_without_the_table_say_only_what_is_proved)
{
    call_abort abort;
    const auto platform = m_settings.platformAddress;
    ASSERT_EQ(
        exchangeBuffered(platform,
            { "POST", "/faults", { { "Content-Type", "application/json" } }, R"({"service":"table","down":true})" }, {},
            4096, ampleMemory(), abort)
            .status,
        200);
    EXPECT_EQ(runOf(call("POST", "order-9", "{}")), "may_have_run");
    EXPECT_EQ(runOf(call("POST", "", "{}")), "not_run");
    EXPECT_EQ(call("GET", "order-9", "").status, 200);
    EXPECT_EQ(tokensOf(complete(Streamed).body).size(), 40u);
}
