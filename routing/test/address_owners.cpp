// Guards against another writer's entry that moves a target to another service, or takes it out of service for good,
// because it names the target's address; and against nodes that differ in the owner of an address by the order of what
// they read.
#include "routing/target_tracker.h"

#include "core/seeded_random.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class AddressOwners : public testing::Test {
protected:
    static target_entry entry(const std::string& name, std::uint64_t startedAt, std::uint64_t renewalCount,
        const std::string& service = "s", const std::string& address = "10.0.0.1:80")
    {
        return { target_name(name), service_name(service), address, availability_zone("z"), 4, false, startedAt,
            renewalCount };
    }

    std::string chosen(const std::string& service = "s")
    {
        const auto target = tracker.choose({ service_name(service), {}, {}, {} }, now);
        return target ? target->name.value() : "";
    }

    seeded_random random { 1 };
    target_tracker tracker { target_tracker_settings {}, random };
    instant now { 1000s };
};

TEST_F(AddressOwners, TheNextRenewalTakesAnAddressBack)
{
    tracker.put(entry("a", 1, 5), now);
    tracker.put(entry("other", 9, 1), now);
    EXPECT_EQ(chosen(), "other") << "it may have started there after the target ended without notice";
    EXPECT_TRUE(tracker.isUpdate(entry("a", 1, 6)));
    tracker.put(entry("a", 1, 6), now);
    EXPECT_EQ(chosen(), "a");
    EXPECT_FALSE(tracker.takesRequests(target_name("other"), now)) << "one process listens at the address";
    tracker.put(entry("a", 1, 7), now);
    EXPECT_TRUE(tracker.isUpdate(entry("a", 1, 8))) << "a node that started since may have another owner";
    tracker.remove(target_name("other"), now);
    EXPECT_EQ(chosen(), "a");
    EXPECT_FALSE(tracker.isUpdate(entry("a", 1, 8)));
}

// Guards against a sound target that is held back for ever: nodes that read the table at different times may disagree
// on the owner, and its renewals reach only the reader once no other target names the address.
TEST_F(AddressOwners, AnAddressPassesOnWhenItsOwnerLeaves)
{
    tracker.put(entry("a", 1, 5), now);
    tracker.put(entry("other", 9, 1), now);
    EXPECT_FALSE(tracker.takesRequests(target_name("a"), now));
    tracker.remove(target_name("other"), now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(AddressOwners, ATargetWhoseReplacementIsUnknownDoesNotShareItsAddress)
{
    tracker.put(entry("a", 9, 5), now);
    tracker.put(entry("b", 1, 5), now);
    tracker.recordFault(target_name("a"), target_fault::AddressReused, now);
    EXPECT_EQ(chosen(), "b");
    tracker.recordReplacementUnknown(target_name("a"), now);
    EXPECT_NE(tracker.takesRequests(target_name("a"), now), tracker.takesRequests(target_name("b"), now));
}

TEST_F(AddressOwners, AnAddressIsNotMovedToAnotherService)
{
    tracker.put(entry("a", 1, 5), now);
    tracker.put(entry("other", 9, 1, "t"), now);
    EXPECT_EQ(chosen(), "a");
    EXPECT_EQ(chosen("t"), "");
    tracker.put(entry("other", 9, 1, "t"), now);
    EXPECT_EQ(chosen("t"), "") << "written again, but not renewed";
    tracker.put(entry("a", 1, 6), now);
    tracker.put(entry("other", 9, 2, "t"), now);
    EXPECT_EQ(chosen("t"), "") << "the known target was renewed since";
    EXPECT_EQ(chosen(), "a");
    tracker.put(entry("other", 9, 3, "t"), now);
    EXPECT_EQ(chosen("t"), "other") << "renewed, and the known target was not";
    EXPECT_EQ(chosen(), "");
}

// Entries under the target's own name: of the same start, of a later one, and with a service that no configuration
// names.
TEST_F(AddressOwners, ATargetIsNotMovedToAnotherService)
{
    std::uint64_t renewal = 5;
    tracker.put(entry("a", 1, renewal), now);
    for (const auto startedAt : { 1U, 9U }) {
        tracker.put(entry("a", startedAt, 1'000, "t"), now);
        EXPECT_EQ(chosen("t"), "") << startedAt;
        EXPECT_EQ(chosen(), "") << startedAt << ": the entry names no target until the next renewal";
        const auto renewed = entry("a", 1, ++renewal);
        EXPECT_TRUE(tracker.isUpdate(renewed));
        tracker.put(renewed, now);
        EXPECT_EQ(chosen(), "a") << startedAt;
    }
    tracker.put(entry("a", 1, 2'000, "s", "10.0.0.2:80"), now);
    EXPECT_EQ(chosen(), "") << "a target keeps its address from start to end";
    tracker.put(entry("a", 1, ++renewal), now);
    EXPECT_EQ(tracker.choose({ service_name("s"), {}, {}, {} }, now)->address, "10.0.0.1:80");
    tracker.put(entry("a", 9, 1, "s", "10.0.0.2:80"), now);
    EXPECT_EQ(chosen(), "a") << "a later start may have another address";
}

TEST_F(AddressOwners, ARemovedClaimLeavesTheAddressFree)
{
    tracker.put(entry("a", 1, 5), now);
    tracker.put(entry("other", 9, 1, "t"), now);
    tracker.remove(target_name("other"), now);
    EXPECT_FALSE(tracker.isUpdate(entry("a", 1, 6))) << "no other target claims the address";
    tracker.put(entry("b", 2, 1, "t"), now);
    tracker.replaceAll({ entry("a", 1, 6) }, now);
    EXPECT_FALSE(tracker.isUpdate(entry("a", 1, 7)));
    tracker.remove(target_name("a"), now);
    tracker.put(entry("c", 9, 1, "t"), now);
    EXPECT_EQ(chosen("t"), "c");
}

// Guards against the new target of an address that is out of service because a late renewal of the former one arrived.
TEST_F(AddressOwners, AResponseOfAnotherProcessEndsTheOwnership)
{
    tracker.put(entry("a", 1, 5), now);
    tracker.put(entry("b", 9, 1), now);
    tracker.put(entry("a", 1, 6), now); // late
    tracker.recordFault(target_name("a"), target_fault::AddressReused, now);
    EXPECT_EQ(chosen(), "b");
    tracker.put(entry("a", 1, 7), now);
    EXPECT_EQ(chosen(), "b");
}

TEST_F(AddressOwners, AWholeTableHasTheSameOwnersInAnyOrder)
{
    std::vector<target_entry> entries { entry("a", 3, 1), entry("b", 2, 9, "t"), entry("c", 3, 5), entry("d", 1, 7) };
    const auto byName = [](const target_entry& left, const target_entry& right) { return left.name < right.name; };
    std::vector<std::string> owners;
    do {
        target_tracker reader { target_tracker_settings {}, random };
        reader.replaceAll(entries, now);
        std::string owner;
        for (const auto& each : entries)
            owner += reader.takesRequests(each.name, now) ? each.name.value() : "";
        owners.push_back(owner);
    } while (std::next_permutation(entries.begin(), entries.end(), byName));
    EXPECT_EQ(owners, std::vector<std::string>(24, "c"));
}

} // namespace
