// Guards against a caller that was refused and is taken for a newcomer when it returns to another node, and against
// newcomers that are taken for such callers.
#include "gateway/refused_requests.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const node_id First("10.0.0.1:7200");
const node_id Second("10.0.0.2:7200");
const instant Start {};

TEST(RefusedRequests, ARefusedRequestIsRecognizedFromItsFirstRefusalOn)
{
    refused_requests refused;
    refused.recordAsked(First, 1, 77, Start);
    EXPECT_EQ(refused.waited(77, Start + 100ms), 0ms) << "no answer yet";
    refused.recordRefused(First, 1, Start + 100ms);
    EXPECT_EQ(refused.waited(77, Start + 600ms), 500ms);
    refused.recordAsked(Second, 1, 77, Start + 600ms);
    refused.recordRefused(Second, 1, Start + 700ms);
    EXPECT_EQ(refused.waited(77, Start + 1'100ms), 1s);
    EXPECT_EQ(refused.waited(78, Start + 1'100ms), 0ms) << "another request";
    EXPECT_EQ(refused.waited(77, Start + 20s), 0ms) << "the caller has given up";
}

TEST(RefusedRequests, RequestsWithoutHashAndUnknownQuestionsAreIgnored)
{
    refused_requests refused;
    refused.recordAsked(First, 1, 0, Start);
    refused.recordRefused(First, 1, Start);
    refused.recordRefused(First, 2, Start);
    EXPECT_EQ(refused.waited(0, Start + 1ms), 0ms);
}

TEST(RefusedRequests, MemoryIsBounded)
{
    refused_requests refused;
    for (std::uint64_t number = 1; number <= 100'000; ++number) {
        refused.recordAsked(First, number, number, Start);
        refused.recordRefused(First, number, Start);
    }
    EXPECT_EQ(refused.waited(1, Start + 1ms), 0ms) << "the oldest one was forgotten";
    EXPECT_EQ(refused.waited(100'000, Start + 1ms), 1ms);
}

} // namespace
