/// \file
/// Splits the bytes of an event stream into whole events, so that a stream is only ever cut between two events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

/// One event with the bytes as they came, including the blank line that ends it.
struct stream_event {
    std::string_view bytes; ///< valid until the splitter is fed again
    std::optional<std::uint64_t> id;
};

/// Collects bytes and hands out events in order.
class event_splitter {
public:
    /// Adds bytes as they arrive.
    void feed(std::string_view bytes);

    /// Takes the next whole event.
    /// \return the event, or nothing when more bytes are needed
    std::optional<stream_event> next();

    /// \return bytes of an event that is not whole yet
    std::size_t pendingBytes() const { return m_buffer.size() - m_consumed; }

    /// Drops what is pending; used when another target goes on with the stream.
    void reset();

private:
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

} // namespace oriolepick
