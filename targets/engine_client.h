/// \file
/// Port to model engines.
#pragma once

#include "core/error.h"
#include "core/names.h"
#include "core/token.h"
#include "targets/engine_load.h"
#include "targets/engine_state.h"
#include "targets/stream_break.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace oriolepick {

class call_abort;

/// What an engine needs to run an attempt.
struct attempt_request {
    attempt_id id;
    model_ref model;
    std::string prompt;
    token_list prefix; ///< tokens of the response that were delivered before; the first new position is its size
    std::uint64_t seed = 0;
    std::uint32_t maxTokens = 0; ///< limit of the whole response, including the prefix
    int priority = 0; ///< a higher number runs first
};

/// Time limits of a streaming call.
struct stream_timeouts {
    std::chrono::milliseconds connect { 1000 };
    std::chrono::milliseconds idle { 30000 }; ///< longest time without any byte, also before the first
};

/// The end event of an attempt.
struct attempt_summary {
    std::string finishReason; ///< "stop" or "length"
    std::uint32_t length = 0; ///< tokens of the whole response
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; ///< prompt tokens found in the engine's prefix cache
    std::optional<engine_load> load;
};

/// Whether a stream is read further.
enum class read_decision { Continue, Stop };

/// Receives the events of one streaming call, on the thread that made the call. Each call ends with exactly one done()
/// or broken(), except that nothing follows a Stop.
class attempt_sink {
public:
    virtual ~attempt_sink() = default;

    /// The engine took the attempt, or the attach.
    /// \param load the load in the response header, if it had a valid one
    virtual read_decision accepted(const std::optional<engine_load>& load) = 0;

    /// \param position index in the whole response, including the prefix
    virtual read_decision tokenArrived(std::uint32_t position, const token& next) = 0;

    virtual void done(const attempt_summary& summary) = 0;

    /// \param detail for logs
    virtual void broken(stream_break reason, const std::string& detail) = 0;
};

/// Answer to a health probe.
struct probe_answer {
    bool alive = false; ///< answered in time and in good order
    std::optional<bool> hasAttempt; ///< whether the engine still has the attempt asked about
};

/// Engines as this system uses them; addresses have the form "ip:port". Implementations are thread-safe. Reports give
/// LimitExceeded when nothing was sent because the engine's request limit is used up.
class engine_client {
public:
    virtual ~engine_client() = default;

    /// Runs a new attempt; blocks until its stream has ended.
    virtual void start(const std::string& address, const attempt_request& request, const stream_timeouts& timeouts,
        attempt_sink& sink, call_abort& abort)
        = 0;

    /// Reads on an attempt that the engine runs; blocks until the stream has ended.
    /// \param from position of the first token wanted
    /// \param readerEpoch the engine ends readers with a lower epoch and refuses a lower one with Superseded
    virtual void attach(const std::string& address, const attempt_id& attempt, std::uint32_t from,
        std::uint64_t readerEpoch, const stream_timeouts& timeouts, attempt_sink& sink, call_abort& abort)
        = 0;

    /// Cancels an attempt; succeeds also when the engine does not know it.
    /// \return TargetFailed when the engine did not confirm
    virtual result<void> cancel(
        const std::string& address, const attempt_id& attempt, std::chrono::milliseconds timeout)
        = 0;

    /// \param attempt an attempt to ask about, if any
    virtual probe_answer probe(const std::string& address, const std::optional<attempt_id>& attempt,
        std::chrono::milliseconds timeout) const = 0;

    /// \return the state, NoTarget when nothing listens there, or TargetFailed
    virtual result<engine_state> readState(const std::string& address, std::chrono::milliseconds timeout) const = 0;

    /// \return the load, NoTarget when nothing listens there, or TargetFailed
    virtual result<engine_load> readLoad(const std::string& address, std::chrono::milliseconds timeout) const = 0;

    /// \param after sequence number of the last event known, 0 for all that the engine keeps
    /// \return events in order, with gaps in their numbers where some were lost; NoTarget when no
    ///     connection was made, or TargetFailed
    virtual result<cache_events> readCacheEvents(
        const std::string& address, std::uint64_t after, std::chrono::milliseconds timeout) const = 0;

    /// \return StaleFencing when the engine saw a higher number, NoTarget when the order was never sent, NotLoaded or
    ///     BadRequest when the engine refused it, TargetFailed when its outcome is unknown
    virtual result<void> giveOrder(
        const std::string& address, const engine_order& order, std::chrono::milliseconds timeout)
        = 0;
};

} // namespace oriolepick
