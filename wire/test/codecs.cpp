// Guards the messages between nodes: what is encoded is decoded unchanged, and no mutation of the bytes ends the
// process or yields an unchecked value.
#include "wire/grant_codec.h"
#include "wire/membership_codec.h"
#include "wire/messages.pb.h"
#include "wire/ticket_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>

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

} // namespace

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
