#include "targets/response_guard.h"

#include <utility>

namespace oriolepick {

bool response_guard::take(std::string_view bytes)
{
    while (m_inHead && !bytes.empty()) {
        if (!takeHead(bytes)) {
            m_fault = m_head.fault();
            return false;
        }
    }
    if (m_head.isChunked() && !m_chunks.take(bytes)) {
        m_fault = "malformed chunk";
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
    if (next == '\n')
        return takeLine();
    m_line += next;
    return !m_inStatusLine || m_line.size() <= MaxStatusLineBytes;
}

bool response_guard::takeLine()
{
    const auto line = std::exchange(m_line, {});
    if (std::exchange(m_inStatusLine, false))
        return m_head.takeStatusLine(line);
    if (line != "\r")
        return ++m_headFields <= MaxHeadFields && m_head.takeHeaderLine(line);
    m_inHead = m_head.isContinue();
    m_inStatusLine = m_inHead;
    if (m_inHead)
        m_head = {};
    return true;
}

} // namespace oriolepick
