// Guards the callers' entrance: each bad field is named, unknown fields suggest the nearest one, and no mutation of a
// body ends the process.
#include "node/completion_request.h"
#include "node/error_body.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace oriolepick;

namespace {

const std::string Valid = R"({"model":"manuals","prompt":"p","max_tokens":9,"seed":3,"stream":true,"priority":9,
"deadline_ms":60000,"oriolepick":{"received_token_ids":[1,2,4294967295]}})";

} // namespace

TEST(completion_request, a_valid_body_is_read)
{
    const auto request = parseCompletionRequest(Valid);
    ASSERT_TRUE(request.has_value());
    EXPECT_EQ(request.value().maximumTokens, 9u);
    EXPECT_EQ(request.value().receivedTokens, (token_list { 1, 2, 4294967295U }));
    EXPECT_EQ(request.value().deadline, std::chrono::minutes(1));
}

TEST(completion_request, all_problems_are_named_at_once)
{
    const auto request = parseCompletionRequest(
        R"({"modle":"m","prompt":"","max_tokens":0,"seed":-1,"stream":1,"priority":10,"oriolepick":{"received_token_ids":[-1]}})");
    ASSERT_FALSE(request.has_value());
    for (const auto* part : { "modle: unknown field, did you mean 'model'?", "prompt: must", "max_tokens: 0 is outside",
             "seed: -1 is outside", "stream: must", "priority: 10 is outside", "received_token_ids: must",
             "model: is required" })
        EXPECT_NE(request.error().message.find(part), std::string::npos) << part << " in " << request.error().message;
}

TEST(completion_request, mutated_bodies_give_a_request_or_an_error)
{
    EXPECT_TRUE(rc::check("every mutation is answered", [] {
        auto text = Valid;
        const auto changes = *rc::gen::inRange(1, 8);
        for (int index = 0; index < changes; ++index)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        const auto request = parseCompletionRequest(text);
        if (!request)
            RC_ASSERT(!errorBody(request.error()).empty());
    }));
}
