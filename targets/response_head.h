/// \file
/// Checks that the head of an HTTP response is well-formed and frames its body unambiguously.
#pragma once

#include <string>
#include <string_view>

namespace oriolepick {

/// Takes the lines of one response head. The HTTP library accepts any three digits as a status and any bytes as a
/// field, skips lines that it cannot parse, takes a Content-Length that is not a number for 0, uses the first of
/// several, and reads an unknown transfer coding up to the end of the connection. With each of these a response that is
/// not HTTP, or a body that is empty, short or still encoded, would count as whole.
class response_head {
public:
    /// \param line without its LF
    /// \return whether the line is well-formed and consistent with the lines before it
    bool takeStatusLine(std::string_view line);
    bool takeHeaderLine(std::string_view line);

    /// \return whether another head follows this one
    bool isContinue() const { return m_isContinue; }

    bool isChunked() const { return m_isChunked; }

    /// \return what is wrong, empty for nothing
    const std::string& fault() const { return m_fault; }

private:
    bool takeContentLength(std::string_view value);
    bool takeTransferEncoding(std::string_view value);
    bool fail(std::string fault);

    bool m_isContinue = false;
    bool m_isChunked = false;
    std::string m_contentLength;
    std::string m_fault;
};

} // namespace oriolepick
