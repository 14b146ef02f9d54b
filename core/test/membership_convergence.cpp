// Guards that the nodes' views agree with the facts in bounded time after joins, deaths, pauses, losses and partitions,
// and that no live reachable node stays dead.
#include "core/test/membership_network.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void addNodes(membership_network& network, int count, int zones)
{
    for (int number = 0; number < count; ++number)
        network.add("zone-" + std::to_string(number % zones));
}

void injectFault(membership_network& network, seeded_random& random)
{
    auto& nodes = network.nodes();
    const auto index = random.below(nodes.size());
    switch (random.below(6)) {
    case 0:
        if (nodes.size() < 12)
            network.add("zone-" + std::to_string(random.below(3)));
        break;
    case 1:
        network.stop(index);
        break;
    case 2:
        if (!nodes[index].running)
            network.start(index);
        break;
    case 3:
        nodes[index].paused = !nodes[index].paused;
        break;
    case 4:
        for (auto& node : nodes)
            node.group = static_cast<int>(random.below(2));
        break;
    default:
        network.setLoss(0.3 * random.unit());
    }
}

} // namespace

// The bound: one probe round (n s), suspicion (below 10 s), spreading (below 10 s), and one sync interval (5 s) for
// each absent node and each of the 3 seeds.
RC_GTEST_PROP(membership, views_converge_in_bounded_time_after_the_last_fault, (std::uint64_t seed))
{
    seeded_random random(seed);
    membership_network network(random.next());
    addNodes(network, 4, 3);
    for (int event = 0; event < 12; ++event) {
        network.run(milliseconds(random.below(12'000)));
        injectFault(network, random);
    }
    network.setLoss(0);
    for (auto& node : network.nodes()) {
        node.group = 0;
        node.paused = false;
    }
    if (!network.nodes()[0].running)
        network.start(0); // at least one seed, or nobody can be found
    const auto count = static_cast<int>(network.nodes().size());
    network.run(seconds(count + 20 + 5 * (count + 2)));
    RC_ASSERT(network.firstMismatch() == "");
    network.run(seconds(30));
    RC_ASSERT(network.firstMismatch() == "");
}
