/// \file
/// A client for small whole HTTP exchanges, one at a time on one kept connection.
#pragma once

#include "gateway/byte_channel.h"
#include "gateway/http_reader.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriolepick {

/// The answer, or why there is none.
struct call_answer {
    int status = 0; ///< 0 when no whole answer came
    http_response_head head; ///< empty when no whole answer came
    std::string body;
    std::string problem;
    std::chrono::milliseconds took { 0 }; ///< until its first byte, or until it was given up
};

/// How long an answer is waited for.
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

    std::chrono::milliseconds whole; ///< until the last byte
    std::chrono::milliseconds silence; ///< until the first byte, and between two
};

/// Used for the platform's store. Starting a call drops the one before.
class http_call : public channel_listener, public std::enable_shared_from_this<http_call> {
public:
    using callback = std::function<void(call_answer)>;

    http_call(boost::asio::io_context& loop, timer_queue& timers, std::string address, std::uint64_t maxBodyBytes);
    ~http_call() override;

    /// Sends a reading request.
    /// \param target path and query, already encoded
    void get(const std::string& target, const call_patience& patience, callback done);

    /// Sends the bytes of a request that may be sent twice.
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
    bool m_reused = false; ///< the connection served a call before
};

} // namespace oriolepick
