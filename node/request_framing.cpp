#include "node/request_framing.h"

#include <absl/strings/numbers.h>
#include <httplib.h>

#include <limits>

namespace oriolepick {

bool leavesBody(const httplib::Request& request)
{
    const auto& method = request.method;
    const bool reads
        = method == "POST" || method == "PUT" || method == "PATCH" || method == "PRI" || method == "DELETE";
    return !reads && bodyBytes(request) > 0;
}

std::uint64_t bodyBytes(const httplib::Request& request)
{
    constexpr auto Unknown = std::numeric_limits<std::uint64_t>::max();
    if (request.has_header("Transfer-Encoding"))
        return Unknown;
    if (!request.has_header("Content-Length"))
        return 0;
    std::uint64_t length = 0;
    return absl::SimpleAtoi(request.get_header_value("Content-Length"), &length) ? length : Unknown;
}

} // namespace oriolepick
