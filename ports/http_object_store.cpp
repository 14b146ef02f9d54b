#include "ports/http_object_store.h"

namespace oriolepick {

namespace {

    /// Snapshots of 12,000 targets with their objects stay far below this.
    constexpr std::size_t MaxObjectBytes = std::size_t { 64 } << 20;
    constexpr int StatusOk = 200;
    constexpr int StatusNoContent = 204;
    constexpr int StatusNotFound = 404;
    constexpr int StatusUnavailable = 503;

    std::string pathOf(const std::string& name)
    {
        return "/objects/" + percentEncode(name, true);
    }

    result<void> writeOutcome(const result<http_response>& response)
    {
        if (!response)
            return response.error();
        const auto status = response.value().status;
        if (status == StatusOk || status == StatusNoContent)
            return success();
        const auto kind = status == StatusUnavailable ? error_kind::PlatformUnavailable : error_kind::PlatformUnknown;
        return error { kind, "object store status " + std::to_string(status), {} };
    }

} // namespace

http_object_store::http_object_store(std::string address)
    : m_exchange(std::move(address), MaxObjectBytes)
{
}

result<void> http_object_store::put(
    const std::string& name, const std::string& bytes, std::chrono::milliseconds timeout)
{
    return writeOutcome(m_exchange.send({ "PUT", pathOf(name), bytes, "application/octet-stream" }, timeout));
}

result<std::optional<std::string>> http_object_store::get(
    const std::string& name, std::chrono::milliseconds timeout) const
{
    auto response = m_exchange.send({ "GET", pathOf(name), {} }, timeout);
    if (!response)
        return error { error_kind::PlatformUnavailable, "object read failed: " + response.error().message, {} };
    if (response.value().status == StatusNotFound)
        return std::optional<std::string>();
    if (response.value().status != StatusOk) {
        return error { error_kind::PlatformUnavailable,
            "object read failed: status " + std::to_string(response.value().status), {} };
    }
    return std::optional<std::string>(std::move(response.value().body));
}

result<void> http_object_store::remove(const std::string& name, std::chrono::milliseconds timeout)
{
    return writeOutcome(m_exchange.send({ "DELETE", pathOf(name), {} }, timeout));
}

} // namespace oriolepick
