/// \file
/// One TCP connection on the event loop: what arrives is handed to a listener, what is sent is queued.
#pragma once

#include "core/instant.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace oriolepick {

/// How a connection ended.
enum class channel_end {
    Closed, ///< in an orderly way, by the peer
    Reset, ///< the peer or the network broke it, or it timed out
    Refused, ///< nobody listens at the address
    NotConnected, ///< it was never established for another reason
};

/// Receives what happens on a connection.
class channel_listener {
public:
    virtual ~channel_listener() = default;

    /// The connection that was asked for is established.
    virtual void onConnected() { }

    virtual void onBytes(std::string_view bytes) = 0;

    /// All that was queued has been sent.
    virtual void onDrained() { }

    /// The last call for a connection, unless it was closed by this side.
    virtual void onEnd(channel_end end) = 0;
};

/// How a connection notices a peer that is silent or gone.
struct channel_settings {
    std::chrono::seconds keepAliveIdle { 1 }; ///< the least that the kernel takes
    std::chrono::seconds keepAliveInterval { 1 };
    int keepAliveProbes = 2;
    /// Sent bytes that stay unacknowledged for longer break the connection. Links lose a few packets in a hundred at
    /// times; three retransmissions fit.
    std::chrono::milliseconds userTimeout { 2'000 };
};

/// Not synchronized: belongs to its event loop. Kept alive by its pending operations.
class byte_channel : public std::enable_shared_from_this<byte_channel> {
public:
    byte_channel(boost::asio::ip::tcp::socket socket, const channel_settings& settings);

    /// Sets who hears of this connection; an expired listener hears nothing.
    void setListener(std::weak_ptr<channel_listener> listener) { m_listener = std::move(listener); }

    /// Starts to establish the connection to \p address ("IP:PORT").
    void connect(const std::string& address);

    /// Starts reading on an established connection.
    void startReading();

    /// Stops or resumes reading, to slow down a peer that sends faster than its bytes go on.
    void pauseReading(bool paused);

    /// Queues \p bytes.
    void send(std::string_view bytes);

    /// Sends what is queued, then closes.
    void closeAfterSending();

    /// Closes at once; what is queued is lost.
    void close();

    bool isOpen() const { return m_open; }
    std::size_t queuedBytes() const { return m_output.size() + m_writing.size(); }

private:
    void configure();
    void read();
    void write();
    void end(channel_end end);

    static constexpr std::size_t ReadBytes = 8'192; ///< a page less would split common requests into two reads

    boost::asio::ip::tcp::socket m_socket;
    channel_settings m_settings;
    std::weak_ptr<channel_listener> m_listener;
    std::array<char, ReadBytes> m_input;
    std::string m_output;
    std::string m_writing;
    bool m_open = true;
    bool m_reading = false;
    bool m_paused = false;
    bool m_writeActive = false;
    bool m_closing = false;
};

} // namespace oriolepick
