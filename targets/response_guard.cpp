#include "targets/response_guard.h"

namespace oriolepick {

namespace {

    // An interim response (1xx) is followed by another head.
    bool isInterim(const std::string& statusLine)
    {
        const auto space = statusLine.find(' ');
        return space != std::string::npos && space + 1 < statusLine.size() && statusLine[space + 1] == '1';
    }

} // namespace

bool response_guard::take(std::string_view bytes)
{
    while (m_inHead && !bytes.empty()) {
        if (!takeHead(bytes))
            return false;
    }
    m_unusedBytes += bytes.size();
    return m_unusedBytes <= MaxUnusedBytes;
}

bool response_guard::takeHead(std::string_view& bytes)
{
    const char next = bytes.front();
    bytes.remove_prefix(1);
    if (++m_headBytes > MaxHeadBytes)
        return false;
    if (next != '\n') {
        m_lineIsEmpty = m_lineIsEmpty && next == '\r';
        if (m_inStatusLine)
            m_statusLine += next;
        return m_statusLine.size() <= MaxStatusLineBytes;
    }
    if (m_lineIsEmpty && !m_inStatusLine) {
        m_inHead = isInterim(m_statusLine);
        m_inStatusLine = m_inHead;
        m_statusLine.clear();
    } else {
        m_inStatusLine = false;
    }
    m_lineIsEmpty = true;
    return true;
}

} // namespace oriolepick
