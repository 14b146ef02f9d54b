// Guards against a call that runs twice because a store that came back from a copy forgot its claim, while the node
// that claimed it still runs.
#include "call_world.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

class restored_claims : public ::testing::Test {
protected:
    call_world m_world { 2, 1, [](call_step) { return call_fault::None; } };
};

} // namespace

TEST_F(restored_claims, a_retry_at_another_node_does_not_run_the_call_again)
{
    m_world.send(milliseconds(0), "k", 0);
    m_world.runUntil(milliseconds(2000));
    ASSERT_EQ(m_world.runs.size(), 1u);
    m_world.table.restore({});
    m_world.send(milliseconds(5000), "k", 1);
    m_world.runUntil(milliseconds(20'000));
    EXPECT_EQ(m_world.runs.size(), 1u);
}

TEST_F(restored_claims, a_retry_at_the_same_node_does_not_run_the_call_again)
{
    m_world.send(milliseconds(0), "k", 0);
    m_world.runUntil(milliseconds(2000));
    ASSERT_EQ(m_world.runs.size(), 1u);
    m_world.table.restore({});
    m_world.send(milliseconds(5000), "k", 0);
    m_world.runUntil(milliseconds(20'000));
    EXPECT_EQ(m_world.runs.size(), 1u);
}
