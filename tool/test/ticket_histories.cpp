// Guards the promises of tickets over random histories of racing operators, lost answers, restarts, outages and
// partitions: a node's number in force never falls, every state equals the fold of the accepted tickets, every number
// is acknowledged for one content only, a refused ticket never takes effect, and after healing all nodes agree.
#include "tool/test/ticket_world.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace oriolepick {

/// Shows a counterexample's steps.
static void showValue(const history_step& step, std::ostream& stream)
{
    stream << step.kind << "(" << step.first << "," << step.second << ")";
}

} // namespace oriolepick

namespace {

rc::Gen<std::vector<history_step>> histories()
{
    const auto step = rc::gen::map(
        rc::gen::tuple(rc::gen::resize(100, rc::gen::inRange(0, ticket_world::HandlerCount)),
            rc::gen::resize(100, rc::gen::inRange(0u, 997u)), rc::gen::resize(100, rc::gen::inRange(0u, 997u))),
        [](const std::tuple<int, unsigned, unsigned>& numbers) {
            return history_step { std::get<0>(numbers), std::get<1>(numbers), std::get<2>(numbers) };
        });
    return rc::gen::scale(3.0, rc::gen::container<std::vector<history_step>>(step));
}

} // namespace

TEST(ticket_histories, hold_every_promise)
{
    EXPECT_TRUE(rc::check("random histories", [] {
        const auto steps = *histories();
        ticket_world world;
        for (const auto& step : steps)
            world.run(step);
        world.heal();
        world.requireSettled();
        world.restartAll();
        world.requireSettled();
        RC_CLASSIFY(world.accepted() >= 3, "3 or more tickets");
        RC_CLASSIFY(world.accepted() >= 8, "8 or more tickets");
    }));
}
