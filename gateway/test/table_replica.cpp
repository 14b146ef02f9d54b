// Guards against nodes that receive outdated, incomplete or needless changes from another node.
#include "gateway/table_replica.h"

#include "routing/test/revisions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;

namespace {

stored_row row(const std::string& key, const std::string& value)
{
    return { key, value, false };
}

stored_row removed(const std::string& key)
{
    return { key, {}, true };
}

TEST(TableReplica, ReturnsChangesAfterARevision)
{
    table_replica replica;
    EXPECT_FALSE(replica.isLoaded());
    replica.replaceAll({ row("a", "1") }, storedAt(10));
    replica.applyChanges({ row("a", "2") }, storedAt(12));
    replica.applyChanges({ row("b", "1") }, storedAt(15));
    replica.applyChanges({}, storedAt(18));
    EXPECT_EQ(replica.changeRevision(), changedAt(15));
    EXPECT_EQ(replica.readRevision(), storedAt(18));
    const auto all = replica.changesAfter(changedAt(10));
    EXPECT_FALSE(all.whole);
    EXPECT_EQ(all.rows.size(), 2U);
    EXPECT_EQ(all.changeRevision, changedAt(15));
    EXPECT_EQ(replica.changesAfter(changedAt(12)).rows.front().key, "b");
    EXPECT_TRUE(replica.changesAfter(changedAt(15)).rows.empty());
}

// Guards against a target that has started again and is removed, because the removal of its earlier start is read after
// another node has sent the new registration.
TEST(TableReplica, ARemovalFromBeforeThePulledRowIsNotApplied)
{
    table_replica replica;
    std::vector<std::string> applied;
    const auto apply = [&applied](const stored_row& row) { applied.push_back((row.removed ? "-" : "+") + row.key); };
    replica.replaceAll({ row("a", "1"), row("b", "1") }, storedAt(10));
    replica.applyChanges({ row("a", "2") }, storedAt(20), changedAt(20), apply);
    applied.clear();
    const stored_row former { "a", {}, true, 15 };
    const stored_row later { "a", {}, true, 25 };
    const stored_row other { "b", {}, true, 15 };
    replica.applyChanges({ former, other }, storedAt(22), {}, apply);
    EXPECT_EQ(applied, (std::vector<std::string> { "-b" }));
    replica.applyChanges({ later }, storedAt(26), {}, apply);
    EXPECT_EQ(applied.back(), "-a");
}

TEST(TableReplica, NodeWithoutATableGetsAllRows)
{
    table_replica replica;
    replica.replaceAll({}, storedAt(0));
    EXPECT_TRUE(replica.changesAfter(std::nullopt).whole) << "even when the table is empty";
    replica.applyChanges({ row("a", "1"), row("b", "1") }, storedAt(5));
    replica.applyChanges({ removed("a") }, storedAt(6));
    const auto all = replica.changesAfter(std::nullopt);
    ASSERT_EQ(all.rows.size(), 2U);
    EXPECT_EQ(all.rows.front().key, "b");
    EXPECT_FALSE(all.rows.front().removed);
    EXPECT_TRUE(all.rows.back().removed);
}

TEST(TableReplica, NodeFarBehindGetsAllRows)
{
    table_replica replica;
    replica.replaceAll({ row("a", "1") }, storedAt(10));
    EXPECT_TRUE(replica.changesAfter(changedAt(9)).whole);
    for (std::uint64_t revision = 11; revision < 500; ++revision)
        replica.applyChanges({ row("k", std::to_string(revision)) }, storedAt(revision));
    EXPECT_TRUE(replica.changesAfter(changedAt(10)).whole);
    EXPECT_EQ(replica.changesAfter(changedAt(10)).rows.size(), 2U);
    EXPECT_FALSE(replica.changesAfter(changedAt(490)).whole);
}

TEST(TableReplica, KeepsOnlyUpdates)
{
    table_replica replica([](const stored_row& each) {
        return each.removed || each.value != "renewed" ? row_effect::Update : row_effect::Renewal;
    });
    replica.replaceAll({ row("a", "1"), row("b", "1") }, storedAt(10));
    EXPECT_TRUE(replica.applyChanges({ row("a", "renewed") }, storedAt(11)).empty());
    EXPECT_EQ(replica.changeRevision(), changedAt(10));
    EXPECT_EQ(replica.applyChanges({ row("a", "renewed"), row("b", "2") }, storedAt(12)).size(), 1U);
    EXPECT_EQ(replica.changesAfter(changedAt(10)).rows.size(), 1U);
}

// Guards against an order that is written again with the same value and taken for the earlier one.
TEST(TableReplica, ARowThatKeepsItsRevisionIsAnUpdateWhenItIsWrittenAgain)
{
    table_replica replica({}, {}, [](const stored_row& each) { return each.key == "order"; });
    replica.replaceAll({ { "order", std::string("1"), false, 8 }, { "a", std::string("1"), false, 9 } }, storedAt(10));
    EXPECT_EQ(replica.changesAfter(std::nullopt).rows.size(), 2U);
    for (const auto& row : replica.changesAfter(std::nullopt).rows)
        EXPECT_EQ(row.revision, row.key == "order" ? 8U : 0U);
    const std::vector<stored_row> writtenAgain { { "order", std::string("1"), false, 11 },
        { "a", std::string("1"), false, 12 } };
    EXPECT_EQ(replica.applyChanges(writtenAgain, storedAt(12)).size(), 1U);
    const auto news = replica.changesAfter(changedAt(10));
    ASSERT_EQ(news.rows.size(), 1U);
    EXPECT_EQ(news.rows[0].revision, 11U);
    EXPECT_TRUE(replica.applyChanges(writtenAgain, storedAt(13)).empty());
    table_replica other({}, {}, [](const stored_row& each) { return each.key == "order"; });
    other.replaceAll(replica.changesAfter(std::nullopt).rows, storedAt(13), replica.changeRevision());
    EXPECT_EQ(other.replaceAll(writtenAgain, storedAt(14), changedAt(14)).size(), 0U);
    EXPECT_EQ(replica.applyChanges({ { "order", {}, true, 15 } }, storedAt(15)).front().value.string(), "1");
}

// Guards against nodes that miss a change for good because they pulled from a node to which the change was none.
TEST(TableReplica, UpdatesOfAnotherNodeAreSentOnEvenIfTheyAreNoneHere)
{
    table_replica replica([](const stored_row&) { return row_effect::Outdated; });
    replica.replaceAll({ row("a", "ready") }, storedAt(10));
    replica.applyChanges({ row("a", "draining") }, storedAt(12), changedAt(12));
    EXPECT_EQ(replica.changeRevision(), changedAt(12));
    const auto handed = replica.changesAfter(changedAt(10));
    ASSERT_EQ(handed.rows.size(), 1U);
    EXPECT_EQ(handed.rows.front().value, "draining");
    EXPECT_EQ(replica.changesAfter(std::nullopt).rows.front().value, "draining") << "also with the whole table";
}

// Guards against nodes that read the whole table while a late write stood in place of a row, and do not learn of the
// row itself, because its renewals are not sent.
TEST(TableReplica, ARowThatFollowsAnOutdatedOneInItsPlaceIsAnUpdate)
{
    table_replica replica(
        [](const stored_row& row) { return row.value == "old" ? row_effect::Outdated : row_effect::Renewal; });
    replica.replaceAll({ row("a", "1") }, storedAt(10));
    EXPECT_TRUE(replica.applyChanges({ row("a", "2") }, storedAt(12)).empty());
    EXPECT_TRUE(replica.applyChanges({ row("a", "old") }, storedAt(14)).empty());
    EXPECT_EQ(replica.applyChanges({ row("a", "3") }, storedAt(16)).size(), 1U);
    EXPECT_EQ(replica.changeRevision(), changedAt(16));
    EXPECT_TRUE(replica.applyChanges({ row("a", "4") }, storedAt(18)).empty()) << "once";
    EXPECT_EQ(replica.applyChanges({ row("a", "old"), row("a", "5") }, storedAt(20)).size(), 1U);
    replica.replaceAll({ row("a", "old") }, storedAt(22));
    EXPECT_EQ(replica.applyChanges({ row("a", "6") }, storedAt(24)).size(), 1U);
}

// Guards against the same at nodes that take the outdated row over from another node, which does not know the row
// itself.
TEST(TableReplica, ARowThatFollowsAnOutdatedOneOfAnotherNodeIsAnUpdate)
{
    table_replica replica(
        [](const stored_row& row) { return row.value == "old" ? row_effect::Outdated : row_effect::Renewal; });
    replica.replaceAll({ row("a", "1") }, storedAt(10));
    replica.applyChanges({ row("a", "old") }, storedAt(12), changedAt(12));
    EXPECT_EQ(replica.applyChanges({ row("a", "2") }, storedAt(14)).size(), 1U);
    EXPECT_EQ(replica.changeRevision(), changedAt(14));
    EXPECT_TRUE(replica.applyChanges({ row("a", "3") }, storedAt(16)).empty()) << "once";
    replica.replaceAll({ row("a", "old") }, storedAt(18), changedAt(18));
    EXPECT_EQ(replica.applyChanges({ row("a", "4") }, storedAt(20)).size(), 1U);
}

// Guards against targets that left and are used on: a node that was frozen reads the whole table, and never knew that
// the row was there.
TEST(TableReplica, ANodeThatKnowsMoreThanThatBeforeAWholeReadGetsAllRows)
{
    table_replica replica;
    replica.replaceAll({ row("a", "1") }, storedAt(10));
    replica.applyChanges({ row("b", "1") }, storedAt(12));
    replica.replaceAll({ row("a", "2"), row("b", "1") }, storedAt(30));
    EXPECT_FALSE(replica.changesAfter(changedAt(10)).whole);
    EXPECT_FALSE(replica.changesAfter(changedAt(12)).whole);
    EXPECT_TRUE(replica.changesAfter(changedAt(20)).whole) << "it may hold a row that was removed since";
    EXPECT_FALSE(replica.changesAfter(changedAt(30)).whole);
    replica.replaceAll({ row("a", "3"), row("b", "1") }, storedAt(50), changedAt(45));
    EXPECT_TRUE(replica.changesAfter(changedAt(20)).whole);
    EXPECT_TRUE(replica.changesAfter(changedAt(40)).whole) << "also when the table is that of another node";
    EXPECT_FALSE(replica.changesAfter(changedAt(45)).whole);
}

// Guards against a node that starts and takes a late write of a removed row for a new row.
TEST(TableReplica, NodeWithoutATableGetsTheLastRemovalsToo)
{
    table_replica replica;
    replica.replaceAll({ row("a", "1"), row("b", "1") }, storedAt(10));
    replica.applyChanges({ removed("a") }, storedAt(12));
    const auto all = replica.changesAfter(std::nullopt);
    ASSERT_EQ(all.rows.size(), 2U);
    EXPECT_EQ(all.rows.back().key, "a");
    EXPECT_EQ(all.rows.back().value, "1") << "the last known value";
    EXPECT_TRUE(all.rows.back().removed);
    table_replica started;
    started.replaceAll(all.rows, all.readRevision, all.changeRevision);
    EXPECT_EQ(started.changesAfter(std::nullopt).rows.size(), 2U) << "handed on to the next node";
    started.applyChanges({ row("a", "2") }, storedAt(14));
    EXPECT_FALSE(started.changesAfter(std::nullopt).rows.front().removed);
    EXPECT_EQ(started.changesAfter(std::nullopt).rows.size(), 2U) << "no removal of a row that exists again";
}

TEST(TableReplica, FullReadAddsOnlyTheDifference)
{
    table_replica replica;
    replica.replaceAll({ row("a", "1"), row("b", "1"), row("c", "1") }, storedAt(10));
    const auto updates = replica.replaceAll({ row("a", "1"), row("b", "2"), row("d", "1") }, storedAt(30));
    EXPECT_EQ(updates.size(), 3U) << "b changed, d was added, c was removed";
    const auto handed = replica.changesAfter(changedAt(10));
    EXPECT_FALSE(handed.whole);
    EXPECT_EQ(handed.rows.size(), 3U);
    EXPECT_EQ(handed.changeRevision, changedAt(30));
    replica.replaceAll({ row("a", "1"), row("b", "2"), row("d", "1") }, storedAt(40));
    EXPECT_EQ(replica.changeRevision(), changedAt(30)) << "nothing has changed";
    EXPECT_EQ(replica.readRevision(), storedAt(40));
}

// Guards against a large row that is parsed several times only to learn its version.
TEST(TableReplica, ReadsTheVersionOfARowOnce)
{
    int readings = 0;
    table_replica replica({}, [&readings](const stored_row& each) -> std::optional<std::uint64_t> {
        ++readings;
        return each.value.empty() ? std::nullopt : std::optional<std::uint64_t>(std::stoull(each.value));
    });
    replica.replaceAll({ row("a", "1") }, storedAt(10));
    EXPECT_EQ(readings, 1);
    replica.applyChanges({ row("a", "2") }, storedAt(11));
    EXPECT_EQ(readings, 2);
    replica.applyChanges({ row("a", "3") }, storedAt(12), content_revision { 3, storedAt(12) });
    EXPECT_EQ(readings, 3);
    replica.replaceAll({ row("a", "3") }, storedAt(13));
    replica.applyChanges({ row("a", "3") }, storedAt(14));
    EXPECT_EQ(readings, 3) << "the value is the held one";
    EXPECT_TRUE(replica.applyChanges({ row("a", "2"), removed("a") }, storedAt(15)).empty()) << "never back";
    EXPECT_EQ(replica.changeRevision().version, 3U);
    EXPECT_EQ(replica.changesAfter(std::nullopt).rows.front().value, "3");
}

// Guards against a history that keeps up to 64 versions of a configuration of some hundred kilobytes.
TEST(TableReplica, HistoryKeepsOnlyTheLastVersionOfARow)
{
    table_replica replica({}, [](const stored_row& each) { return std::optional<std::uint64_t>(each.value.front()); });
    replica.replaceAll({ row("a", std::string(1'000, 1)) }, storedAt(10));
    for (char version = 2; version < 20; ++version)
        replica.applyChanges({ row("a", std::string(1'000, version)) }, storedAt(10U + version));
    EXPECT_EQ(replica.valueBytes(), 2'000U) << "the table and the last change";
    for (std::uint64_t revision = 10; revision < 29; ++revision) {
        const auto changes = replica.changesAfter(content_revision { revision - 9, storedAt(revision) });
        EXPECT_FALSE(changes.whole);
        ASSERT_EQ(changes.rows.size(), 1U) << revision;
        EXPECT_EQ(changes.rows.front().value.front(), 19);
    }
}

// Guards against a copy of a large configuration for each place that holds it, and for each answer to another node.
TEST(TableReplica, HoldsAndHandsOutTheValueThatItReceived)
{
    table_replica replica({}, [](const stored_row& each) { return std::optional<std::uint64_t>(each.value.size()); });
    replica.replaceAll({ row("a", "1") }, storedAt(10));
    const auto received = row("a", std::string(1'000, 'x'));
    const auto* bytes = received.value.string().data();
    const auto updates = replica.applyChanges({ received }, storedAt(11), {},
        [bytes](const stored_row& applied) { EXPECT_EQ(applied.value.string().data(), bytes); });
    EXPECT_EQ(updates.at(0).value.string().data(), bytes);
    EXPECT_EQ(replica.changesAfter(changedAt(10)).rows.at(0).value.string().data(), bytes);
    EXPECT_EQ(replica.changesAfter(std::nullopt).rows.at(0).value.string().data(), bytes);
}

// Whichever updates a node misses in between, it ends with the same rows as the node that reads the store.
RC_GTEST_PROP(TableReplica, FollowersConvergeToTheSameRows, (const std::vector<std::vector<std::uint8_t>>& rounds))
{
    table_replica reader;
    table_replica follower;
    reader.replaceAll({}, storedAt(1));
    std::uint64_t revision = 1;
    for (std::size_t round = 0; round < rounds.size(); ++round) {
        std::vector<stored_row> rows;
        for (const auto number : rounds[round])
            rows.push_back({ "k" + std::to_string(number % 8), std::to_string(number), number % 3 == 0 });
        reader.applyChanges(rows, storedAt(revision += 3));
        if (round % 3 == 2)
            continue; // the follower misses a round
        const auto known
            = follower.isLoaded() ? std::optional<content_revision>(follower.changeRevision()) : std::nullopt;
        const auto batch = reader.changesAfter(known);
        if (batch.whole)
            follower.replaceAll(batch.rows, batch.readRevision, batch.changeRevision);
        else
            follower.applyChanges(batch.rows, batch.readRevision, batch.changeRevision);
        RC_ASSERT(follower.changeRevision() == reader.changeRevision());
        const auto left = reader.changesAfter(std::nullopt).rows;
        const auto right = follower.changesAfter(std::nullopt).rows;
        RC_ASSERT(left.size() == right.size());
        for (std::size_t index = 0; index < left.size(); ++index)
            RC_ASSERT(left[index].key == right[index].key && left[index].value == right[index].value);
    }
}

} // namespace
