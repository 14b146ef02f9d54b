// Guards against changes that are compressed again for each node that pulls them, and against answers with the rows of
// an earlier state.
#include "gateway/packed_changes.h"

#include "gateway/table_replica.h"
#include "routing/test/revisions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;

namespace {

TEST(PackedChanges, AreEncodedOnceForAllNodes)
{
    table_replica replica;
    packed_changes changes;
    replica.replaceAll({}, storedAt(1));
    replica.applyChanges({ { "a", std::string(5'000, 'x'), false } }, storedAt(2));
    for (int node = 0; node < 5; ++node)
        changes.pack(replica, replica.changesAfter(changedAt(1)).rows);
    EXPECT_EQ(changes.packings(), 1U);
}

// Guards against nodes that compress rows which they have received compressed.
TEST(PackedChanges, OfAnotherNodeArePassedOn)
{
    table_replica source;
    table_replica replica;
    packed_changes changes;
    for (auto* each : { &source, &replica })
        each->replaceAll({}, storedAt(1));
    const auto pull = [&](const std::vector<stored_row>& rows, std::uint64_t revision) {
        source.applyChanges(rows, storedAt(revision));
        const auto after = replica.changeRevision();
        const auto bytes = encodeBatch(source.changesAfter(after));
        const auto batch = decodeBatch(bytes).value();
        replica.applyChanges(batch.rows, batch.readRevision, batch.changeRevision);
        changes.adopt(replica, after, batch.rows, packedRowsOf(bytes));
        EXPECT_EQ(changes.pack(replica, replica.changesAfter(after).rows).bytes, packRows(batch.rows).bytes);
    };
    pull({ { "a", std::string(5'000, 'x'), false } }, 2);
    EXPECT_EQ(changes.packings(), 0U);
    replica.applyChanges({ { "b", "1", false } }, storedAt(2));
    EXPECT_EQ(changes.pack(replica, replica.changesAfter(changedAt(1)).rows).bytes,
        packRows(replica.changesAfter(changedAt(1)).rows).bytes);
    EXPECT_EQ(changes.packings(), 1U) << "changes of its own";
}

RC_GTEST_PROP(PackedChanges, EqualTheRowsOfEachAnswer, (const std::vector<std::vector<std::uint8_t>>& rounds))
{
    table_replica replica;
    packed_changes changes;
    replica.replaceAll({}, storedAt(1));
    std::uint64_t revision = 1;
    for (const auto& round : rounds) {
        std::vector<stored_row> rows;
        for (const auto number : round)
            rows.push_back({ "k" + std::to_string(number % 8), std::to_string(number), number % 3 == 0 });
        // Pulled rows may have a revision that is known already.
        const auto pulled = round.size() % 3 ? std::nullopt : std::optional<content_revision>(changedAt(revision));
        replica.applyChanges(rows, storedAt(++revision), pulled);
        for (std::uint64_t known = revision > 6 ? revision - 6 : 1; known <= revision; ++known) {
            const auto answer = replica.changesAfter(changedAt(known));
            if (!answer.whole)
                RC_ASSERT(changes.pack(replica, answer.rows).bytes == packRows(answer.rows).bytes);
        }
    }
}

} // namespace
