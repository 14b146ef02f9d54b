// Guards the messages between nodes: what is encoded is decoded unchanged, and no mutation of the bytes ends the
// process or yields an unchecked value.
#include "wire/grant_codec.h"
#include "wire/membership_codec.h"
#include "wire/messages.pb.h"
#include "wire/target_limit_codec.h"
#include "wire/ticket_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <limits>

using namespace oriolepick;

namespace {

membership_message sampleMessage()
{
    const member_update self { node_id("127.0.0.1:9001"), availability_zone("z1"), region_name("r1"),
        member_state::Alive, 7 };
    const member_update other { node_id("127.0.0.1:9002"), availability_zone("z2"), region_name("r1"),
        member_state::Dead, 3 };
    return { self, ack_message { 42, node_id("127.0.0.1:9003") }, { other } };
}

target_limit_message sampleAnswer()
{
    permit_answer answer { 7, true, { { 4.2, 1'771'138'755'020 }, std::chrono::milliseconds(30) },
        std::chrono::milliseconds(240), std::chrono::milliseconds(2'600) };
    return { limited_target("t1"), availability_zone("z1"), answer };
}

std::optional<target_limit_message> transferred(const target_limit_message& message)
{
    wire::target_limit encoded;
    encode(message, encoded);
    return decode(encoded);
}

} // namespace

TEST(codecs, target_limit_round_trip)
{
    const auto decoded = transferred(sampleAnswer());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->target.value(), "t1");
    EXPECT_EQ(decoded->zone.value(), "z1");
    const auto& answer = std::get<permit_answer>(decoded->body);
    EXPECT_EQ(answer.number, 7u);
    EXPECT_TRUE(answer.granted);
    EXPECT_EQ(answer.known.limit.requestsPerSecond, 4.2);
    EXPECT_EQ(answer.known.limit.incarnation, 1'771'138'755'020u);
    EXPECT_EQ(answer.known.age, std::chrono::milliseconds(30));
    EXPECT_EQ(answer.timeToNext, std::chrono::milliseconds(240));
    EXPECT_EQ(answer.spread, std::chrono::milliseconds(2'600));
    const auto request = transferred({ limited_target("t1"), {}, permit_request { 9, {}, 2.5 } });
    ASSERT_TRUE(request);
    EXPECT_EQ(std::get<permit_request>(request->body).refused, 2.5);
    EXPECT_FALSE(std::get<permit_request>(request->body).known.limit.requestsPerSecond);
    const auto notice = transferred(
        { limited_target("t1"), {}, limit_notice { { { 0.7, 0 }, {} }, node_id("10.0.0.1:7200"), true } });
    ASSERT_TRUE(notice);
    EXPECT_EQ(std::get<limit_notice>(notice->body).owner.value(), "10.0.0.1:7200");
    EXPECT_TRUE(std::get<limit_notice>(notice->body).ownerIsLocal);
    EXPECT_EQ(std::get<limit_notice>(notice->body).known.limit.requestsPerSecond, 0.7);
}

TEST(codecs, target_limits_that_no_node_sends_are_rejected)
{
    EXPECT_FALSE(decode(wire::target_limit())) << "no target and no body";
    for (const double limit : { -1.0, 0.0, 0.1, 1e9, std::numeric_limits<double>::infinity(), std::nan("") })
        EXPECT_FALSE(transferred({ limited_target("t"), {}, limit_notice { { { limit, 0 }, {} }, {}, false } }))
            << limit;
    for (const auto* owner : { "nobody", "10.0.0.1", "10.0.0.1:99999", "host:80" })
        EXPECT_FALSE(transferred({ limited_target("t"), {}, limit_notice { {}, node_id(owner), false } })) << owner;
    for (const double refused : { -1.0, std::nan("") })
        EXPECT_FALSE(transferred({ limited_target("t"), {}, permit_request { 1, {}, refused } })) << refused;
    EXPECT_FALSE(transferred({ limited_target(std::string(300, 't')), {}, limit_notice {} }));
    wire::target_limit old;
    encode(sampleAnswer(), old);
    old.mutable_answer()->mutable_known()->set_age_ms(4'000'000);
    EXPECT_FALSE(decode(old)) << "older than an hour";
}

TEST(codecs, mutated_target_limits_are_decoded_or_dropped)
{
    wire::target_limit message;
    encode(sampleAnswer(), message);
    const auto bytes = message.SerializeAsString();
    EXPECT_TRUE(rc::check("a mutated message about a limit is decoded or dropped", [&] {
        auto mutated = bytes;
        const auto changes = *rc::gen::inRange(1, 6);
        for (int index = 0; index < changes; ++index)
            mutated[*rc::gen::inRange<std::size_t>(0, mutated.size())] = *rc::gen::arbitrary<char>();
        wire::target_limit parsed;
        if (!parsed.ParseFromString(mutated))
            return;
        const auto decoded = decode(parsed);
        if (!decoded || !std::holds_alternative<permit_answer>(decoded->body))
            return;
        const auto& known = std::get<permit_answer>(decoded->body).known;
        RC_ASSERT(!known.limit.requestsPerSecond || *known.limit.requestsPerSecond >= MinRequestLimit);
    }));
}

TEST(codecs, membership_round_trip)
{
    wire::membership encoded;
    encode(sampleMessage(), encoded);
    const auto decoded = decode(encoded);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->sender.node, sampleMessage().sender.node);
    EXPECT_EQ(decoded->updates.at(0).state, member_state::Dead);
    EXPECT_EQ(std::get<ack_message>(decoded->body).sequence, 42u);
}

TEST(codecs, membership_rejects_unknown_states_and_long_lists)
{
    wire::membership encoded;
    encode(sampleMessage(), encoded);
    auto unknownState = encoded;
    unknownState.mutable_sender()->set_state(99);
    EXPECT_FALSE(decode(unknownState));
    auto longList = encoded;
    for (std::size_t index = 0; index < MaxUpdatesPerMessage; ++index)
        *longList.add_updates() = encoded.updates(0);
    EXPECT_FALSE(decode(longList));
}

TEST(codecs, rates_must_be_finite)
{
    wire::demand_report report;
    report.set_team("one/bench");
    report.set_tokens_per_second(std::nan(""));
    EXPECT_FALSE(decode(report));
    report.set_tokens_per_second(5);
    EXPECT_TRUE(decode(report));
    report.set_team("bench");
    EXPECT_FALSE(decode(report));
}

TEST(codecs, mutated_bytes_are_decoded_or_dropped)
{
    wire::envelope message;
    message.set_sender("127.0.0.1:9001");
    encode(sampleMessage(), *message.mutable_membership());
    const auto bytes = message.SerializeAsString();
    EXPECT_TRUE(rc::check("a mutated envelope is decoded or dropped", [&] {
        auto mutated = bytes;
        const auto changes = *rc::gen::inRange(1, 6);
        for (int index = 0; index < changes; ++index)
            mutated[*rc::gen::inRange<std::size_t>(0, mutated.size())] = *rc::gen::arbitrary<char>();
        wire::envelope parsed;
        if (!parsed.ParseFromString(mutated) || parsed.body_case() != wire::envelope::kMembership)
            return;
        const auto decoded = decode(parsed.membership());
        if (decoded)
            RC_ASSERT(!decoded->sender.node.empty() && decoded->sender.state <= member_state::Dead);
    }));
}
