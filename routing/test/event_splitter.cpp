// Guards against streams that are cut within an event, and against events lost or repeated at packet boundaries.
#include "routing/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace oriolepick;

namespace {

std::vector<std::string> drain(event_splitter& splitter)
{
    std::vector<std::string> events;
    while (const auto event = splitter.next())
        events.emplace_back(event->bytes);
    return events;
}

TEST(EventSplitter, BuffersAnIncompleteEvent)
{
    event_splitter splitter;
    splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    const auto first = splitter.next();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(first->id, 1U);
    EXPECT_FALSE(splitter.next());
    EXPECT_EQ(splitter.pendingBytes(), 8U);
}

TEST(EventSplitter, AcceptsCarriageReturns)
{
    event_splitter splitter;
    splitter.feed("id: 7\r\ndata: a\r\n\r\n");
    const auto event = splitter.next();
    ASSERT_TRUE(event);
    EXPECT_EQ(event->id, 7U);
    EXPECT_EQ(splitter.pendingBytes(), 0U);
}

TEST(EventSplitter, FindsABlankLineThatIsSplitBetweenReads)
{
    for (const std::string end : { "\n\n", "\r\n\r\n" }) {
        const std::string event = "id: 7" + end;
        for (std::size_t cut = 1; cut < event.size(); ++cut) {
            event_splitter splitter;
            splitter.feed(event.substr(0, cut));
            EXPECT_FALSE(splitter.next());
            splitter.feed(event.substr(cut) + event);
            EXPECT_EQ(splitter.next()->bytes, event) << "cut at " << cut;
            EXPECT_EQ(splitter.next()->bytes, event);
            EXPECT_FALSE(splitter.next());
        }
    }
}

TEST(EventSplitter, UnparsableIdIsAbsent)
{
    event_splitter splitter;
    splitter.feed("id: x\n\ndata: id: 4\n\n");
    EXPECT_FALSE(splitter.next()->id);
    EXPECT_FALSE(splitter.next()->id);
}

RC_GTEST_PROP(EventSplitter, PacketBoundariesDoNotAffectEvents, (const std::vector<std::uint8_t>& sizes))
{
    std::string stream;
    for (int event = 1; event <= 20; ++event)
        stream += "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
    event_splitter whole;
    whole.feed(stream);
    const auto expected = drain(whole);

    event_splitter cut;
    std::vector<std::string> seen;
    std::string_view rest = stream;
    for (const auto size : sizes) {
        cut.feed(rest.substr(0, size));
        rest.remove_prefix(std::min<std::size_t>(size, rest.size()));
        for (auto& event : drain(cut))
            seen.push_back(std::move(event));
    }
    cut.feed(rest);
    for (auto& event : drain(cut))
        seen.push_back(std::move(event));
    RC_ASSERT(seen == expected);
    RC_ASSERT(cut.pendingBytes() == 0U);
}

} // namespace
