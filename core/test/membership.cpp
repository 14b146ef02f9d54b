// Guards that deaths, planned leaves, pauses, lost messages and lost zones are distinguished, and that a healed
// partition causes no message storm.
#include "core/test/membership_network.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace oriolepick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void addNodes(membership_network& network, int count, int zones)
{
    for (int number = 0; number < count; ++number)
        network.add("zone-" + std::to_string(number % zones));
}

template <typename Change> int countOf(const std::vector<membership_action>& actions)
{
    return static_cast<int>(std::count_if(
        actions.begin(), actions.end(), [](const auto& action) { return std::holds_alternative<Change>(action); }));
}

} // namespace

TEST(membership, new_node_learns_all_members_within_three_seconds)
{
    membership_network network(1);
    addNodes(network, 20, 4);
    network.run(seconds(30));
    ASSERT_EQ(network.firstMismatch(), "");
    const auto joined = network.add("zone-1");
    network.run(seconds(3));
    EXPECT_EQ(network.nodes()[joined].state->members().size(), 21u);
}

TEST(membership, dead_node_is_detected_as_dead_and_not_as_left)
{
    membership_network network(2);
    addNodes(network, 8, 4);
    network.run(seconds(20));
    network.stop(3);
    network.run(seconds(20));
    for (std::size_t observer = 0; observer < 8; ++observer) {
        if (observer != 3) {
            EXPECT_EQ(network.stateAt(observer, 3), member_state::Dead) << observer;
        }
    }
}

TEST(membership, leaving_node_is_distinguished_from_a_dead_one)
{
    membership_network network(3);
    addNodes(network, 8, 4);
    network.run(seconds(20));
    network.leave(5);
    network.run(seconds(5));
    for (std::size_t observer = 0; observer < 8; ++observer)
        EXPECT_EQ(network.stateAt(observer, 5), member_state::Leaving) << observer;
    const auto usable = network.nodes()[0].state->usableNodes();
    EXPECT_EQ(std::count(usable.begin(), usable.end(), network.nodes()[5].id), 0);
    network.stop(5);
    network.run(seconds(20));
    for (std::size_t observer = 0; observer < 8; ++observer) {
        if (observer != 5) {
            EXPECT_EQ(network.stateAt(observer, 5), member_state::Left) << observer;
        }
    }
}

TEST(membership, lossy_network_causes_no_false_death)
{
    membership_network network(4);
    addNodes(network, 8, 4);
    network.run(seconds(20));
    network.setLoss(0.15);
    network.run(seconds(120));
    int deaths = 0;
    for (std::size_t observer = 0; observer < 8; ++observer) {
        for (const auto& action : network.changesOf(observer)) {
            const auto* change = std::get_if<member_changed>(&action);
            deaths += change && change->state == member_state::Dead ? 1 : 0;
        }
    }
    EXPECT_EQ(deaths, 0);
}

TEST(membership, paused_node_does_not_suspect_the_others_when_it_resumes)
{
    membership_network network(5);
    addNodes(network, 6, 3);
    network.run(seconds(20));
    const auto before = countOf<member_changed>(network.changesOf(2));
    network.nodes()[2].paused = true;
    network.run(seconds(40));
    EXPECT_EQ(network.stateAt(0, 2), member_state::Dead);
    network.nodes()[2].paused = false;
    network.run(seconds(20));
    EXPECT_EQ(network.firstMismatch(), "");
    EXPECT_EQ(countOf<member_changed>(network.changesOf(2)), before);
}

