/// \file
/// An HTTP connection to a target.
#pragma once

#include "core/instant.h"
#include "core/memory_reservation.h"
#include "gateway/http_parser.h"
#include "gateway/request_dialect.h"
#include "gateway/tcp_connection.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// Why an attempt at a target ended without a complete response.
enum class transport_failure {
    NotSent, ///< no connection was established; the target has not received the request
    Closed, ///< the target closed the connection before the response was complete
    Reset, ///< the connection was reset
    Unresponsive, ///< the target acknowledged nothing any more
    Malformed, ///< the received bytes are not a valid response, or exceed a limit
};

/// Receives the response to one attempt.
class response_listener {
public:
    virtual ~response_listener() = default;

    /// \return whether the target still accepts the request. Asked when a new connection is open, which may take
    /// seconds when packets are lost.
    virtual bool maySend() const = 0;

    /// The request has been passed to the connection.
    virtual void onSent() = 0;

    /// Status line and header fields of the response have been received.
    virtual void onHead(const http_response_head& head, const target_reply& reply) = 0;

    /// Part of the body has been received.
    virtual void onBody(std::string bytes) = 0;

    /// The response is complete.
    /// \param reusable whether the connection can serve another request
    virtual void onComplete(bool reusable) = 0;

    /// The attempt has failed; no further call follows.
    virtual void onFailure(transport_failure failure) = 0;
};

/// Sends one request at a time. Late responses to earlier attempts are recognised by their attempt identifier and
/// skipped. An attempt is sent at most once on a connection: the target may repeat its response to the first send where
/// the response to the second one is due, and both carry the same identifier.
class target_connection : public connection_listener, public std::enable_shared_from_this<target_connection> {
public:
    /// \param dialect outlives this object
    /// \param memory limits what all connections hold of incomplete responses; outlives this object
    target_connection(boost::asio::io_context& loop, const request_dialect& dialect, memory_budget& memory,
        const tcp_connection_settings& settings, std::string address);

    /// \return whether \p attempt can be sent: it has not been sent on this connection before
    bool accepts(std::string_view attempt) const;

    /// Sends \p request, after establishing the connection if necessary.
    /// \param attempt identifier of the attempt, which the response must carry and which accepts() allows
    /// \param listener receives the events of this attempt only
    void send(std::string request, std::string attempt, std::weak_ptr<response_listener> listener);

    /// Closes the connection without notifying the listener. What the target has not taken of the request is dropped.
    void abandon();

    /// Pauses or resumes reading; used while the caller is slower than the target.
    void pauseReading(bool paused);

    /// \return whether the target has accepted the connection, responded or closed, and the event loop has not handled
    /// it yet. Costs a system call.
    bool hasPendingInput() { return m_connection->hasPendingInput(); }

    /// \return how many bytes of its requests were sent to the target
    std::uint64_t sentBytes() const { return m_connection->sentBytes(); }

    /// \return how many of these bytes the target has taken. Costs a system call.
    std::uint64_t takenBytes() const { return m_connection->takenBytes(); }

    bool canSend() const { return m_connection->canSend(); }
    bool isConnected() const { return m_connected; }
    const std::string& address() const { return m_address; }

    /// \return the time after which this idle connection must not be used, because the target may close it
    instant reusableUntil() const { return m_reusableUntil; }

    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onEnd(connection_end end) override;

private:
    void read();
    void acceptHead();
    void finish();
    void fail(transport_failure failure);

    /// Limit for the attempts on one connection, which are all remembered; the connection is closed when it is reached.
    static constexpr std::size_t MaxAttempts = 512;
    /// Limit for the response head: twice the limit for callers, since targets echo little of a request.
    static constexpr std::uint32_t MaxHeadBytes = 32'768;
    /// Limit for buffered bytes that the parser cannot consume yet, such as an incomplete line with a chunk size.
    static constexpr std::size_t MaxUnparsedBytes = MaxHeadBytes;
    /// Limit for skipped responses to earlier attempts; the connection is closed when it is exceeded.
    static constexpr std::size_t MaxSkippedResponses = 4;
    /// Limit for the bytes of skipped responses; a duplicate of a common response is far smaller.
    static constexpr std::size_t MaxSkippedBytes = 65'536;

    const request_dialect& m_dialect;
    std::string m_address;
    std::shared_ptr<tcp_connection> m_connection;
    std::unique_ptr<response_parser> m_parser;
    std::weak_ptr<response_listener> m_listener;
    std::string m_request;
    std::string m_attempt;
    std::string m_input;
    memory_reservation m_memory; // of m_input and the head, with its copy in the listener
    instant m_reusableUntil;
    std::size_t m_skippedResponses = 0;
    std::size_t m_skippedBytes = 0;
    bool m_connecting = false;
    bool m_connected = false;
    std::vector<std::uint64_t> m_attempts; // hashes of the identifiers sent on this connection
    bool m_awaitingResponse = false;
    bool m_headAccepted = false;
    bool m_skipping = false;
};

} // namespace oriolepick
