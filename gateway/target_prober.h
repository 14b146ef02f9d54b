/// \file
/// Asks silent targets whether they are alive, so that a busy target is told from a dead one.
#pragma once

#include "core/instant.h"
#include "gateway/byte_channel.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolepick {

class http_call;

/// Questions about one target at the same time are asked once.
class target_prober {
public:
    /// Receives whether the target answered in time.
    using callback = std::function<void(bool alive)>;

    /// \param question path of a page that any live target answers at once
    target_prober(boost::asio::io_context& loop, timer_queue& timers, std::string question);

    /// \param address "IP:PORT" of the target
    /// \param patience time for the answer
    void ask(const std::string& address, std::chrono::milliseconds patience, callback done);

private:
    struct pending {
        std::shared_ptr<http_call> call;
        std::vector<callback> waiting;
    };

    void answer(const std::string& address, bool alive);

    boost::asio::io_context& m_loop;
    timer_queue& m_timers;
    std::string m_question;
    std::map<std::string, pending> m_pending;
};

} // namespace oriolepick
