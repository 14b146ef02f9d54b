/// \file
/// An HTTP client for small requests and responses, one at a time on one persistent connection.
#pragma once

#include "core/memory_reservation.h"
#include "core/response_wait.h"
#include "gateway/http_parser.h"
#include "gateway/tcp_connection.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriolepick {

/// Why there is no complete response.
enum class response_failure {
    None, ///< there is one
    Refused, ///< no process listens at the address
    NotConnected, ///< no connection could be attempted, for example for lack of descriptors in this process
    TimedOut, ///< the peer was silent beyond a time limit, or cannot be reached
    ConnectionLost, ///< the peer closed or reset the connection
    Malformed, ///< the peer sent something else, or too much
    NoMemory, ///< this process had no memory for it
};

/// The response, or the reason why there is none.
struct http_client_response {
    int status = 0; ///< 0 without a complete response
    http_response_head head; ///< empty without a complete response
    std::string body;
    response_failure failure = response_failure::None;
    std::string problem; ///< the failure in words, for the log
    std::chrono::milliseconds latency { 0 }; ///< from the request to the first byte, or to the failure
};

/// Time limits for a response. They count from the moment at which the request is sent, and before it once for the
/// connection. Time in which this process runs late is not held against the peer (see response_wait).
struct response_timeouts {
    response_timeouts(std::chrono::milliseconds total)
        : response_timeouts(total, total)
    {
    }
    response_timeouts(std::chrono::milliseconds total, std::chrono::milliseconds idle)
        : total(total)
        , idle(idle)
    {
    }

    std::chrono::milliseconds total; ///< from the request to the last byte
    std::chrono::milliseconds idle; ///< from the request to the first byte, and between bytes
};

/// Sends requests to one address. A new request cancels the previous one.
class http_client : public connection_listener, public std::enable_shared_from_this<http_client> {
public:
    using callback = std::function<void(http_client_response)>;

    /// \param memory limits what this client holds of a response together with others; outlives this object. Null for a
    /// peer that is trusted to end its responses.
    http_client(boost::asio::io_context& loop, timer_queue& timers, std::string address, std::uint64_t maxBodyBytes,
        memory_budget* memory = nullptr);
    ~http_client() override;

    /// Sends a GET request.
    /// \param target path and query, already encoded
    void get(const std::string& target, const response_timeouts& timeouts, callback done);

    /// Sends \p request, the bytes of an idempotent request: the client sends the request again on a new connection
    /// when the peer has closed the idle one.
    void send(std::string request, const response_timeouts& timeouts, callback done);

    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onEnd(connection_end end) override;

private:
    void startTimer();
    void onTimer();
    void fail(response_failure failure, const std::string& problem);
    bool reserveMemory();
    void finish(http_client_response response);
    void connect();
    void dropConnection();

    boost::asio::io_context& m_loop;
    timer_queue& m_timers;
    std::string m_address;
    std::uint64_t m_maxBodyBytes;
    std::shared_ptr<tcp_connection> m_connection;
    std::unique_ptr<response_parser> m_parser;
    std::string m_request;
    std::string m_input;
    std::string m_body;
    std::optional<memory_reservation> m_memory; // of m_input, m_body and the head
    callback m_done;
    std::optional<response_wait> m_totalWait; // set while a response is awaited
    std::optional<response_wait> m_idleWait;
    instant m_startedAt;
    std::optional<instant> m_firstByteAt;
    timer_handle m_timer = 0;
    bool m_connected = false;
    bool m_reused = false; ///< the connection has served an earlier request
};

} // namespace oriolepick
