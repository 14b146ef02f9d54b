// Guards the load tool against missing what it is there to find: left out, repeated and mixed tokens, and doubled,
// lost and wrongly reported calls. A small faulty node stands in for the daemon.
#include "core/test/ample_memory.h"
#include "standins/expected_answer.h"
#include "standins/load_tool.h"
#include "standins/service_emulator.h"
#include "targets/call_abort.h"
#include "targets/http_service_client.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

using namespace oriolepick;
using nlohmann::json;

namespace {

enum class node_fault { None, SkipToken, RepeatToken, MixToken, EndEarly, CallTwice, CallNever, NotRunAfterCall };

model_ref testModel()
{
    return { model_id(fleet_name("atelier"), "manuals"), model_version("3"), adapter_name("") };
}

/// Breaks the first connection of each answer after three tokens, continues by cursor.
class faulty_node {
public:
    faulty_node(node_fault fault, std::string service)
        : m_fault(fault)
        , m_service(std::move(service))
        , m_listener(64)
    {
        m_listener.server().Post("/v1/completions",
            [this](const httplib::Request& request, httplib::Response& response) { complete(request, response); });
        m_listener.server().Post("/v1/services/(.+)",
            [this](const httplib::Request& request, httplib::Response& response) { forward(request, response); });
        EXPECT_TRUE(m_listener.start("127.0.0.1:0"));
    }

    const std::string& address() const { return m_listener.address(); }

private:
    void complete(const httplib::Request& request, httplib::Response& response)
    {
        const json body = json::parse(request.body);
        const answer_function answer(testModel(), body["seed"], body["prompt"]);
        const auto tokens = expectedAnswer(answer, body["max_tokens"]);
        const std::string cursor = request.get_header_value("Last-Event-ID");
        const std::size_t from = cursor.empty() ? 0 : std::stoul(cursor);
        EXPECT_EQ(body.contains("oriolepick"), !cursor.empty());
        std::string events;
        for (std::size_t position = from; position < tokens.size() && (!cursor.empty() || position < 3); ++position)
            events += formatEvent(position, tokens[position]);
        if (!cursor.empty() || tokens.size() <= 3)
            events += "data: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\""
                + answer.finishReason(body["max_tokens"]) + "\"}]}\n\ndata: [DONE]\n\n";
        response.set_content(events, "text/event-stream");
    }

    std::string formatEvent(std::size_t position, token_id id) const
    {
        if (position == 5 && m_fault == node_fault::SkipToken)
            return {};
        if (position >= 5 && m_fault == node_fault::EndEarly)
            return {};
        if (position == 5 && m_fault == node_fault::MixToken)
            ++id;
        const json data { { "choices", { { { "text", vocabularyText(id) }, { "finish_reason", nullptr } } } },
            { "oriolepick", { { "position", position }, { "token_id", id } } } };
        const std::string event = "id: " + std::to_string(position + 1) + "\ndata: " + data.dump() + "\n\n";
        return position == 5 && m_fault == node_fault::RepeatToken ? event + event : event;
    }

    void forward(const httplib::Request& request, httplib::Response& response)
    {
        const service_request call { "POST", "/orders",
            { { "Idempotency-Key", "atelier/desk/" + request.get_header_value("Idempotency-Key") } }, request.body };
        const int times = m_fault == node_fault::CallNever ? 0 : m_fault == node_fault::CallTwice ? 2 : 1;
        for (int time = 0; time < times; ++time) {
            call_abort abort;
            http_service_client(ampleMemory()).call(m_service, call, {}, abort);
        }
        response.set_content("{}", "application/json");
        if (m_fault == node_fault::NotRunAfterCall) {
            response.status = 503;
            response.set_content(
                R"({"error":{"code":"no_target","run":"not_run","retryable":false}})", "application/json");
        }
    }

    const node_fault m_fault;
    const std::string m_service;
    http_listener m_listener;
};

json runAgainst(node_fault fault, bool& foundFault)
{
    service_emulator service(64);
    EXPECT_TRUE(service.start("127.0.0.1:0"));
    faulty_node node(fault, service.address());
    load_plan plan;
    plan.nodes = { node.address() };
    plan.services = { service.address() };
    completion_traffic completions;
    completions.model = "manuals";
    completions.ref = testModel();
    completions.rate = 50;
    completions.fixedLength = 10;
    plan.completions = { completions };
    call_traffic calls;
    calls.service = "orders";
    calls.rate = 50;
    plan.calls = { calls };
    plan.duration = std::chrono::milliseconds(100);
    load_tool tool(plan);
    const json result = json::parse(tool.run());
    foundFault = tool.foundFault();
    return result;
}

} // namespace

TEST(load_checks, healthy_node_gives_no_fault)
{
    bool foundFault = true;
    const json result = runAgainst(node_fault::None, foundFault);
    EXPECT_FALSE(foundFault) << result.dump();
    EXPECT_GT(result["completions"]["sent"], 0);
    EXPECT_EQ(result["completions"]["outcomes"]["complete"], result["completions"]["sent"]);
    EXPECT_EQ(result["completions"]["breaks"], result["completions"]["sent"]);
    EXPECT_EQ(result["completions"]["gap_around_break"]["count"], result["completions"]["sent"]);
    EXPECT_EQ(result["calls"]["outcomes"]["complete"], result["calls"]["sent"]);
}

TEST(load_checks, each_fault_is_found_and_counted)
{
    const std::pair<node_fault, const char*> rows[] = {
        { node_fault::SkipToken, "/completions/faults/missing" },
        { node_fault::RepeatToken, "/completions/faults/repeated" },
        { node_fault::MixToken, "/completions/faults/mixed" },
        { node_fault::EndEarly, "/completions/faults/wrong_end" },
        { node_fault::CallTwice, "/calls/doubled" },
        { node_fault::CallNever, "/calls/lost" },
        { node_fault::NotRunAfterCall, "/calls/ran_after_not_run" },
    };
    for (const auto& [fault, counter] : rows) {
        bool foundFault = false;
        const json result = runAgainst(fault, foundFault);
        EXPECT_TRUE(foundFault) << counter;
        EXPECT_GT(result[json::json_pointer(counter)], 0) << result.dump();
    }
}

TEST(load_checks, malformed_specifications_are_refused)
{
    EXPECT_TRUE(parseCompletionTraffic("model=m,ref=a/b@1,tokens=20:200"));
    for (const auto* text : { "", "model=m", "model=m,ref=b@1", "model=m,ref=a/b@1,tokens=0",
             "model=m,ref=a/b@1,rate=0", "model=m,ref=a/b@1,other=1" })
        EXPECT_FALSE(parseCompletionTraffic(text)) << text;
    EXPECT_FALSE(parseCallTraffic("service=s,path=orders"));
    EXPECT_FALSE(parseCallTraffic("service=s,repeatable=maybe"));
}
