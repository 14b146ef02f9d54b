/// \file
/// An asynchronous TCP connection on the event loop: received bytes are passed to a listener, sent bytes are buffered.
#pragma once

#include "core/instant.h"
#include "gateway/peer_watch.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace oriolepick {

/// Why a connection ended.
enum class connection_end {
    Closed, ///< closed in an orderly way by the peer
    Reset, ///< reset by the peer, or broken by a network error
    Unresponsive, ///< the peer acknowledges nothing any more
    Refused, ///< no process listens at the address
    Unreachable, ///< could not be established because of the network
    NotConnected, ///< could not be attempted, for example for lack of descriptors
};

/// Receives the events of a connection.
class connection_listener {
public:
    virtual ~connection_listener() = default;

    /// Called when the connection that connect() started is established.
    virtual void onConnected() { }

    /// Called with received bytes, which are valid during the call.
    virtual void onBytes(std::string_view bytes) = 0;

    /// Called when all queued bytes have been passed to the kernel.
    virtual void onDrained() { }

    /// Called when the connection has ended, as the last event, unless this side has closed the connection.
    virtual void onEnd(connection_end end) = 0;
};

/// Times that detect a peer that is unreachable or gone.
struct tcp_connection_settings {
    std::chrono::seconds keepAliveIdle { 1 }; ///< the smallest value that the kernel accepts
    std::chrono::seconds keepAliveInterval { 1 };
    /// The connection breaks when the peer acknowledges nothing of what was sent for longer. The time allows three
    /// retransmissions, since networks lose a few percent of the packets at times.
    std::chrono::milliseconds userTimeout { 2'000 };
};

/// A TCP connection. Not thread-safe: use it on the thread of its event loop only. Pending operations keep it alive.
class tcp_connection : public std::enable_shared_from_this<tcp_connection> {
public:
    tcp_connection(boost::asio::ip::tcp::socket socket, const tcp_connection_settings& settings);
    ~tcp_connection();
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;

    /// Sets the receiver of events. Events are dropped once the listener has expired.
    void setListener(std::weak_ptr<connection_listener> listener) { m_listener = std::move(listener); }

    /// Starts to establish the connection to \p address ("IP:PORT"). When sending fails on such a connection, bytes
    /// that the peer has sent are still received before the end: a server may respond and close before it has read all.
    void connect(const std::string& address);

    /// Starts reading on an established connection.
    void startReading();

    /// Pauses or resumes reading. While paused, TCP flow control slows down a peer whose bytes are not consumed as fast
    /// as they arrive.
    void pauseReading(bool paused);

    /// Sends \p bytes; what the kernel does not accept at once is queued.
    void send(std::string_view bytes);

    /// Sends the queued bytes, then closes the connection.
    void closeAfterSending();

    /// Shuts down the sending direction, and goes on receiving. No bytes may be queued.
    void shutDownSending();

    /// Closes the connection at once and discards queued bytes.
    void close();

    /// Closes the connection at once with a reset, so that the peer cannot take the bytes that it has received for a
    /// whole response.
    void reset();

    bool isOpen() const { return m_open; }

    /// \return whether the connection is open and sending has not failed
    bool canSend() const { return m_open && !m_writeFailed; }

    /// \return whether the peer has accepted the connection, sent bytes or ended, and the event loop has not handled
    /// it yet. Costs a system call.
    bool hasPendingInput();

    std::size_t queuedBytes() const { return m_output.size() + m_writing.size(); }

    /// \return whether bytes are queued or not acknowledged by the peer. Costs a system call.
    bool hasUntakenBytes() { return untakenBytes() > 0; }

    /// \return how many of the bytes sent the peer has acknowledged. A peer that reads slowly acknowledges more as it
    /// reads. Costs a system call.
    std::uint64_t takenBytes();

    /// \return how many bytes were passed to send()
    std::uint64_t sentBytes() const { return m_sentBytes; }

private:
    void configure();
    void liftKernelTimeout();
    std::size_t untakenBytes();
    void watchPeer();
    void checkPeer();
    void probeWindowOften(bool often);
    void read();
    void write();
    void onWriteFailed(const boost::system::error_code& error);
    void end(connection_end end);

    static constexpr std::size_t ReadBytes = 8'192; ///< common requests would need two reads with a page less

    /// Interval of the checks while bytes are unacknowledged.
    static constexpr std::chrono::milliseconds PeerCheckInterval { 250 };

    boost::asio::ip::tcp::socket m_socket;
    tcp_connection_settings m_settings;
    boost::asio::steady_timer m_peerTimer;
    peer_watch m_peerWatch;
    std::uint64_t m_sentBytes = 0; // passed to send()
    std::size_t m_untakenAtEnd = 0; // when the connection was closed
    std::weak_ptr<connection_listener> m_listener;
    std::array<char, ReadBytes> m_input;
    std::string m_output;
    std::string m_writing;
    bool m_open = true;
    bool m_connecting = false;
    bool m_reading = false;
    bool m_paused = false;
    bool m_writeActive = false;
    bool m_writeFailed = false; // nothing more is sent, and reading reports the end
    bool m_isOutgoing = false; // established by connect()
    bool m_closing = false;
    bool m_watching = false; // the peer is checked regularly
    bool m_timeoutLifted = false; // this object decides whether the peer is gone
    bool m_probesOften = false;
};

} // namespace oriolepick