// Failure: the timer of a probe expires while this node is paused, and the node then suspects the probed node.
TEST(membership, probe_sent_before_a_pause_causes_no_suspicion)
{
    membership state({ node_id("a"), {}, {}, member_state::Alive, 1 }, {}, seeded_random(1), instant());
    state.receive({ { node_id("b"), {}, {}, member_state::Alive, 1 }, ack_message {}, {} }, instant());
    const auto tickUntilProbe = [&](int time) {
        while (!countOf<send_membership_message>(state.tick(instant(milliseconds(time)))))
            time += 100;
        return time;
    };
    int time = tickUntilProbe(100);
    const auto afterPause = state.tick(instant(milliseconds(time += 40'000)));
    EXPECT_EQ(countOf<member_changed>(afterPause), 0);
    int changes = 0;
    for (int count = 0; count < 20; ++count)
        changes += countOf<member_changed>(state.tick(instant(milliseconds(time += 100))));
    EXPECT_EQ(changes, 1); // without a pause, an unanswered probe causes a suspicion
}

// Failure: this node is held up for less than a probe interval and suspects a node whose answer it has not read yet.
TEST(membership, answer_that_waits_while_this_node_is_held_up_prevents_a_suspicion)
{
    membership state({ node_id("a"), {}, {}, member_state::Alive, 1 }, {}, seeded_random(1), instant());
    const member_update other { node_id("b"), {}, {}, member_state::Alive, 1 };
    state.receive({ other, ack_message {}, {} }, instant());
    std::vector<membership_action> sent;
    int time = 0;
    while (!countOf<send_membership_message>(sent))
        sent = state.tick(instant(milliseconds(time += 100)));
    const auto& ping = std::get<ping_message>(std::get<send_membership_message>(sent.front()).message.body);
    for (int count = 0; count < 3; ++count)
        state.tick(instant(milliseconds(time += 100)));
    EXPECT_EQ(countOf<member_changed>(state.tick(instant(milliseconds(time += 800)))), 0);
    state.receive({ other, ack_message { ping.sequence, other.node }, {} }, instant(milliseconds(time)));
    for (int count = 0; count < 6; ++count)
        EXPECT_EQ(countOf<member_changed>(state.tick(instant(milliseconds(time += 100)))), 0);
}

// Failure: a node that is always a little late never finds that another has died.
TEST(membership, late_ticks_do_not_hide_a_death)
{
    membership state({ node_id("a"), {}, {}, member_state::Alive, 1 }, {}, seeded_random(1), instant());
    state.receive({ { node_id("b"), {}, {}, member_state::Alive, 1 }, ack_message {}, {} }, instant());
    for (int time = 0; time < 20'000; time += 250)
        state.tick(instant(milliseconds(time)));
    EXPECT_EQ(state.members().at(node_id("b")).update.state, member_state::Dead);
}

TEST(membership, lost_zone_is_reported_as_a_unit)
{
    membership_network network(6);
    addNodes(network, 8, 4);
    network.run(seconds(20));
    network.nodes()[1].group = network.nodes()[5].group = 1;
    network.run(seconds(20));
    EXPECT_EQ(countOf<zone_changed>(network.changesOf(0)), 1);
    EXPECT_EQ(countOf<region_changed>(network.changesOf(0)), 0);
    EXPECT_FALSE(network.nodes()[0].state->isolated());
    EXPECT_EQ(countOf<zone_changed>(network.changesOf(1)), 3);
    network.nodes()[1].group = network.nodes()[5].group = 0;
    network.run(seconds(40));
    EXPECT_EQ(countOf<zone_changed>(network.changesOf(0)), 2);
    EXPECT_EQ(network.firstMismatch(), "");
}

TEST(membership, isolated_node_detects_its_isolation)
{
    membership_network network(7);
    addNodes(network, 6, 3);
    network.run(seconds(20));
    network.nodes()[4].group = 1;
    network.run(seconds(30));
    EXPECT_TRUE(network.nodes()[4].state->isolated());
    EXPECT_FALSE(network.nodes()[0].state->isolated());
}

// Failure: all nodes exchange messages with the other half at once when the partition heals.
TEST(membership, healed_partition_converges_without_a_message_storm)
{
    membership_network network(8);
    addNodes(network, 40, 4);
    network.run(seconds(60));
    ASSERT_EQ(network.firstMismatch(), "");
    for (std::size_t index = 0; index < 40; ++index)
        network.nodes()[index].group = static_cast<int>(index % 2);
    network.run(seconds(120));
    for (auto& node : network.nodes()) {
        node.group = 0;
        node.sent = 0;
    }
    std::uint64_t most = 0;
    for (int second = 0; second < 60; ++second) {
        network.run(seconds(1));
        for (auto& node : network.nodes())
            most = std::max(most, std::exchange(node.sent, 0));
    }
    EXPECT_EQ(network.firstMismatch(), "");
    EXPECT_LE(most, 30u); // messages of one node in one second
}

TEST(membership, message_with_too_many_updates_is_ignored)
{
    membership state({ node_id("a"), {}, {}, member_state::Alive, 1 }, {}, seeded_random(1), instant());
    membership_message message { { node_id("b"), {}, {}, member_state::Alive, 1 }, ping_message { 1 }, {} };
    message.updates.resize(MaxUpdatesPerMessage + 1);
    EXPECT_TRUE(state.receive(message, instant()).empty());
    EXPECT_EQ(state.members().size(), 1u);
}

// When hundreds of nodes start, each node must read the list of members only once and in few messages, although it
// contacts several seeds.
TEST(membership, joining_node_reads_the_pages_of_the_first_seed_that_answers)
{
    membership_settings settings;
    settings.membersPerPage = MaxMembersPerPage;
    membership joining({ node_id("j"), {}, {}, member_state::Alive, 1 }, settings, seeded_random(1), instant());
    EXPECT_EQ(joining.join({ node_id("s1"), node_id("s2") }, instant()).size(), 2u);
    membership_message page { { node_id("s2"), {}, {}, member_state::Alive, 1 },
        sync_page_message { node_id("m"), true }, {} };
    for (std::size_t index = 0; index < MaxMembersPerPage; ++index)
        page.updates.push_back({ node_id("n" + std::to_string(index)), {}, {}, member_state::Alive, 1 });
    const auto messages = joining.receive(page, instant());
    EXPECT_EQ(countOf<send_membership_message>(messages), 1) << "the next page";
    EXPECT_EQ(joining.members().size(), MaxMembersPerPage + 2);
    page.sender.node = node_id("s1");
    EXPECT_EQ(countOf<send_membership_message>(joining.receive(page, instant())), 0);
}

TEST(membership, node_without_known_members_contacts_the_seeds_again_soon)
{
    membership_settings settings;
    settings.joinRetryInterval = milliseconds(200);
    membership alone({ node_id("j"), {}, {}, member_state::Alive, 1 }, settings, seeded_random(1), instant());
    alone.join({ node_id("s") }, instant());
    int contacts = 0;
    for (int tick = 1; tick <= 10; ++tick)
        contacts += countOf<send_membership_message>(alone.tick(instant() + milliseconds(100) * tick));
    EXPECT_GE(contacts, 4);
    EXPECT_LE(contacts, 6);
}
