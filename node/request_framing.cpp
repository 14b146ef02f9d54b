#include "node/request_framing.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <httplib.h>

#include <limits>

namespace oriolepick {

std::string findFramingFault(const httplib::Request& request)
{
    const auto lengths = request.get_header_value_count("Content-Length");
    const auto codings = request.get_header_value_count("Transfer-Encoding");
    if (codings) {
        if (lengths)
            return "Content-Length: not allowed beside Transfer-Encoding";
        const auto coding = request.get_header_value("Transfer-Encoding");
        if (codings > 1 || !absl::EqualsIgnoreCase(coding, "chunked"))
            return "Transfer-Encoding: must be chunked, not " + coding;
        return {};
    }
    if (lengths > 1)
        return "Content-Length: given " + std::to_string(lengths) + " times";
    const auto length = request.get_header_value("Content-Length");
    const bool isNumber = !length.empty() && length.find_first_not_of("0123456789") == std::string::npos;
    if (lengths && !isNumber)
        return "Content-Length: must be a number, not " + length;
    return {};
}

bool mayHaveBody(const httplib::Request& request)
{
    const auto& method = request.method;
    return method == "POST" || method == "PUT" || method == "PATCH" || method == "PRI" || method == "DELETE";
}

bool leavesBody(const httplib::Request& request)
{
    return !mayHaveBody(request) && bodyBytes(request) > 0;
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
