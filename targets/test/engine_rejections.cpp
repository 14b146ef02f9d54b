// Guards against an attempt that an engine may have run and that is reported as not run, because of the status alone.
#include "core/test/ample_memory.h"
#include "targets/attempt_reader.h"

#include <gtest/gtest.h>

#include <optional>

using namespace oriolepick;

namespace {

class reason_sink : public attempt_sink {
public:
    read_decision accepted(const std::optional<engine_load>&) override { return read_decision::Continue; }
    read_decision tokenArrived(std::uint32_t, const token&) override { return read_decision::Continue; }
    void done(const attempt_summary&) override { }
    void broken(stream_break broken, const std::string&) override { reason = broken; }

    std::optional<stream_break> reason;
};

std::optional<stream_break> reasonOf(int status, std::string_view body)
{
    reason_sink sink;
    attempt_reader reader(sink, 0, event_stream_limits {}, ampleMemory());
    reader.takeHead(status, { { "Content-Type", "application/json" } });
    reader.takeBody(body);
    exchange_result exchanged;
    exchanged.end = exchange_end::Complete;
    reader.finish(exchanged);
    return sink.reason;
}

TEST(EngineRejections, AStatusWithoutItsCodeProvesNothing)
{
    for (const int status : { 400, 404, 408, 409, 421, 429, 500, 503 }) {
        for (const auto* body : { "", "busy", "{}", R"({"code":"error"})", R"({"code":429})", R"(["queue_full"])" })
            EXPECT_EQ(reasonOf(status, body), stream_break::Malformed) << status << " " << body;
    }
    EXPECT_EQ(reasonOf(503, R"({"code":"queue_full"})"), stream_break::Malformed) << "the code of another status";
}

TEST(EngineRejections, AStatusWithItsCodeIsProof)
{
    EXPECT_EQ(reasonOf(400, R"({"code":"bad_request"})"), stream_break::Invalid);
    EXPECT_EQ(reasonOf(404, R"({"code":"unknown_attempt"})"), stream_break::UnknownAttempt);
    EXPECT_EQ(reasonOf(409, R"({"code":"not_loaded"})"), stream_break::NotLoaded);
    EXPECT_EQ(reasonOf(429, R"({"code":"queue_full"})"), stream_break::QueueFull);
    EXPECT_EQ(reasonOf(503, R"({"code":"draining"})"), stream_break::Draining);
}

} // namespace
