// Guards against a node that reads the store again and again because other nodes give the newest change another
// revision.
#include "routing/store_gossip.h"

#include "routing/test/revisions.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Bound { 2'000 };

class StoreGossipRevisions : public testing::Test {
protected:
    // The next read of both topics ends at \p revision, with the last change at \p changeRevision.
    void read(std::uint64_t changeRevision, std::uint64_t revision)
    {
        ++readNumber;
        for (const auto topic : { store_topic::Configuration, store_topic::Targets })
            gossip.readEnded(
                { topic, readNumber }, topic_version { changedAt(changeRevision), storedAt(revision), now }, now);
    }

    static news_digest digestOf(std::uint64_t changeRevision, std::uint64_t readRevision)
    {
        news_digest digest;
        for (auto& topic : digest.topics)
            topic = { true, changedAt(changeRevision), storedAt(readRevision), 20ms };
        digest.reader = 0;
        return digest;
    }

    template <typename Action> static std::size_t count(const store_gossip::actions& actions)
    {
        std::size_t found = 0;
        for (const auto& action : actions)
            found += std::holds_alternative<Action>(action);
        return found;
    }

    instant now { 1'000s };
    std::uint64_t readNumber = 0;
    store_gossip gossip { node_id("10.0.0.1:1"), store_gossip_settings {}, Bound, true, seeded_random(1), now };
};

TEST_F(StoreGossipRevisions, AnAnnouncedChangeThatWasReadAlreadyIsNotPulled)
{
    EXPECT_EQ(count<read_store>(gossip.tick(now)), StoreTopicCount);
    read(97, 150);
    const auto actions = gossip.receive(node_id("10.0.0.2:1"), digestOf(100, 100), now);
    EXPECT_EQ(count<pull_changes>(actions), 0U);
    EXPECT_EQ(count<adopt_revision>(actions), StoreTopicCount);
    EXPECT_EQ(gossip.digest(now).of(store_topic::Targets).changeRevision, changedAt(100));
    EXPECT_EQ(gossip.digest(now).of(store_topic::Targets).readRevision, storedAt(150));
}

TEST_F(StoreGossipRevisions, ANewerChangeIsPulled)
{
    gossip.tick(now);
    read(97, 150);
    EXPECT_EQ(count<pull_changes>(gossip.receive(node_id("10.0.0.2:1"), digestOf(160, 160), now)), StoreTopicCount);
}

// The node reads the store when a change cannot be pulled for a while, and has then all that the store has.
TEST_F(StoreGossipRevisions, AReadEndsTheSearchForAnAnnouncedChange)
{
    gossip.tick(now);
    read(97, 150);
    gossip.receive(node_id("10.0.0.2:1"), digestOf(160, 160), now);
    std::size_t reads = 0;
    for (int step = 0; step < 100; ++step) {
        now += 10ms;
        for (const auto& action : gossip.tick(now)) {
            if (const auto* pull = std::get_if<pull_changes>(&action))
                gossip.pulled(pull->topic, std::nullopt, now);
            reads += std::holds_alternative<read_store>(action);
        }
        if (reads && gossip.digest(now).of(store_topic::Targets).readRevision == storedAt(150))
            read(97, 170);
    }
    EXPECT_GE(reads, StoreTopicCount);
    EXPECT_LE(reads, 6 * StoreTopicCount) << "four periods pass";
}

// Guards against removed targets that are kept again because a node that was frozen notices an earlier recovery late.
TEST_F(StoreGossipRevisions, ALateNoticeOfARecoveryIsIgnoredByANodeThatKnewOfReadsAllTheWhile)
{
    gossip.tick(now);
    gossip.storeResponded(store_topic::Targets, storedAt(150).epoch(), now, now);
    read(97, 150);
    auto digest = digestOf(97, 150);
    for (int period = 0; period < 12; ++period) {
        now += 250ms;
        EXPECT_EQ(count<store_recovered>(gossip.receive(node_id("10.0.0.2:1"), digest, now)), 0U);
    }
    digest.sinceRecovery = 100ms;
    EXPECT_EQ(count<store_recovered>(gossip.receive(node_id("10.0.0.3:1"), digest, now)), 0U);
    now += 3s; // without reads
    digest.sinceRecovery = 20ms;
    EXPECT_EQ(count<store_recovered>(gossip.receive(node_id("10.0.0.2:1"), digest, now)), 1U);
}

// Guards against a newer configuration that is pulled again and again: a node that still holds the store's previous
// epoch sends it with an older read.
TEST_F(StoreGossipRevisions, ANewerVersionOfAnEarlierEpochIsHeld)
{
    const content_revision older { 7, { 2, 60 } };
    const content_revision newer { 8, { 1, 100 } };
    gossip.tick(now);
    for (const auto topic : { store_topic::Configuration, store_topic::Targets })
        gossip.readEnded({ topic, 1 }, topic_version { older, { 2, 75 }, now }, now);
    news_digest digest;
    digest.of(store_topic::Configuration) = { true, newer, { 1, 100 }, 20ms };
    EXPECT_EQ(count<pull_changes>(gossip.receive(node_id("10.0.0.2:1"), digest, now)), 1U);
    gossip.pulled(store_topic::Configuration, topic_version { newer, { 2, 60 }, now }, now);
    EXPECT_EQ(gossip.digest(now).of(store_topic::Configuration).changeRevision, newer);
    EXPECT_EQ(gossip.digest(now).of(store_topic::Configuration).readRevision, (store_version { 2, 75 }));
}

} // namespace
