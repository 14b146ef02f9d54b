#include "targets/http_engine_client.h"

#include "targets/attempt_reader.h"
#include "targets/call_abort.h"
#include "targets/engine_messages.h"
#include "targets/http_exchange.h"

#include <absl/strings/str_cat.h>

namespace oriolepick {

namespace {

    // State and cache reports of an engine are far below this.
    constexpr std::size_t MaxReportBytes = std::size_t { 4 } << 20;

    error failed(const std::string& address, const buffered_response& response)
    {
        return { error_kind::TargetFailed,
            absl::StrCat("engine ", address, ": ",
                response.result.end == exchange_end::Complete ? absl::StrCat("status ", response.status)
                                                              : response.result.detail),
            {} };
    }

} // namespace

void http_engine_client::observe(const std::string& address, const header_list& headers) const
{
    if (m_observer)
        m_observer(address, headers);
}

void http_engine_client::stream(const std::string& address, const service_request& request,
    const stream_timeouts& timeouts, attempt_reader& reader, call_abort& abort) const
{
    const response_handlers handlers {
        [this, &reader, &address](int status, const header_list& headers) {
            observe(address, headers);
            return reader.takeHead(status, headers);
        },
        [&reader](std::string_view bytes) { return reader.takeBody(bytes); },
    };
    reader.finish(exchange(address, request, { timeouts.connect, timeouts.idle, {} }, handlers, abort));
}

buffered_response http_engine_client::callOnce(
    const std::string& address, const service_request& request, std::chrono::milliseconds timeout) const
{
    call_abort abort;
    auto response = exchangeBuffered(address, request, { timeout, timeout, timeout }, MaxReportBytes, m_memory, abort);
    if (response.result.end == exchange_end::Complete)
        observe(address, response.headers);
    return response;
}

template <typename Value>
result<Value> http_engine_client::readReport(const std::string& address, const std::string& path,
    std::chrono::milliseconds timeout, result<Value> (*parse)(std::string_view)) const
{
    const auto response = callOnce(address, { "GET", path, {}, {} }, timeout);
    if (response.result.refused)
        return error { error_kind::NoTarget, absl::StrCat("engine ", address, ": ", response.result.detail), {} };
    if (response.result.end != exchange_end::Complete || response.status != 200)
        return failed(address, response);
    auto parsed = parse(response.body);
    if (!parsed)
        return error { error_kind::TargetFailed, absl::StrCat("engine ", address, path, ": ", parsed.error().message),
            {} };
    return parsed;
}

void http_engine_client::start(const std::string& address, const attempt_request& request,
    const stream_timeouts& timeouts, attempt_sink& sink, call_abort& abort)
{
    attempt_reader reader(sink, static_cast<std::uint32_t>(request.prefix.size()), m_limits, m_memory);
    stream(address,
        { "POST", "/v1/attempts", { { "Content-Type", "application/json" } }, formatAttemptRequest(request) }, timeouts,
        reader, abort);
}

void http_engine_client::attach(const std::string& address, const attempt_id& attempt, std::uint32_t from,
    std::uint64_t readerEpoch, const stream_timeouts& timeouts, attempt_sink& sink, call_abort& abort)
{
    attempt_reader reader(sink, from, m_limits, m_memory);
    stream(address,
        { "GET", absl::StrCat("/v1/attempts/", attempt.text(), "?from=", from, "&reader_epoch=", readerEpoch), {}, {} },
        timeouts, reader, abort);
}

result<void> http_engine_client::cancel(
    const std::string& address, const attempt_id& attempt, std::chrono::milliseconds timeout)
{
    const auto response
        = callOnce(address, { "DELETE", absl::StrCat("/v1/attempts/", attempt.text()), {}, {} }, timeout);
    if (response.result.end != exchange_end::Complete || (response.status != 200 && response.status != 404))
        return failed(address, response);
    return success();
}

probe_answer http_engine_client::probe(
    const std::string& address, const std::optional<attempt_id>& attempt, std::chrono::milliseconds timeout) const
{
    const std::string path = attempt ? absl::StrCat("/healthz?attempt=", attempt->text()) : "/healthz";
    const auto response = callOnce(address, { "GET", path, {}, {} }, timeout);
    probe_answer answer;
    answer.alive = response.result.end == exchange_end::Complete && response.status == 200;
    if (answer.alive && attempt)
        answer.hasAttempt = parseHasAttempt(response.body);
    return answer;
}

result<engine_state> http_engine_client::readState(const std::string& address, std::chrono::milliseconds timeout) const
{
    return readReport(address, "/v1/state", timeout, &parseState);
}

result<engine_load> http_engine_client::readLoad(const std::string& address, std::chrono::milliseconds timeout) const
{
    return readReport(address, "/v1/load", timeout, &parseLoad);
}

result<cache_events> http_engine_client::readCacheEvents(
    const std::string& address, std::uint64_t after, std::chrono::milliseconds timeout) const
{
    return readReport(address, absl::StrCat("/v1/cache-events?after=", after), timeout, &parseCacheEvents);
}

result<void> http_engine_client::giveOrder(
    const std::string& address, const engine_order& order, std::chrono::milliseconds timeout)
{
    const auto response = callOnce(
        address, { "POST", "/v1/orders", { { "Content-Type", "application/json" } }, formatOrder(order) }, timeout);
    if (response.result.end == exchange_end::NotSent)
        return error { error_kind::NoTarget, absl::StrCat("engine ", address, ": ", response.result.detail), {} };
    if (response.result.end != exchange_end::Complete)
        return failed(address, response);
    if (response.status == 200 || response.status == 202)
        return success();
    const std::string code = parseCode(response.body);
    const std::string message
        = absl::StrCat("engine ", address, ": order ", toString(order.kind), " refused: ", response.status, " ", code);
    if (response.status == 409 && code == "stale_fencing")
        return error { error_kind::StaleFencing, message, {} };
    if (response.status == 409 && code == "not_loaded")
        return error { error_kind::NotLoaded, message, {} };
    if (response.status == 400)
        return error { error_kind::BadRequest, message, {} };
    return error { error_kind::TargetFailed, message, {} };
}

} // namespace oriolepick
