#include "gateway/http_message.h"

#include "core/text.h"

#include <boost/beast/http/status.hpp>

#include <array>

namespace oriolepick {

const std::string* findField(const header_list& fields, std::string_view name)
{
    for (const auto& field : fields) {
        if (equalsIgnoringCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

bool isHopByHopField(std::string_view name, std::string_view connectionValue)
{
    static constexpr std::array<std::string_view, 11> HopByHopNames { "connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length",
        "expect" };
    for (const auto& hopByHopName : HopByHopNames) {
        if (equalsIgnoringCase(name, hopByHopName))
            return true;
    }
    while (!connectionValue.empty()) {
        if (equalsIgnoringCase(trimmed(takeUntil(connectionValue, ',')), name))
            return true;
    }
    return false;
}

std::string_view reasonPhrase(int status)
{
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return { reason.data(), reason.size() };
}

} // namespace oriolepick
