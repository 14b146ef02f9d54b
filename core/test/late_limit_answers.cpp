// Guards against owners of limits that count as unresponsive, and permits that are denied, because a node reads their
// answers late.
#include "core/target_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class LateLimitAnswers : public testing::Test {
protected:
    LateLimitAnswers()
    {
        asking.setNodes({ owner }, 2, now);
        owning.setNodes({ self }, 2, now);
        now += 40s; // no node joins any more
        // One of some targets is owned by the other node.
        for (int number = 0; !pending && number < 64; ++number) {
            target = limited_target("t" + std::to_string(number));
            asking.observe(target, zone, { 4, 1 }, now);
            request();
        }
        readAnswer(now);
        now += 4s; // the owner has taken over the limit
        request();
    }

    void request()
    {
        const auto result = asking.acquire(target, 1, now);
        pending = result.decision == permit_decision::Pending;
        if (pending)
            answers = owning.receive(self.node, messageTo<permit_request>(owner.node, result.actions), now);
    }

    bool findsOwnerUnresponsive(instant at, bool inputPending)
    {
        const auto actions = asking.tick(at, inputPending);
        return std::any_of(actions.begin(), actions.end(),
            [](const auto& action) { return std::holds_alternative<limit_owner_unresponsive>(action); });
    }

    /// \return the first message with \p Body in \p actions to \p node
    template <typename Body>
    static target_limit_message messageTo(const node_id& node, const target_limiter::actions& actions)
    {
        for (const auto& action : actions) {
            const auto* sent = std::get_if<send_target_limit_message>(&action);
            if (sent && sent->to == node && std::holds_alternative<Body>(sent->message.body))
                return sent->message;
        }
        ADD_FAILURE() << "no message to " << node.value();
        return {};
    }

    /// \return the decision on the permit when the answer of its owner is read at \p at
    std::optional<bool> readAnswer(instant at)
    {
        for (const auto& action : asking.receive(owner.node, messageTo<permit_answer>(self.node, answers), at)) {
            if (const auto* decided = std::get_if<permit_decided>(&action))
                return decided->granted;
        }
        return std::nullopt;
    }

    const availability_zone zone { "z" };
    const limit_node self { node_id("10.0.0.1:7200"), zone };
    const limit_node owner { node_id("10.0.0.2:7200"), zone };
    instant now { 1'000s };
    target_limiter asking { self, {}, now };
    target_limiter owning { owner, {}, now };
    limited_target target { "" };
    bool pending = false;
    target_limiter::actions answers;
};

// A burst of datagrams: the answer waits behind others.
TEST_F(LateLimitAnswers, AnAnswerThatWaitsInTheSocketIsNotLate)
{
    ASSERT_TRUE(pending);
    EXPECT_FALSE(findsOwnerUnresponsive(now + 60ms, true));
    EXPECT_EQ(readAnswer(now + 75ms), true);
}

// The event loop was held up from before the answer until after its time limit.
TEST_F(LateLimitAnswers, AnAnswerToANodeThatRanLateIsNotLate)
{
    ASSERT_TRUE(pending);
    EXPECT_FALSE(findsOwnerUnresponsive(now + 110ms, false));
    EXPECT_EQ(readAnswer(now + 111ms), true);
}

// A permit that is used later would add to those of the next second.
TEST_F(LateLimitAnswers, APermitIsNotUsedAfterALongFreeze)
{
    ASSERT_TRUE(pending);
    EXPECT_EQ(readAnswer(now + 3s), false);
}

TEST_F(LateLimitAnswers, AnOwnerWithoutAnAnswerIsUnresponsive)
{
    ASSERT_TRUE(pending);
    EXPECT_TRUE(findsOwnerUnresponsive(now + 60ms, false));
}

} // namespace
