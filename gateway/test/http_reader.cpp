// Guards against accepting requests with ambiguous framing, which another parser would split differently (request
// smuggling), and against taking truncated responses for complete ones.
#include "gateway/http_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;

namespace {

constexpr std::uint32_t MaxHeader = 1'024;
constexpr std::uint64_t MaxBody = 2'048;

read_fault faultOf(const std::string& text)
{
    request_reader reader(MaxHeader, MaxBody);
    reader.put(text);
    return reader.fault();
}

TEST(RequestReader, KeepsMethodTargetFieldsAndBody)
{
    request_reader reader(MaxHeader, MaxBody);
    const std::string text = "POST /a/b?c=%20d HTTP/1.1\r\nHost: x\r\nX-Odd: A b\r\nContent-Length: 3\r\n\r\nabcGET";
    EXPECT_EQ(reader.put(text), text.size() - 3) << "the next request must not be consumed";
    ASSERT_TRUE(reader.isDone());
    const auto request = reader.take();
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/a/b?c=%20d");
    EXPECT_EQ(request.path(), "/a/b");
    EXPECT_EQ(*findField(request.fields, "x-odd"), "A b");
    EXPECT_EQ(request.body, "abc");
    EXPECT_TRUE(request.keepAlive);
}

TEST(RequestReader, JoinsChunks)
{
    request_reader reader(MaxHeader, MaxBody);
    reader.put("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(reader.isDone());
    EXPECT_EQ(reader.take().body, "abcde");
}

TEST(RequestReader, RefusesEveryDoubleFraming)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
    EXPECT_EQ(faultOf(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), read_fault::Malformed);
    EXPECT_EQ(faultOf(start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"), read_fault::Malformed);
    EXPECT_EQ(faultOf(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n"), read_fault::Malformed);
    EXPECT_EQ(faultOf(start + "Transfer-Encoding: chunked, identity\r\n\r\n"), read_fault::Malformed);
    EXPECT_EQ(faultOf(start + "Transfer-Encoding: gzip\r\n\r\n"), read_fault::Malformed);
    EXPECT_EQ(faultOf(start + "Content-Length: +3\r\n\r\n"), read_fault::Malformed);
    EXPECT_EQ(faultOf(start + "Content-Length: 0x3\r\n\r\n"), read_fault::Malformed);
    EXPECT_EQ(faultOf(start + "Bad Field: 3\r\n\r\n"), read_fault::Malformed);
    EXPECT_EQ(faultOf("POST / HTTP/1.1 x\r\n\r\n"), read_fault::Malformed);
}

TEST(RequestReader, BoundsHeaderAndBody)
{
    EXPECT_EQ(
        faultOf("GET / HTTP/1.1\r\nX: " + std::string(2 * MaxHeader, 'a') + "\r\n\r\n"), read_fault::HeaderTooLarge);
    EXPECT_EQ(faultOf("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n"), read_fault::BodyTooLarge);
}

TEST(ResponseReader, TellsACutResponseFromAWholeOne)
{
    response_reader cut(MaxHeader);
    cut.put("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    cut.putEnd();
    EXPECT_EQ(cut.fault(), read_fault::Truncated);

    response_reader chunked(MaxHeader);
    chunked.put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    EXPECT_FALSE(chunked.isDone());
    chunked.putEnd();
    EXPECT_EQ(chunked.fault(), read_fault::Truncated);

    response_reader open(MaxHeader);
    open.put("HTTP/1.1 200 OK\r\n\r\nabc");
    EXPECT_TRUE(open.endsWithConnection());
    open.putEnd();
    EXPECT_TRUE(open.isDone());
    EXPECT_EQ(open.takeBody(), "abc");
    EXPECT_FALSE(open.keepAlive());
}

TEST(ResponseReader, LeavesBytesBehindAWholeResponse)
{
    response_reader reader(MaxHeader);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP";
    EXPECT_EQ(reader.put(text), text.size() - 4);
    EXPECT_TRUE(reader.isDone());
}

// Mutates valid messages: no input may crash a parser or be read beyond its end.
RC_GTEST_PROP(HttpReaders, SurviveMutatedMessages, (const std::vector<std::pair<std::uint16_t, char>>& changes))
{
    std::string request = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nabcde";
    for (const auto& [position, byte] : changes) {
        request[position % request.size()] = byte;
        response[position % response.size()] = byte;
    }
    request_reader requests(MaxHeader, MaxBody);
    RC_ASSERT(requests.put(request) <= request.size());
    response_reader responses(MaxHeader);
    RC_ASSERT(responses.put(response) <= response.size());
    responses.putEnd();
    RC_ASSERT(responses.isDone() || responses.fault() != read_fault::None);
}

} // namespace
