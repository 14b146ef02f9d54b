/// \file
/// Connection of one caller. Requests are read one after another and answered in that order.
#pragma once

#include "core/memory_reservation.h"
#include "gateway/caller_connection_state.h"
#include "gateway/gateway_parts.h"
#include "gateway/http_parser.h"
#include "gateway/response_sink.h"
#include "gateway/tcp_connection.h"
#include "gateway/timer_queue.h"
#include "routing/routing_config.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

class exchange;
enum class error_kind;

/// What happens to the requests of a connection.
enum class connection_admission {
    Served,
    Refused, ///< the first request is rejected unread, because the node has its maximum of connections
};

/// Serves one connection. The gateway that accepted the connection owns the session.
class caller_session : public connection_listener,
                       public response_sink,
                       public std::enable_shared_from_this<caller_session> {
public:
    /// \param admission whether the requests are served
    /// \param onClosed called once, when the connection is closed
    caller_session(boost::asio::io_context& loop, const gateway_parts& parts, std::shared_ptr<tcp_connection> channel,
        connection_admission admission, std::function<void(const std::shared_ptr<caller_session>&)> onClosed);
    ~caller_session() override;

    /// Starts reading requests.
    void start();

    /// Closes the connection after the next response, because the node is stopping.
    void closeAfterNextResponse();

    /// Closes the connection if no request is in progress and the caller's last response was sent.
    void closeIfIdle();

    /// Rejects the request in progress if it waits for a target and cannot be expected to end before the node stops.
    void rejectIfWaiting();

    /// Aborts the request in progress, or closes the connection if there is none.
    void abortForShutdown();

    /// \return when the request in progress was received completely
    instant requestReceivedAt() const { return m_requestReceivedAt; }

    /// \return whether the connection ends without further action
    bool isEnding() const { return m_state.isEnding(); }

    void onBytes(std::string_view bytes) override;
    void onDrained() override;
    void onEnd(connection_end end) override;

    void sendResponse(const http_response_head& head, std::string_view body) override;
    void beginStream(const http_response_head& head) override;
    void sendChunk(std::string_view bytes) override;
    void endStream() override;
    void abortResponse() override;
    std::size_t unsentBytes() const override { return m_channel->queuedBytes(); }
    bool canQueueMore() const override;

private:
    void readNextRequest();
    void startReader();
    void startExchange();
    void reject(error_kind kind, std::string_view errorMessage);
    void updateResponseMemory();
    void onResponseDone();
    bool closesAfterResponse() const;
    void proceed(connection_action action);
    std::optional<instant> inputDue() const;
    std::optional<instant> phaseDue() const;
    void startInputTimer();
    void onInputTimer();
    bool isResponseQueued() const;
    bool isReading();
    void close(std::string_view reason);
    void endExchange(std::string_view reason);
    void logEnd(std::string_view reason);
    void notifyClosed(std::string_view reason);
    std::string formatResponse(const http_response_head& head, std::string_view body);
    std::string formatHead(const http_response_head& head, std::string_view framing);

    boost::asio::io_context& m_loop;
    const gateway_parts& m_parts;
    std::shared_ptr<tcp_connection> m_channel;
    connection_admission m_admission;
    std::function<void(const std::shared_ptr<caller_session>&)> m_onClosed;
    std::unique_ptr<request_parser> m_reader;
    caller_limits m_limits; // of the request that is read
    std::uint64_t m_limitsVersion = 0; // of the configuration that they are from
    std::shared_ptr<exchange> m_exchange;
    std::string m_input;
    memory_reservation m_requestMemory; // of the request that is read, and of its copy for a target
    memory_reservation m_responseMemory; // of bytes that are not yet sent to the caller
    caller_connection_state m_state;
    std::string_view m_endReason; // of a connection that closes after its last response
    instant m_requestReceivedAt; // the last request; zero before the first one
    timer_handle m_inputTimer = 0;
    std::uint64_t m_takenBytes = 0; // by the caller, when it was last checked whether it reads
    instant m_readsUntil; // the connection is kept that long for a caller that was found to read
    bool m_keepAlive = true;
    bool m_chunked = true; ///< the caller supports chunked transfer encoding
    bool m_closing = false;
    bool m_streaming = false;
    bool m_continueSent = false;
};

} // namespace oriolepick
