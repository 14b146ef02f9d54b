/// \file
/// The thread that reads one attempt's stream from an engine and turns it into events of the generation.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "targets/call_abort.h"
#include "targets/engine_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace oriolepick {

class event_channel;

/// What a reader does besides passing events on.
struct attempt_observer {
    std::function<void(const engine_load&, instant requestSent)> loadReported;
};

/// Reads until the stream ends or abort() is called; joins on destruction.
class attempt_reader_thread {
public:
    /// Starts a new attempt.
    attempt_reader_thread(engine_client& engines, std::string address, attempt_request request,
        stream_timeouts timeouts, std::shared_ptr<event_channel> events, attempt_observer observer);

    /// Attaches to a running attempt.
    attempt_reader_thread(engine_client& engines, std::string address, attempt_id attempt, std::uint32_t from,
        std::uint64_t readerEpoch, stream_timeouts timeouts, std::shared_ptr<event_channel> events,
        attempt_observer observer);

    ~attempt_reader_thread();
    attempt_reader_thread(const attempt_reader_thread&) = delete;
    attempt_reader_thread& operator=(const attempt_reader_thread&) = delete;

    /// Ends the read; no event follows once the thread has noticed.
    void abort() { m_abort.abort(); }

    /// \return whether the engine has sent something that is not read yet
    bool hasPendingInput() const { return m_abort.hasPendingInput(); }

private:
    call_abort m_abort;
    std::thread m_thread;
};

} // namespace oriolepick
