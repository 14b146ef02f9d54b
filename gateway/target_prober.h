/// \file
/// Asks silent targets whether they are alive, so that a busy target is told from a dead one.
#pragma once

#include "core/instant.h"
#include "gateway/byte_channel.h"
#include "gateway/timer_queue.h"
#include "routing/engine_report.h"
#include "routing/routing_names.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class http_call;
class request_dialect;
class target_tracker;
class target_notices;
struct call_answer;
struct target_entry;

/// Questions about one target at the same time are asked once.
class target_prober {
public:
    /// What a target answered.
    struct answer {
        bool alive = false; ///< an answer came in time
        bool replaced = false; ///< another target has the address
        std::optional<engine_report> report; ///< nothing when the answer could not be read
    };
    using callback = std::function<void(const answer&)>;

    /// \param dialect writes the question and reads the answer
    /// \param board tells which targets want no question
    /// \param notices is told of every answer; all references outlive this object
    target_prober(boost::asio::io_context& loop, timer_queue& timers, const request_dialect& dialect,
        const target_tracker& board, target_notices& notices);

    /// Asks \p target, unless it wants a pause: it then counts as alive.
    /// \param patience time for the answer
    void ask(const target_entry& target, std::chrono::milliseconds patience, callback done);

    /// Closes connections that were not used lately. Call about once a second.
    void expire(instant now);

private:
    struct line {
        std::shared_ptr<http_call> call;
        std::vector<callback> waiting; // one question is under way when it is not empty
        instant lastUse;
        std::uint64_t startedAt = 0; // of the target that was meant
        std::string address;
    };

    void finish(const target_name& target, const call_answer& given);

    boost::asio::io_context& m_loop;
    timer_queue& m_timers;
    const request_dialect& m_dialect;
    const target_tracker& m_board;
    target_notices& m_notices;
    std::map<target_name, line> m_lines;
};

} // namespace oriolepick
