#include "routing/event_splitter.h"

#include "core/text.h"

namespace oriolepick {

namespace {

    std::optional<std::uint64_t> idOf(std::string_view event)
    {
        std::optional<std::uint64_t> id;
        while (!event.empty()) {
            const auto line = takeUntil(event, '\n');
            if (startsWith(line, "id:"))
                id = parseNumber<std::uint64_t>(trimmed(line.substr(3)));
        }
        return id;
    }

} // namespace

void event_splitter::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
    m_buffer.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_consumed);
    const auto lineFeedEnd = rest.find("\n\n");
    const auto carriageReturnEnd = rest.find("\r\n\r\n");
    std::size_t size = 0;
    if (lineFeedEnd != std::string_view::npos
        && (carriageReturnEnd == std::string_view::npos || lineFeedEnd < carriageReturnEnd))
        size = lineFeedEnd + 2;
    else if (carriageReturnEnd != std::string_view::npos)
        size = carriageReturnEnd + 4;
    else
        return std::nullopt;
    m_consumed += size;
    const auto event = rest.substr(0, size);
    return stream_event { event, idOf(event) };
}

void event_splitter::reset()
{
    m_buffer.clear();
    m_consumed = 0;
}

} // namespace oriolepick
