// Guards against responses that harm this process: a status line of 50 KB overflowed the stack in the HTTP library's
// regular expression, and header and chunk lines were collected without a limit. Mutated responses end each call with
// one outcome.
#include "core/test/ample_memory.h"
#include "standins/test/recording_sink.h"
#include "standins/test/silent_listener.h"
#include "targets/chunk_framing.h"
#include "targets/http_service_client.h"
#include "targets/response_guard.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cctype>

using namespace oriolepick;

namespace {

service_outcome callWith(const std::string& response)
{
    silent_listener listener;
    std::thread server([&] { listener.answerOnce(response); });
    call_abort abort;
    const auto outcome = http_service_client(ampleMemory()).call(listener.address(), { "GET", "/", {}, {} }, {}, abort);
    server.join();
    return outcome;
}

std::string chunked(const std::string& body)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return size + body + "\r\n";
}

std::string engineResponse()
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
           "Engine-Load: running=1;waiting=0;batch=8;kv_free=99\r\n\r\n"
        + chunked("data: {\"position\":0,\"token_id\":5,\"text\":\" w5\"}\n\n")
        + chunked("data: {\"position\":1,\"token_id\":6,\"text\":\" w6\"}\n\n")
        + chunked("event: done\ndata: "
                  "{\"finish_reason\":\"stop\",\"length\":2,\"prompt_tokens\":1,\"cached_tokens\":0}\n\n")
        + "0\r\n\r\n";
}

} // namespace

TEST(malformed_responses, overlong_parts_may_have_run)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string responses[] = {
        "HTTP/1.1 200 " + std::string(50'000, 'a') + "\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 " + std::string(50'000, 'a') + "\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'a') + "\r\nContent-Length: 0\r\n\r\n",
        head + std::string(1'000'000, '0') + "\r\n\r\n",
        head + "0\r\nX: " + std::string(1'000'000, 'a') + "\r\n\r\n",
    };
    for (const auto& response : responses) {
        const auto outcome = callWith(response);
        EXPECT_EQ(outcome.kind, service_outcome_kind::MayHaveRun) << response.substr(0, 60) << " " << outcome.detail;
    }
}

TEST(malformed_responses, truncated_and_foreign_responses_may_have_run)
{
    for (const std::string response : { "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "SSH-2.0-server\r\n" })
        EXPECT_EQ(callWith(response).kind, service_outcome_kind::MayHaveRun) << response;
}

TEST(malformed_responses, only_status_codes_of_the_protocol_are_responses)
{
    for (const std::string status : { "000", "001", "099", "600", "999", "2000", "20", "2x0", "+20", "-20" }) {
        const auto outcome = callWith("HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nevil");
        EXPECT_EQ(outcome.kind, service_outcome_kind::MayHaveRun) << status << " read as " << outcome.status;
    }
    for (const int status : { 200, 299, 302, 404, 500, 599 }) {
        const auto outcome = callWith("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 4\r\n\r\ngood");
        EXPECT_EQ(outcome.kind, service_outcome_kind::Response) << status << " " << outcome.detail;
        EXPECT_EQ(outcome.status, status);
    }
}

TEST(malformed_responses, the_guard_knows_every_status_code)
{
    for (int code = 0; code <= 999; ++code) {
        std::string digits = std::to_string(code);
        digits.insert(0, 3 - digits.size(), '0');
        response_guard guard;
        const bool isExpected = code == 100 || (code >= 200 && code <= 599);
        EXPECT_EQ(guard.take("HTTP/1.1 " + digits + " X\r\n"), isExpected) << digits;
    }
}

TEST(malformed_responses, only_tokens_are_names_of_fields)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    for (int code = 0; code < 256; ++code) {
        const char byte = static_cast<char>(code);
        const bool isToken
            = (code < 128 && std::isalnum(code)) || (code && Others.find(byte) != std::string_view::npos);
        for (const std::size_t at : { 0, 3, 6 }) {
            std::string name = "X-Name";
            name.insert(at, 1, byte);
            if (byte == '\n' || (byte == ':' && at > 0))
                continue; // ends the line or the name
            response_guard guard;
            EXPECT_EQ(guard.take("HTTP/1.1 200 OK\r\n" + name + ": x\r\nContent-Length: 4\r\n\r\n"), isToken)
                << "byte " << code << " at " << at;
        }
    }
}

TEST(malformed_responses, a_response_with_a_field_that_has_no_proper_name_may_have_run)
{
    using std::string_literals::operator""s;
    for (const auto& field : { "X Name: x"s, "X\tName: x"s, "X-\x01Name: x"s, "X-\0Name: x"s, "X-Name\x7f: x"s,
             "X-Name : x"s, "\vX-Name: x"s, ": x"s, "X-Name"s, "Content Length: 2"s, "Content-Length : 2"s,
             "Content-Length\x01: 2"s, "Transfer Encoding: chunked"s, " Transfer-Encoding: chunked"s }) {
        for (const std::string length : { "", "Content-Length: 4\r\n" }) {
            const auto outcome = callWith("HTTP/1.1 200 OK\r\n" + length + field + "\r\n\r\nevil");
            EXPECT_EQ(outcome.kind, service_outcome_kind::MayHaveRun) << field << " read as " << outcome.body;
        }
    }
}

TEST(malformed_responses, a_response_with_a_control_byte_in_a_value_may_have_run)
{
    for (int code = 0; code < 256; ++code) {
        const char byte = static_cast<char>(code);
        if (byte == '\n')
            continue; // ends the line
        const bool isAllowed = byte == '\t' || (code >= 0x20 && code != 0x7f);
        for (const std::size_t at : { 0, 1, 2 }) {
            std::string value = "ab";
            value.insert(at, 1, byte);
            response_guard guard;
            EXPECT_EQ(guard.take("HTTP/1.1 200 OK\r\nX-Name: " + value + "\r\nContent-Length: 4\r\n\r\n"), isAllowed)
                << "byte " << code << " at " << at;
        }
    }
}

TEST(malformed_responses, a_body_whose_chunks_are_damaged_may_have_run)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string body : { "2\r\nabX\r\n2\r\ncd\r\n0\r\n\r\n", "2\r\nab\r\n2\r\ncdX\r\n0\r\n\r\n",
             "2\r\nab\n0\r\n\r\n", "2\nab\r\n0\r\n\r\n", "2g\r\nab\r\n0\r\n\r\n", "0x2\r\nab\r\n0\r\n\r\n",
             "+2\r\nab\r\n0\r\n\r\n", " 2\r\nab\r\n0\r\n\r\n", "2 x\r\nab\r\n0\r\n\r\n", "2\r\nab\r\n0x\r\n\r\n",
             "2\r\nab\r\n-1\r\ncd\r\n0\r\n\r\n", "2\r\nab\r\n\r\n0\r\n\r\n", "2;a\nab\r\n0\r\n\r\n",
             "10000000000000002\r\nab\r\n0\r\n\r\n", "\r\n" }) {
        const auto outcome = callWith(head + body);
        EXPECT_EQ(outcome.kind, service_outcome_kind::MayHaveRun) << body << " read as " << outcome.body;
    }
    for (const std::string body : { "4\r\ngood\r\n0\r\n\r\n", "02\r\ngo\r\n2;x=\"y\";z\r\nod\r\n000\r\n\r\n",
             "2 \r\ngo\r\n2 ;x\r\nod\r\n0\r\n\r\n" }) {
        const auto outcome = callWith(head + body);
        EXPECT_EQ(outcome.kind, service_outcome_kind::Response) << body << " " << outcome.detail;
        EXPECT_EQ(outcome.body, "good") << body;
    }
}

