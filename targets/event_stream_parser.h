/// \file
/// Incremental, checked parser of server-sent events.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace oriolepick {

/// One server-sent event.
struct stream_event {
    std::string name; ///< field "event"; empty for a plain message
    std::string data; ///< fields "data", joined by line feeds
    std::string id; ///< field "id"
};

/// Size limits of a stream; beyond them it is malformed.
struct event_stream_limits {
    std::size_t lineBytes = 65536;
    std::size_t eventBytes = 262144;
};

/// Takes bytes in pieces of any size and gives out events. Stricter than the standard, so that garbage is noticed:
/// fields other than "event", "data", "id", "retry", lines without a colon, and control characters are malformed.
class event_stream_parser {
public:
    using event_handler = std::function<bool(const stream_event&)>; ///< returns whether to go on

    enum class status {
        Ok,
        Stopped, ///< the handler returned false
        Malformed, ///< and stays so: later bytes are ignored
    };

    explicit event_stream_parser(event_stream_limits limits = {})
        : m_limits(limits)
    {
    }

    /// Parses the next bytes and calls \p handler for each event that they complete.
    status feed(std::string_view bytes, const event_handler& handler);

    /// \return the memory that the incomplete event takes
    std::size_t heldBytes() const;

    /// \return what is wrong with a malformed stream
    const std::string& fault() const { return m_fault; }

private:
    bool takeLine(std::string_view line);
    bool dispatchEvent(const event_handler& handler);
    bool fail(std::string fault);

    event_stream_limits m_limits;
    std::string m_line;
    bool m_skipLineFeed = false;
    stream_event m_event;
    std::size_t m_eventBytes = 0;
    bool m_hasData = false;
    std::string m_fault;
};

} // namespace oriolepick
