#include "targets/event_stream_parser.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace oriolepick {

namespace {

    bool hasControlCharacter(std::string_view line)
    {
        for (const char character : line) {
            const auto byte = static_cast<unsigned char>(character);
            if ((byte < 0x20 && byte != '\t') || byte == 0x7f)
                return true;
        }
        return false;
    }

} // namespace

event_stream_parser::status event_stream_parser::feed(std::string_view bytes, const event_handler& handler)
{
    while (!bytes.empty() && m_fault.empty()) {
        // The line feed of a CR LF pair may arrive in a later piece.
        if (std::exchange(m_skipLineFeed, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = bytes.find_first_of("\r\n");
        const auto part = bytes.substr(0, end);
        if (m_line.size() + part.size() > m_limits.lineBytes) {
            fail(absl::StrCat("line longer than ", m_limits.lineBytes, " bytes"));
            break;
        }
        m_line.append(part);
        if (end == std::string_view::npos)
            break;
        m_skipLineFeed = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        const std::string line = std::exchange(m_line, {});
        if (line.empty()) {
            if (!dispatchEvent(handler))
                return status::Stopped;
        } else if (!takeLine(line)) {
            break;
        }
    }
    return m_fault.empty() ? status::Ok : status::Malformed;
}

std::size_t event_stream_parser::heldBytes() const
{
    return m_line.capacity() + m_event.name.capacity() + m_event.data.capacity() + m_event.id.capacity();
}

bool event_stream_parser::takeLine(std::string_view line)
{
    if (hasControlCharacter(line))
        return fail("control character in a line");
    m_eventBytes += line.size();
    if (m_eventBytes > m_limits.eventBytes)
        return fail(absl::StrCat("event longer than ", m_limits.eventBytes, " bytes"));
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return fail("line without a colon");
    const auto field = line.substr(0, colon);
    auto value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "data") {
        if (std::exchange(m_hasData, true))
            m_event.data += '\n';
        m_event.data += value;
    } else if (field == "event") {
        m_event.name = value;
    } else if (field == "id") {
        m_event.id = value;
    } else if (!field.empty() && field != "retry") {
        return fail("unknown field");
    }
    return true;
}

bool event_stream_parser::dispatchEvent(const event_handler& handler)
{
    const stream_event event = std::exchange(m_event, {});
    m_eventBytes = 0;
    // As in the standard, an event without data is not given out.
    return !std::exchange(m_hasData, false) || handler(event);
}

bool event_stream_parser::fail(std::string fault)
{
    m_fault = std::move(fault);
    return false;
}

} // namespace oriolepick
