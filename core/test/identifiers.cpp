// Checks that equal names of two fleets differ, and how the stable digest depends on its tokens.
#include "core/names.h"
#include "core/stable_hash.h"

#include <absl/container/flat_hash_set.h>
#include <gtest/gtest.h>

using namespace oriolepick;

TEST(qualified_name, equal_names_of_two_fleets_differ)
{
    const model_id first(fleet_name("one"), "manuals");
    const model_id second(fleet_name("two"), "manuals");
    EXPECT_NE(first, second);
    EXPECT_EQ((absl::flat_hash_set<model_id> { first, second }).size(), 2u);
}

TEST(qualified_name, parse_rejects_incomplete_text)
{
    for (const auto* text : { "", "/", "a/", "/b", "ab" })
        EXPECT_FALSE(model_id::parse(text)) << text;
    EXPECT_EQ(model_id::parse("a/b/c")->name(), "b/c");
}

TEST(stable_hash, digest_depends_on_order_and_leading_zero)
{
    EXPECT_NE(digestOf({ 1, 2 }), digestOf({ 2, 1 }));
    EXPECT_NE(digestOf({ 0 }), digestOf({}));
    EXPECT_EQ(extendDigest(digestOf({ 5 }), 6), digestOf({ 5, 6 }));
}
