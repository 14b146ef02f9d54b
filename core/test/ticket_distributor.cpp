// Guards against a node that is ready without the state in force, a number in force that decreases, batches with a gap
// that are applied, lagging peers that are not updated, and a table read rate that grows with the fleet.
#include "core/ticket_distributor.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

const node_id Peer("peer");
const instant Start { std::chrono::hours(1) };

template <typename Action> const Action* find(const ticket_distributor::actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

ticket_batch batch(std::uint64_t first, std::vector<std::string> tickets, std::uint64_t head)
{
    ticket_batch made;
    made.first = first;
    made.tickets = std::move(tickets);
    made.headNumber = head;
    return made;
}

ticket_distributor started()
{
    ticket_distributor distributor({}, seeded_random(1));
    distributor.setPeers({ Peer });
    distributor.wake(Start);
    distributor.platformBatchRead(Start, batch(1, { "1", "2" }, 2));
    distributor.applied(store_version(0, 2));
    return distributor;
}

} // namespace

TEST(ticket_distributor, is_not_ready_until_the_reported_number_is_applied)
{
    ticket_distributor distributor({}, seeded_random(1));
    distributor.setPeers({ Peer });
    const auto first = distributor.wake(Start);
    EXPECT_TRUE(find<ticket_distributor::fetch>(first)) << "queries a peer";
    EXPECT_TRUE(find<ticket_distributor::read_tail>(first)) << "queries the platform at the same time";
    distributor.platformBatchRead(Start, std::nullopt);
    EXPECT_FALSE(distributor.ready());
    EXPECT_TRUE(distributor.fetchRequested(Peer, 0).empty()) << "the state in force is not complete";
    const auto taken = distributor.batchReceived(Start, Peer, batch(1, { "1" }, 2));
    ASSERT_TRUE(find<ticket_distributor::apply_batch>(taken));
    distributor.applied(store_version(0, 1));
    EXPECT_FALSE(distributor.ready()) << "the peer has one more ticket";
    distributor.batchReceived(Start, Peer, batch(2, { "2" }, 2));
    distributor.applied(store_version(0, 2));
    EXPECT_TRUE(distributor.ready());
}

TEST(ticket_distributor, a_fleet_without_tickets_is_ready_after_the_platform_read)
{
    ticket_distributor distributor({}, seeded_random(1));
    distributor.wake(Start);
    EXPECT_FALSE(distributor.ready());
    distributor.platformBatchRead(Start, batch(1, {}, 0));
    EXPECT_TRUE(distributor.ready());
}

TEST(ticket_distributor, moves_only_forward_and_without_gaps)
{
    auto distributor = started();
    EXPECT_TRUE(distributor.applied(store_version(0, 1)).empty());
    EXPECT_EQ(distributor.number(), 2u);
    EXPECT_TRUE(distributor.batchReceived(Start, Peer, batch(1, { "x", "y" }, 2)).empty());
    EXPECT_TRUE(distributor.batchReceived(Start, Peer, batch(4, { "4" }, 4)).empty());
    EXPECT_EQ(distributor.droppedBatches(), 1u);
    ticket_batch old;
    old.snapshotNumber = 1;
    old.snapshot = "older";
    EXPECT_TRUE(distributor.batchReceived(Start, Peer, old).empty());
    const auto overlapping = distributor.batchReceived(Start, Peer, batch(2, { "2", "3" }, 3));
    const auto* apply = find<ticket_distributor::apply_batch>(overlapping);
    ASSERT_TRUE(apply);
    EXPECT_EQ(apply->batch.first, 3u);
    EXPECT_EQ(apply->batch.tickets, std::vector<std::string> { "3" });
}

TEST(ticket_distributor, fetches_from_the_announcer_and_notifies_a_peer_that_is_behind)
{
    auto distributor = started();
    const auto fetched = distributor.peerPositionReceived(Start + milliseconds(500), Peer, store_version(0, 3));
    ASSERT_TRUE(find<ticket_distributor::fetch>(fetched));
    EXPECT_EQ(find<ticket_distributor::fetch>(fetched)->after, 2u);
    EXPECT_TRUE(
        distributor.peerPositionReceived(Start + milliseconds(600), node_id("other"), store_version(0, 3)).empty())
        << "one fetch at a time";
    EXPECT_EQ(find<ticket_distributor::announce>(distributor.peerPositionReceived(Start, Peer, store_version(0, 1)))
                  ->position.number(),
        2u);
    EXPECT_TRUE(find<ticket_distributor::fetch>(
        distributor.peerPositionReceived(Start + milliseconds(1000), node_id("other"), store_version(0, 3))))
        << "the announcer did not respond in time";
}

TEST(ticket_distributor, sends_the_tail_or_a_snapshot)
{
    auto distributor = started();
    const auto tail = distributor.fetchRequested(Peer, 1);
    ASSERT_TRUE(find<ticket_distributor::send_batch>(tail));
    EXPECT_EQ(find<ticket_distributor::send_batch>(tail)->batch.tickets, std::vector<std::string> { "2" });
    ticket_batch snapshot;
    snapshot.snapshotNumber = 10;
    snapshot.snapshot = "state";
    snapshot.headNumber = 10;
    distributor.batchReceived(Start, Peer, snapshot);
    distributor.applied(store_version(0, 10));
    EXPECT_TRUE(find<ticket_distributor::send_snapshot>(distributor.fetchRequested(Peer, 1)));
}

TEST(ticket_distributor, announces_to_three_peers_and_polls_within_the_fleets_read_budget)
{
    auto distributor = started();
    std::vector<node_id> peers;
    for (int index = 0; index < 369; ++index)
        peers.emplace_back(std::to_string(index));
    distributor.setPeers(peers);
    EXPECT_EQ(distributor.pollInterval(), milliseconds(18'500));
    distributor.batchReceived(Start, Peer, batch(3, { "3" }, 3));
    const auto actions = distributor.applied(store_version(0, 3));
    EXPECT_EQ(actions.size(), 3u);
    EXPECT_TRUE(std::all_of(actions.begin(), actions.end(), [](const ticket_distributor::action& action) {
        return std::holds_alternative<ticket_distributor::announce>(action);
    }));
    distributor.setPeers({ Peer });
    EXPECT_EQ(distributor.pollInterval(), milliseconds(1000));
}
