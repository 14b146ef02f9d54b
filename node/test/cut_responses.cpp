// Guards against a success without its whole body, and against a second run of a call that runs at most once, when a
// target ends its connection in the middle of the response.
#include "node/test/node_fixture.h"
#include "node/test/response_proxy.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <string_view>

using namespace oriolepick;

namespace {

std::size_t headSize(const std::string& response)
{
    return response.find("\r\n\r\n") + 4;
}

std::string bodyOf(const std::string& response)
{
    return response.substr(headSize(response));
}

std::string fieldOf(const buffered_response& response, const char* name)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("error", nlohmann::json::object()).value(name, "") : std::string();
}

/// One response of a target that is not a whole response.
struct broken_response {
    const char* name;
    std::string (*make)(const std::string& body);
    bool reset;
};

const broken_response BrokenResponses[] = {
    { "no bytes", [](const std::string&) { return std::string(); }, false },
    { "fewer bytes than Content-Length",
        [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() + 1) + "\r\n\r\n" + body;
        },
        false },
    { "no body after Content-Length",
        [](const std::string&) { return std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"); }, false },
    { "chunks without the last one",
        [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + body.substr(0, 9) + "\r\n";
        },
        false },
    { "a cut chunk",
        [](const std::string&) { return std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc"); },
        false },
    { "a chunk longer than its size",
        [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + body.substr(0, 10) + "\r\n0\r\n\r\n";
        },
        false },
    { "the size of the last chunk is cut",
        [](const std::string&) {
            return std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0");
        },
        false },
    { "the trailer is cut",
        [](const std::string&) {
            return std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n");
        },
        false },
    { "chunks and a length",
        [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
        },
        false },
    { "a body without length is reset",
        [](const std::string& body) { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body; }, true },
    { "Content-Length is not a number",
        [](const std::string& body) { return "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n" + body; }, false },
    { "Content-Length is empty",
        [](const std::string& body) { return "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n" + body; }, false },
    { "Content-Length begins with digits only",
        [](const std::string& body) { return "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n" + body; }, false },
    { "two lengths",
        [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 9\r\n\r\n" + body;
        },
        false },
    { "the line of the length ends without a carriage return",
        [](const std::string& body) { return "HTTP/1.1 200 OK\r\nContent-Length: 900\n\r\n" + body; }, false },
    { "the line of the length has no colon",
        [](const std::string& body) { return "HTTP/1.1 200 OK\r\nContent-Length 900\r\n\r\n" + body; }, false },
    { "a coding that the node cannot undo",
        [](const std::string& body) { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + body; },
        false },
    { "a status of zeros",
        [](const std::string& body) { return "HTTP/1.1 000 X\r\nContent-Length: 9\r\n\r\n" + body.substr(0, 9); },
        false },
    { "a status above 599",
        [](const std::string& body) { return "HTTP/1.1 600 X\r\nContent-Length: 9\r\n\r\n" + body.substr(0, 9); },
        false },
    { "a blank in the name of a field",
        [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 9\r\n\r\n" + body.substr(0, 9);
        },
        false },
    { "a control byte in the name of a field",
        [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 9\r\n\r\n" + body.substr(0, 9);
        },
        false },
    { "a blank in the name of the length",
        [](const std::string& body) { return "HTTP/1.1 200 OK\r\nContent Length: 900\r\n\r\n" + body; }, false },
    { "a control byte in the name of the coding",
        [](const std::string& body) { return "HTTP/1.1 200 OK\r\nTransfer\x01-Encoding: chunked\r\n\r\n" + body; },
        false },
    { "a control byte in the value of a field",
        [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nX-Odd: a\x01\r\nContent-Length: 9\r\n\r\n" + body.substr(0, 9);
        },
        false },
    { "the final head after an interim one is cut",
        [](const std::string&) { return std::string("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nCont"); },
        false },
};

} // namespace

class cut_responses_test : public node_fixture {
protected:
    std::vector<std::string> serviceAddresses() override
    {
        m_broken = std::make_unique<response_proxy>(m_service.address());
        // Two targets, so that a call could be sent again.
        return { m_broken->address(), m_broken->address() };
    }

    /// Calls with new keys until the team's limit, of which a new node gets a small share, lets a call through.
    buffered_response callUnlimited(const char* method)
    {
        for (;;) {
            m_key = "cut-" + std::to_string(++m_lastKey);
            auto response = call(method, m_key, "{\"call\":\"" + m_key + "\"}");
            if (response.status != 429)
                return response;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    void expectNoSuccess(const buffered_response& response, const std::string& what)
    {
        EXPECT_EQ(response.result.end, exchange_end::Complete) << what;
        EXPECT_GE(response.status, 500) << what << ": " << response.body;
        EXPECT_EQ(fieldOf(response, "run"), "may_have_run") << what << ": " << response.body;
    }

    /// Calls that run at most once and calls that may be repeated, against what the target sends.
    void callBoth(const std::string& what)
    {
        expectNoSuccess(callUnlimited("POST"), "POST, " + what);
        EXPECT_EQ(m_service.runsOf("one/bench/" + m_key), 1u) << what;
        expectNoSuccess(callUnlimited("GET"), "GET, " + what);
    }

    std::unique_ptr<response_proxy> m_broken;
    std::string m_key; ///< of the last call
    int m_lastKey = 0;
};

TEST_F(cut_responses_test, a_response_cut_in_its_head_is_no_success)
{
    const auto whole = call("POST", "whole", "{}");
    ASSERT_EQ(whole.status, 200) << whole.body;
    for (const bool reset : { false, true }) {
        // Set by threads of the proxy, of which some go on after the test.
        const auto size = std::make_shared<std::atomic<std::size_t>>(1);
        for (std::size_t kept = 0; kept < *size; kept += kept < 24 ? 1 : 7) {
            m_broken->rewrite([size, kept, reset](const std::string&, const std::string& response) {
                *size = headSize(response);
                return replaced_response { response.substr(0, kept), reset };
            });
            callBoth("head cut after " + std::to_string(kept) + (reset ? " bytes, reset" : " bytes, closed"));
        }
    }
}

TEST_F(cut_responses_test, a_response_cut_in_its_body_or_framed_wrongly_is_no_success)
{
    for (const auto& broken : BrokenResponses) {
        m_broken->rewrite([&broken](const std::string&, const std::string& response) {
            return replaced_response { broken.make(bodyOf(response)), broken.reset };
        });
        callBoth(broken.name);
    }
}
