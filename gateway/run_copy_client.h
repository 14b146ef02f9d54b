/// \file
/// Requests to engines to make and release copies of running requests.
#pragma once

#include "gateway/timer_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oriolepick {

class http_client;
class memory_budget;
class request_dialect;
struct http_client_response;

/// Keeps the connection of each request open until the response arrives.
class run_copy_client {
public:
    /// Receives the handle of the copy, or nothing when there was no memory for a copy or no response.
    using callback = std::function<void(const std::optional<std::string>& handle)>;

    /// \param dialect outlives this object
    run_copy_client(
        boost::asio::io_context& loop, timer_queue& timers, const request_dialect& dialect, memory_budget& memory);

    /// Requests a copy of the run of \p attempt from \p source to \p holder; both are addresses "IP:PORT".
    void copyRun(const std::string& source, const std::string& attempt, const std::string& holder, callback done);

    /// Releases a copy at its source and its holder.
    void releaseCopy(const std::string& source, const std::string& handle);

private:
    void send(const std::string& address, std::string request, std::function<void(const http_client_response&)> done);

    boost::asio::io_context& m_loop;
    memory_budget& m_memory; // of incomplete responses
    timer_queue& m_timers;
    const request_dialect& m_dialect;
    std::map<std::uint64_t, std::shared_ptr<http_client>> m_calls;
    std::uint64_t m_lastCall = 0;
};

} // namespace oriolepick
