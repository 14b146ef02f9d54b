#include "ports/http_instance_list.h"

#include "ports/instance_json.h"

namespace oriolepick {

namespace {

    /// 13,000 instances at about 100 bytes each are 1.3 MB.
    constexpr std::size_t MaxInstanceListBytes = std::size_t { 8 } << 20;
    constexpr int StatusOk = 200;

    error readFailed(const std::string& detail)
    {
        return error { error_kind::PlatformUnavailable, "instance list read failed: " + detail, {} };
    }

} // namespace

http_instance_list::http_instance_list(std::string address)
    : m_exchange(std::move(address), MaxInstanceListBytes)
{
}

result<std::vector<instance_record>> http_instance_list::instances(std::chrono::milliseconds timeout) const
{
    const auto response = m_exchange.send({ "GET", "/instances", {} }, timeout);
    if (!response)
        return readFailed(response.error().message);
    if (response.value().status != StatusOk)
        return readFailed("status " + std::to_string(response.value().status));
    auto records = parseInstances(response.value().body);
    if (!records)
        return readFailed(records.error().message);
    return records;
}

} // namespace oriolepick
