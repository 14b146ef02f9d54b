/// \file
/// Splits the bytes of an event stream into complete events, so that a stream is only cut between two events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

/// One event with its unmodified bytes, including the terminating blank line.
struct stream_event {
    std::string_view bytes; ///< valid until the next call of feed() or reset()
    std::optional<std::uint64_t> id;
};

/// Buffers bytes and returns complete events in order.
class event_splitter {
public:
    /// Appends received bytes.
    void feed(std::string_view bytes);

    /// Removes the next complete event from the buffer.
    /// \return the event, or nothing if more bytes are needed
    std::optional<stream_event> next();

    /// \return the number of buffered bytes of an incomplete event
    std::size_t pendingBytes() const { return m_buffer.size() - m_consumed; }

    /// Discards buffered bytes; used when another target resumes the stream.
    void reset();

private:
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

} // namespace oriolepick
