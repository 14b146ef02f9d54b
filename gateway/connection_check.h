/// \file
/// Finds out whether anybody listens at an address, by a connection on which nothing is sent.
#pragma once

#include "gateway/byte_channel.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <memory>
#include <string>

namespace oriolepick {

/// Alive until it has told its finding.
class connection_check : public channel_listener, public std::enable_shared_from_this<connection_check> {
public:
    enum class finding {
        Listens,
        NobodyListens, ///< the machine is up, and refuses
        Unknown, ///< no answer in time, or no connection could be tried
    };
    using callback = std::function<void(finding found)>;

    /// \param timers outlives this object
    /// \param done called once, not before start() has returned
    connection_check(boost::asio::io_context& loop, timer_queue& timers, callback done);

    /// Starts the check of \p address ("IP:PORT").
    void start(const std::string& address, std::chrono::milliseconds patience);

    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onEnd(channel_end end) override;

private:
    void finish(finding found);

    timer_queue& m_timers;
    std::shared_ptr<byte_channel> m_channel;
    callback m_done;
    timer_handle m_timer = 0;
    std::shared_ptr<connection_check> m_self; // until the finding
};

} // namespace oriolepick
