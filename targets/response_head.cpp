#include "targets/response_head.h"

#include "core/http_syntax.h"
#include "core/text.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::string_view VersionPrefix = "HTTP/1.";
    constexpr std::size_t StatusOffset = 9; // after "HTTP/1.1 "
    constexpr std::size_t StatusSize = 3;
    constexpr std::size_t MaxLengthDigits = 18; // fits 64 bits

    bool isDigit(char character)
    {
        return character >= '0' && character <= '9';
    }

    bool endsWithCr(std::string_view line)
    {
        return !line.empty() && line.back() == '\r';
    }

} // namespace

bool response_head::takeStatusLine(std::string_view line)
{
    if (!endsWithCr(line) || !startsWith(line, VersionPrefix) || line.size() < StatusOffset + StatusSize)
        return fail("malformed status line");
    const auto status = line.substr(StatusOffset, StatusSize);
    if (!isStatusCode(parseNumber<int>(status).value_or(0)))
        return fail(concatenated("status ", status, " is not a status code"));
    m_isContinue = status == "100";
    // The library would take another interim response for the final one.
    return status.front() != '1' || m_isContinue || fail(concatenated("unsupported interim status ", status));
}

bool response_head::takeHeaderLine(std::string_view line)
{
    if (!endsWithCr(line))
        return fail("header line without CR");
    line.remove_suffix(1);
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (colon == std::string_view::npos || !isToken(name))
        return fail("header line whose name is not a token");
    if (hasControlCharacter(line.substr(colon + 1)))
        return fail(concatenated("value of ", name, " has a control character"));
    const auto value = trimmed(line.substr(colon + 1));
    if (equalsIgnoringCase(name, "Content-Length"))
        return takeContentLength(value);
    if (equalsIgnoringCase(name, "Transfer-Encoding"))
        return takeTransferEncoding(value);
    return true;
}

bool response_head::takeContentLength(std::string_view value)
{
    if (value.empty() || value.size() > MaxLengthDigits || !std::all_of(value.begin(), value.end(), isDigit))
        return fail("Content-Length is not a number");
    if (m_isChunked)
        return fail("Content-Length with Transfer-Encoding");
    if (!m_contentLength.empty() && m_contentLength != value)
        return fail("Content-Length differs from an earlier one");
    m_contentLength = value;
    return true;
}

bool response_head::takeTransferEncoding(std::string_view value)
{
    if (!equalsIgnoringCase(value, "chunked") || m_isChunked)
        return fail("Transfer-Encoding is not chunked");
    if (!m_contentLength.empty())
        return fail("Transfer-Encoding with Content-Length");
    m_isChunked = true;
    return true;
}

bool response_head::fail(std::string fault)
{
    m_fault = std::move(fault);
    return false;
}

} // namespace oriolepick
