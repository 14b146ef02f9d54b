// Guards against nodes that are left blind, or fed stale news, by the node that reads the store for them.
#include "gateway/row_codec.h"
#include "gateway/row_replica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

row_answer changes(std::uint64_t revision, const std::string& key)
{
    row_answer answer;
    answer.status = row_status::Done;
    answer.revision = revision;
    if (!key.empty())
        answer.rows.push_back({ key, "v", false });
    return answer;
}

TEST(RowReplica, HandsOnWhatCameAfterARevision)
{
    const instant now { 100s };
    row_replica replica;
    EXPECT_EQ(replica.changesAfter(0, 1s, now).status, row_status::Unavailable);
    replica.restart(10, now);
    replica.add(changes(12, "a"), now);
    replica.add(changes(15, "b"), now);
    replica.add(changes(18, ""), now);
    const auto all = replica.changesAfter(10, 1s, now);
    EXPECT_EQ(all.status, row_status::Done);
    EXPECT_EQ(all.rows.size(), 2U);
    EXPECT_EQ(all.revision, 18U);
    EXPECT_EQ(replica.changesAfter(12, 1s, now).rows.front().key, "b");
    EXPECT_TRUE(replica.changesAfter(18, 1s, now).rows.empty());
    EXPECT_EQ(replica.changesAfter(30, 1s, now).revision, 30U) << "a reader that is ahead keeps its revision";
}

TEST(RowReplica, OlderChangesThanItKnowsMustBeReadInTheStore)
{
    const instant now { 100s };
    row_replica replica;
    replica.restart(10, now);
    EXPECT_EQ(replica.changesAfter(9, 1s, now).status, row_status::HistoryLost);
    for (std::uint64_t revision = 11; revision < 500; ++revision)
        replica.add(changes(revision, "k"), now);
    EXPECT_EQ(replica.changesAfter(10, 1s, now).status, row_status::HistoryLost);
}

TEST(RowReplica, StaleKnowledgeIsNotHandedOn)
{
    const instant now { 100s };
    row_replica replica;
    replica.restart(10, now);
    EXPECT_EQ(replica.changesAfter(10, 1s, now + 900ms).age, 900ms);
    EXPECT_EQ(replica.changesAfter(10, 1s, now + 1100ms).status, row_status::Unavailable);
}

RC_GTEST_PROP(
    RowCodec, RowsSurviveTheWay, (const std::vector<std::pair<std::string, std::string>>& rows, std::uint32_t revision))
{
    row_answer answer;
    answer.revision = revision;
    for (const auto& [key, value] : rows)
        answer.rows.push_back({ key, value, value.empty() });
    const auto decoded = decodeRows(encodeRows(answer));
    RC_ASSERT(decoded.status == row_status::Done);
    RC_ASSERT(decoded.revision == answer.revision);
    RC_ASSERT(decoded.rows.size() == answer.rows.size());
    for (std::size_t index = 0; index < rows.size(); ++index) {
        RC_ASSERT(decoded.rows[index].key == rows[index].first);
        RC_ASSERT(decoded.rows[index].value == rows[index].second);
        RC_ASSERT(decoded.rows[index].removed == rows[index].second.empty());
    }
}

RC_GTEST_PROP(RowCodec, SurvivesMutations, (const std::vector<std::pair<std::uint16_t, char>>& changed))
{
    auto text = encodeRows(changes(7, "key"));
    auto node = encodeNode({ node_id("n"), availability_zone("z"), "10.0.0.1:80", 3 });
    for (const auto& [position, byte] : changed) {
        text[position % text.size()] = byte;
        node[position % node.size()] = byte;
    }
    const auto decoded = decodeRows(text);
    const bool told = decoded.status == row_status::Done || !decoded.problem.empty();
    RC_ASSERT(told);
    const auto entry = decodeNode("n", node);
    const bool usable = !entry || !entry->peerAddress.empty();
    RC_ASSERT(usable);
}

} // namespace
