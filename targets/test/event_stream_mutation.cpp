// Guards the parsers of engine streams and reports: mutated bytes in pieces of any size never end the process, tokens
// are never delivered out of order, and each call ends exactly once.
#include "core/test/ample_memory.h"
#include "targets/attempt_reader.h"
#include "targets/engine_messages.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace oriolepick;

namespace {

std::string wholeStream()
{
    std::string stream;
    for (int position = 0; position < 6; ++position)
        stream += "data: {\"position\":" + std::to_string(position) + ",\"token_id\":" + std::to_string(position * 7)
            + ",\"text\":\" w\\u00e9\"}\n\n";
    return stream
        + ": comment\n\nevent: done\ndata: {\"finish_reason\":\"stop\",\"length\":6,\"prompt_tokens\":9,"
          "\"cached_tokens\":0,\"load\":{\"running\":1,\"waiting\":0,\"batch\":8,\"kv_free\":99}}\n\n";
}

class counting_sink : public attempt_sink {
public:
    read_decision accepted(const std::optional<engine_load>&) override { return read_decision::Continue; }
    read_decision tokenArrived(std::uint32_t position, const token& next) override
    {
        RC_ASSERT(position == m_tokens.size());
        RC_ASSERT(!ends);
        m_tokens.push_back(next.id);
        return read_decision::Continue;
    }
    void done(const attempt_summary& summary) override
    {
        RC_ASSERT(summary.length == m_tokens.size());
        ++ends;
        complete = true;
    }
    void broken(stream_break, const std::string&) override { ++ends; }

    int ends = 0;
    bool complete = false;
    token_list m_tokens;
};

std::string mutate(std::string bytes)
{
    const auto edits = *rc::gen::inRange(0, 4);
    for (int edit = 0; edit < edits && !bytes.empty(); ++edit) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            bytes[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 40));
            break;
        case 2:
            bytes.insert(at, bytes.substr(*rc::gen::inRange<std::size_t>(0, bytes.size()), 60));
            break;
        default:
            bytes.insert(at, *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
            break;
        }
    }
    return bytes;
}

void feedInPieces(attempt_reader& reader, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 64);
        if (!reader.takeBody(bytes.substr(0, size)))
            return;
        bytes.remove_prefix(std::min(size, bytes.size()));
    }
}

} // namespace

TEST(event_stream_mutation, streams_end_once_and_in_order)
{
    EXPECT_TRUE(rc::check("mutated stream", [] {
        counting_sink sink;
        attempt_reader reader(sink, 0, { 512, 2048 }, ampleMemory());
        RC_ASSERT(reader.takeHead(200, { { "content-type", "text/event-stream" } }));
        const std::string bytes = mutate(wholeStream());
        feedInPieces(reader, bytes);
        reader.finish({ exchange_end::Complete, {} });
        RC_ASSERT(sink.ends == 1);
        if (bytes == wholeStream())
            RC_ASSERT(sink.complete);
    }));
}

TEST(event_stream_mutation, line_ends_may_be_of_any_kind)
{
    for (const std::string end : { "\n", "\r", "\r\n" }) {
        event_stream_parser parser;
        const std::string text = "data: a" + end + "data:b" + end + "id: 7" + end + end + "data: c" + end + end;
        std::vector<std::string> seen;
        for (const char byte : text)
            parser.feed(std::string_view(&byte, 1), [&](const stream_event& event) {
                seen.push_back(event.data + "|" + event.id);
                return true;
            });
        EXPECT_EQ(seen, (std::vector<std::string> { "a\nb|7", "c|" }));
    }
}

TEST(event_stream_mutation, limits_hold_for_lines_and_events)
{
    const auto ignore = [](const stream_event&) { return true; };
    event_stream_parser lines({ 10, 100 });
    EXPECT_EQ(lines.feed("data: 12345678", ignore), event_stream_parser::status::Malformed);
    EXPECT_EQ(lines.feed("\n\n", ignore), event_stream_parser::status::Malformed);
    event_stream_parser events({ 10, 20 });
    EXPECT_EQ(events.feed("data: 1\ndata: 2\ndata: 3\n", ignore), event_stream_parser::status::Malformed);
}

TEST(event_stream_mutation, reports_and_headers_take_any_bytes)
{
    EXPECT_TRUE(rc::check("mutated reports", [] {
        const auto state = parseState(mutate(R"({"loaded":[{"model":"a/b","version":"1","adapter":""}],"loading":null,)"
                                             R"("role":"serve","draining":false,"fencing":1,"attempts":0})"));
        RC_ASSERT(state.has_value() != state.has_error());
        const auto load = parseLoad(mutate(R"({"running":1,"waiting":0,"batch":8,"kv_free":99})"));
        RC_ASSERT(load.has_value() != load.has_error());
        const auto events
            = parseCacheEvents(mutate(R"({"events":[{"seq":1,"stored":true,"block":18446744073709551615}],"last":1})"));
        RC_ASSERT(events.has_value() != events.has_error());
        parseCode(mutate(R"({"code":"not_loaded"})"));
        parseHasAttempt(mutate(R"({"has_attempt":true})"));
        const std::string header = mutate("running=3;waiting=0;batch=16;kv_free=81234");
        if (const auto parsed = parseEngineLoad(header))
            RC_ASSERT(parseEngineLoad(formatEngineLoad(*parsed)) == parsed);
    }));
}

TEST(event_stream_mutation, load_header_needs_each_field_once)
{
    EXPECT_EQ(parseEngineLoad("running=3;waiting=0;batch=16;kv_free=81234"), (engine_load { 3, 0, 16, 81234 }));
    for (const auto* text : { "", "running=3", "running=3;waiting=0;batch=16;kv_free=1;kv_free=1",
             "running=-3;waiting=0;batch=16;kv_free=1", "running=3;waiting=0;batch=16;kv_free=99999999999999999999",
             "running= 3;waiting=0;batch=16;kv_free=1", "running=3;waiting=0;batch=16;other=1" })
        EXPECT_FALSE(parseEngineLoad(text)) << text;
}
