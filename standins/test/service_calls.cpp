// Guards the three outcomes of a call to a plain service: a wrong "not sent" would run a repair order twice.
#include "core/test/ample_memory.h"
#include "standins/service_emulator.h"
#include "standins/test/silent_listener.h"
#include "targets/call_abort.h"
#include "targets/http_service_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace oriolepick;

namespace {

service_request order(const std::string& key)
{
    return { "POST", "/orders?dealer=7", { { "Idempotency-Key", key }, { "Connection", "keep-alive" } }, "body" };
}

service_outcome callOnce(
    const std::string& address, const service_request& request, const service_timeouts& timeouts = {})
{
    call_abort abort;
    return http_service_client(ampleMemory()).call(address, request, timeouts, abort);
}

struct fault_row {
    const char* faults;
    service_outcome_kind kind;
    int status;
    std::uint64_t runs;
};

const fault_row FaultRows[] = {
    { R"({})", service_outcome_kind::Response, 200, 1 },
    { R"({"status":503})", service_outcome_kind::Response, 503, 0 },
    { R"({"reset_before_body":true})", service_outcome_kind::MayHaveRun, 0, 0 },
    { R"({"reset_after_run":true})", service_outcome_kind::MayHaveRun, 0, 1 },
    { R"({"delay_ms":20})", service_outcome_kind::Response, 200, 1 },
};

} // namespace

TEST(service_calls, each_fault_gives_its_outcome_and_runs)
{
    for (const auto& row : FaultRows) {
        service_emulator service(4);
        ASSERT_TRUE(service.start("127.0.0.1:0"));
        ASSERT_EQ(service.applyFaults(row.faults), "");
        const auto outcome = callOnce(service.address(), order("key-1"));
        EXPECT_EQ(outcome.kind, row.kind) << row.faults << " " << outcome.detail;
        EXPECT_EQ(outcome.status, row.status) << row.faults;
        EXPECT_EQ(service.runsOf("key-1"), row.runs) << row.faults;
    }
}

TEST(service_calls, all_methods_run)
{
    service_emulator service(4);
    ASSERT_TRUE(service.start("127.0.0.1:0"));
    for (const auto* method : { "GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" }) {
        auto request = order(method);
        request.method = method;
        EXPECT_EQ(callOnce(service.address(), request).status, 200) << method;
        EXPECT_EQ(service.runsOf(method), 1u);
    }
    EXPECT_EQ(callOnce(service.address(), { "GET", "/runs/POST", {}, {} }).body, R"({"runs":1})");
}

TEST(service_calls, silent_service_may_have_run)
{
    silent_listener service;
    const auto outcome
        = callOnce(service.address(), order("slow"), { std::chrono::seconds(20), std::chrono::milliseconds(50) });
    EXPECT_EQ(outcome.kind, service_outcome_kind::MayHaveRun);
}

TEST(service_calls, exit_on_accept_does_not_run_and_the_port_then_refuses)
{
    std::atomic<bool> exited { false };
    service_emulator service(4, [&] { exited = true; });
    ASSERT_TRUE(service.start("127.0.0.1:0"));
    ASSERT_EQ(service.applyFaults(R"({"exit_on_accept":true,"reset_before_body":true})"), "");
    EXPECT_EQ(callOnce(service.address(), order("x")).kind, service_outcome_kind::MayHaveRun);
    EXPECT_TRUE(exited);
    service.stop();
    EXPECT_EQ(callOnce(service.address(), order("x")).kind, service_outcome_kind::NotSent);
    EXPECT_EQ(service.runsOf("x"), 0u);
}

TEST(service_calls, requests_that_cannot_be_written_are_not_sent)
{
    service_emulator service(4);
    ASSERT_TRUE(service.start("127.0.0.1:0"));
    const service_request malformed[] = {
        { "PO ST", "/a", {}, {} },
        { "", "/a", {}, {} },
        { "POST", "a", {}, {} },
        { "POST", "/a b", {}, {} },
        { "POST", "/a\r\nX: y", {}, {} },
        { "POST", "/a", { { "X", "a\r\nIdempotency-Key: other" } }, {} },
        { "POST", "/a", { { "X:", "a" } }, {} },
    };
    for (const auto& request : malformed)
        EXPECT_EQ(callOnce(service.address(), request).kind, service_outcome_kind::NotSent) << request.path;
    EXPECT_EQ(service.runsOf(""), 0u);
}

TEST(service_calls, abort_ends_a_call_that_waits)
{
    silent_listener service;
    call_abort abort;
    service_outcome outcome;
    std::thread caller(
        [&] { outcome = http_service_client(ampleMemory()).call(service.address(), order("k"), {}, abort); });
    service.waitForRequest();
    abort.abort();
    caller.join();
    EXPECT_EQ(outcome.kind, service_outcome_kind::MayHaveRun);
    EXPECT_EQ(http_service_client(ampleMemory()).call(service.address(), order("k"), {}, abort).kind,
        service_outcome_kind::NotSent);
}

TEST(service_calls, too_long_response_may_have_run)
{
    service_emulator service(4);
    ASSERT_TRUE(service.start("127.0.0.1:0"));
    call_abort abort;
    EXPECT_EQ(http_service_client(ampleMemory(), 10).call(service.address(), order("k"), {}, abort).kind,
        service_outcome_kind::MayHaveRun);
}
