/// \file
/// Checks whether a process listens at an address by opening a TCP connection without sending anything.
#pragma once

#include "core/response_wait.h"
#include "gateway/tcp_connection.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriolepick {

/// A single check. Its end without a callback, when the owner releases it early, closes the connection.
class connection_check : public connection_listener, public std::enable_shared_from_this<connection_check> {
public:
    enum class outcome {
        Listening,
        NotListening, ///< the machine is up and refuses the connection
        Unknown, ///< the attempt timed out, or no connection could be attempted
    };
    using callback = std::function<void(outcome found)>;

    /// \param timers outlives this object
    /// \param done called once, after start() has returned
    connection_check(boost::asio::io_context& loop, timer_queue& timers, callback done);
    ~connection_check() override;
    connection_check(const connection_check&) = delete;
    connection_check& operator=(const connection_check&) = delete;

    /// Starts the check of \p address ("IP:PORT").
    /// \param timeout time after which the outcome is Unknown
    void start(const std::string& address, std::chrono::milliseconds timeout);

    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onEnd(connection_end end) override;

private:
    void startTimer();
    void finish(outcome found);

    timer_queue& m_timers;
    std::shared_ptr<tcp_connection> m_connection;
    callback m_done;
    std::optional<response_wait> m_wait;
    timer_handle m_timer = 0;
    bool m_finished = false;
};

} // namespace oriolepick
