/// \file
/// An HTTP client for small requests and responses, one at a time on one persistent connection.
#pragma once

#include "gateway/byte_channel.h"
#include "gateway/http_reader.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriolepick {

/// The response, or the reason why there is none.
struct call_answer {
    int status = 0; ///< 0 without a complete response
    http_response_head head; ///< empty without a complete response
    std::string body;
    std::string problem; ///< why there is no response, for the log
    std::chrono::milliseconds took { 0 }; ///< from the request to the first byte, or to the failure
};

/// Time limits for a response.
struct call_patience {
    call_patience(std::chrono::milliseconds whole)
        : call_patience(whole, whole)
    {
    }
    call_patience(std::chrono::milliseconds whole, std::chrono::milliseconds silence)
        : whole(whole)
        , silence(silence)
    {
    }

    std::chrono::milliseconds whole; ///< from the request to the last byte
    std::chrono::milliseconds silence; ///< from the request to the first byte, and between bytes
};

/// Sends requests to one address. A new request cancels the previous one.
class http_call : public channel_listener, public std::enable_shared_from_this<http_call> {
public:
    using callback = std::function<void(call_answer)>;

    http_call(boost::asio::io_context& loop, timer_queue& timers, std::string address, std::uint64_t maxBodyBytes);
    ~http_call() override;

    /// Sends a GET request.
    /// \param target path and query, already encoded
    void get(const std::string& target, const call_patience& patience, callback done);

    /// Sends \p request, the bytes of an idempotent request: the client sends the request again on a new connection
    /// when the peer has closed the idle one.
    void send(std::string request, const call_patience& patience, callback done);

    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onEnd(channel_end end) override;

private:
    void waitUntil(instant due);
    instant dueAt() const;
    void fail(const std::string& problem);
    void finish(call_answer answer);
    void connect();
    void dropChannel();

    boost::asio::io_context& m_loop;
    timer_queue& m_timers;
    std::string m_address;
    std::uint64_t m_maxBodyBytes;
    std::shared_ptr<byte_channel> m_channel;
    std::unique_ptr<response_reader> m_reader;
    std::string m_request;
    std::string m_input;
    std::string m_body;
    callback m_done;
    call_patience m_patience { std::chrono::milliseconds(0) };
    instant m_startedAt;
    instant m_lastByteAt;
    std::optional<instant> m_firstByteAt;
    timer_handle m_timer = 0;
    bool m_connected = false;
    bool m_reused = false; ///< the connection has served an earlier request
};

} // namespace oriolepick
