// Guards resumption by cursor: an altered, foreign-keyed or expired cursor is refused, and rotation of keys keeps
// cursors of the former key valid.
#include "config/settings.h"
#include "node/cursor_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace oriolepick;

namespace {

const cursor_key FirstKey { 1, std::string(64, 'a') };
const cursor_key SecondKey { 2, std::string(64, 'b') };
const wall_time Now { std::chrono::hours(500000) };

cursor sample()
{
    cursor value;
    value.key = { team_id(fleet_name("one"), "bench"), "k-1" };
    value.deployment = deployment_id(fleet_name("one"), "manuals");
    value.model = { model_id(fleet_name("one"), "manuals"), model_version("3"), adapter_name("") };
    value.attempt = { "n1-7-1", 2 };
    value.target = target_id(fleet_name("one"), "e1");
    value.seed = 11;
    value.answerDigest = ~0ULL;
    value.nextPosition = 77;
    value.expiry = Now + std::chrono::seconds(60);
    return value;
}

} // namespace

TEST(cursor, round_trip)
{
    const cursor_codec codec({ FirstKey });
    const auto decoded = codec.decode(codec.encode(sample()), Now);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded.value().key, sample().key);
    EXPECT_EQ(decoded.value().model, sample().model);
    EXPECT_EQ(decoded.value().attempt, sample().attempt);
    EXPECT_EQ(decoded.value().answerDigest, sample().answerDigest);
    EXPECT_EQ(decoded.value().nextPosition, 77u);
}

TEST(cursor, expired_and_unknown_keys_are_refused)
{
    const cursor_codec codec({ FirstKey });
    EXPECT_FALSE(codec.decode(codec.encode(sample()), Now + std::chrono::seconds(61)));
    EXPECT_FALSE(cursor_codec({ SecondKey }).decode(codec.encode(sample()), Now));
    const cursor_key forged { 1, std::string(64, 'c') };
    EXPECT_FALSE(cursor_codec({ forged }).decode(codec.encode(sample()), Now));
}

TEST(cursor, rotation_keeps_cursors_of_the_former_key_valid)
{
    const auto text = cursor_codec({ FirstKey }).encode(sample());
    EXPECT_TRUE(cursor_codec({ SecondKey, FirstKey }).decode(text, Now));
}

TEST(cursor, every_alteration_is_refused)
{
    const cursor_codec codec({ FirstKey });
    const auto text = codec.encode(sample());
    EXPECT_TRUE(rc::check("an altered cursor is refused", [&] {
        auto altered = text;
        const auto position = *rc::gen::inRange<std::size_t>(0, altered.size());
        altered[position] = *rc::gen::distinctFrom(rc::gen::arbitrary<char>(), altered[position]);
        const auto decoded = codec.decode(altered, Now);
        // Base64 ignores white space and padding bits, so an alteration may leave the same bytes.
        // RC_ASSERT evaluates both sides of an operator, so the value is read before it.
        const bool unchanged = decoded && codec.encode(decoded.value()) == text;
        RC_ASSERT(!decoded || unchanged);
    }));
}
