#include "ports/http_table_service.h"

#include "ports/table_json.h"

#include <charconv>

namespace oriolepick {

namespace {

    /// A scan of 1000 rows of 16 KiB fits.
    constexpr std::size_t MaxTableResponseBytes = std::size_t { 16 } << 20;
    constexpr int StatusOk = 200;
    constexpr int StatusNotFound = 404;
    constexpr int StatusConditionFailed = 412;
    constexpr int StatusBadRequest = 400;
    constexpr int StatusUnavailable = 503;

    std::string statusText(int status)
    {
        return "status " + std::to_string(status);
    }

    /// \return the epoch in the header, 0 when it is absent, or nothing when it is malformed
    std::optional<store_epoch> epochOf(const http_response& response)
    {
        store_epoch epoch = 0;
        const auto& text = response.storeEpoch;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), epoch);
        if (!text.empty() && (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()))
            return std::nullopt;
        return epoch;
    }

    /// A failed read has no effect, whatever its cause.
    error readFailed(const std::string& detail)
    {
        return error { error_kind::PlatformUnavailable, "table read failed: " + detail, {} };
    }

} // namespace

http_table_service::http_table_service(std::string address)
    : m_exchange(std::move(address), MaxTableResponseBytes)
{
}

result<http_response> http_table_service::send(const http_request& request, std::chrono::milliseconds timeout) const
{
    auto response = m_exchange.send(request, timeout);
    if (!response)
        return response;
    const auto epoch = epochOf(response.value());
    if (!epoch)
        return error { error_kind::PlatformUnknown, "malformed header Store-Epoch: " + response.value().storeEpoch,
            {} };
    auto known = m_epoch.load();
    while (*epoch > known && !m_epoch.compare_exchange_weak(known, *epoch)) { }
    return response;
}

result<table_outcome> http_table_service::commit(
    const table_transaction& transaction, std::chrono::milliseconds timeout)
{
    auto body = encodeTransaction(transaction);
    if (!body)
        return body.error();
    const auto response = send({ "POST", "/table/commit", std::move(body.value()) }, timeout);
    if (!response)
        return response.error();
    switch (response.value().status) {
    case StatusOk:
        return table_outcome { true, {},
            parseVersions(response.value().body, transaction.writes, *epochOf(response.value())) };
    case StatusConditionFailed: {
        auto failed = parseFailedKeys(response.value().body);
        if (!failed)
            return error { error_kind::PlatformUnknown, "malformed table response: " + failed.error().message, {} };
        return table_outcome { false, std::move(failed.value()) };
    }
    case StatusUnavailable:
        return error { error_kind::PlatformUnavailable, "the table service is unavailable", {} };
    case StatusBadRequest:
        return error { error_kind::BadRequest, "the table refused the transaction: " + response.value().body, {} };
    default:
        return error { error_kind::PlatformUnknown, "table " + statusText(response.value().status), {} };
    }
}

result<std::optional<table_row>> http_table_service::read(
    const std::string& key, std::chrono::milliseconds timeout) const
{
    const auto response = send({ "GET", "/table/row?key=" + percentEncode(key, false), {} }, timeout);
    if (!response)
        return readFailed(response.error().message);
    if (response.value().status == StatusNotFound)
        return std::optional<table_row>();
    if (response.value().status != StatusOk)
        return readFailed(statusText(response.value().status));
    auto row = parseRow(response.value().body, *epochOf(response.value()));
    if (!row || row.value().key != key)
        return readFailed(row ? "the row has another key" : row.error().message);
    return std::optional<table_row>(std::move(row.value()));
}

result<std::vector<table_row>> http_table_service::scan(
    const std::string& prefix, const std::string& after, std::size_t limit, std::chrono::milliseconds timeout) const
{
    const auto target = "/table/scan?prefix=" + percentEncode(prefix, false) + "&after=" + percentEncode(after, false)
        + "&limit=" + std::to_string(limit);
    const auto response = send({ "GET", target, {} }, timeout);
    if (!response)
        return readFailed(response.error().message);
    if (response.value().status != StatusOk)
        return readFailed(statusText(response.value().status));
    auto rows = parseRows(response.value().body, *epochOf(response.value()));
    if (!rows)
        return readFailed(rows.error().message);
    return rows;
}

} // namespace oriolepick