TEST(malformed_responses, an_engine_stream_with_another_status_is_broken)
{
    const auto whole = engineResponse();
    for (const std::string status : { "000", "099", "600", "999" }) {
        silent_listener listener;
        std::thread server([&] { listener.answerOnce("HTTP/1.1 " + status + whole.substr(12)); });
        recording_sink sink;
        call_abort abort;
        http_engine_client(ampleMemory()).start(listener.address(), testRequest("x"), {}, sink, abort);
        server.join();
        EXPECT_EQ(sink.reason(), stream_break::Malformed) << status;
        EXPECT_TRUE(sink.tokens().empty()) << status;
    }
}

TEST(malformed_responses, responses_without_a_body_keep_their_status)
{
    EXPECT_EQ(callWith("HTTP/1.1 204 No Content\r\n\r\n").status, 204);
    EXPECT_EQ(callWith("HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n\r\n").status, 304);
}

TEST(malformed_responses, mutated_engine_responses_end_the_call_once)
{
    EXPECT_TRUE(rc::check("mutated response", [] {
        std::string response = engineResponse();
        const auto edits = *rc::gen::inRange(0, 3);
        for (int edit = 0; edit < edits; ++edit) {
            const auto at = *rc::gen::inRange<std::size_t>(0, response.size());
            if (*rc::gen::arbitrary<bool>())
                response[at] = *rc::gen::arbitrary<char>();
            else
                response.erase(at, *rc::gen::inRange<std::size_t>(1, 100));
            if (response.empty())
                break;
        }
        silent_listener listener;
        std::thread server([&] { listener.answerOnce(response); });
        recording_sink sink;
        call_abort abort;
        http_engine_client(ampleMemory()).start(listener.address(), testRequest("x"), {}, sink, abort);
        server.join();
        RC_ASSERT(sink.summary().has_value() != sink.reason().has_value());
        if (response == engineResponse())
            RC_ASSERT(sink.summary().has_value());
    }));
}

TEST(malformed_responses, the_guard_judges_chunks_in_any_pieces)
{
    EXPECT_TRUE(rc::check("chunks", [] {
        const std::string size = *rc::gen::element<std::string>("a", "A", "0a", "a;x", "9", "b", "a\n");
        const std::string body = size + "\r\n0123456789\r\n" + chunked(std::string(300, 'x')) + "0\r\n\r\n";
        chunk_framing framing;
        bool taken = true;
        for (std::size_t at = 0; at < body.size() && taken;) {
            const auto count = *rc::gen::inRange<std::size_t>(1, 64);
            taken = framing.take(std::string_view(body).substr(at, count));
            at += count;
        }
        RC_ASSERT(taken == (size != "9" && size != "b" && size != "a\n"));
    }));
}

TEST(malformed_responses, guard_gives_one_verdict_for_any_pieces)
{
    EXPECT_TRUE(rc::check("pieces", [] {
        const std::string response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 "
            + std::string(*rc::gen::inRange<std::size_t>(200, 300), 'a') + "\r\nX: y\r\n\r\nbody";
        response_guard whole;
        const bool expected = whole.take(response);
        response_guard guard;
        bool taken = true;
        for (std::size_t at = 0; at < response.size() && taken;) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 64);
            taken = guard.take(std::string_view(response).substr(at, size));
            at += size;
        }
        RC_ASSERT(taken == expected);
    }));
}
