// Guards against limits that fit engines of another speed.
#include "routing/prompt_pace.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

TEST(PromptPace, StartsWithAnAssumption)
{
    EXPECT_EQ(prompt_pace({}).timeFor(service_name("s"), 8'000), 1'000ms);
}

TEST(PromptPace, FollowsTheEnginesOfEachService)
{
    prompt_pace pace({});
    for (int prompt = 0; prompt < 40; ++prompt)
        pace.record(service_name("slow"), 4'000, 2'000ms);
    EXPECT_EQ(pace.timeFor(service_name("slow"), 8'000), 4'000ms);
    EXPECT_EQ(pace.timeFor(service_name("s"), 8'000), 1'000ms);
}

TEST(PromptPace, ShortPromptsSayNothing)
{
    prompt_pace pace({});
    pace.record(service_name("s"), 10, 50ms);
    EXPECT_EQ(pace.timeFor(service_name("s"), 8'000), 1'000ms);
}
