/// \file
/// Orders to engines about copies of running requests.
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
class request_dialect;
struct http_client_response;

/// Keeps each order's connection until its answer.
class run_copy_client {
public:
    /// Receives the handle of the copy, or nothing when there was no room or no answer.
    using callback = std::function<void(const std::optional<std::string>& handle)>;

    /// \param dialect outlives this object
    run_copy_client(boost::asio::io_context& loop, timer_queue& timers, const request_dialect& dialect);

    /// Copies the run of \p attempt at \p source to \p holder; both are addresses "IP:PORT".
    void copyRun(const std::string& source, const std::string& attempt, const std::string& holder, callback done);

    /// Frees a copy at both ends.
    void releaseCopy(const std::string& source, const std::string& handle);

private:
    void send(const std::string& address, std::string request, std::function<void(const http_client_response&)> done);

    boost::asio::io_context& m_loop;
    timer_queue& m_timers;
    const request_dialect& m_dialect;
    std::map<std::uint64_t, std::shared_ptr<http_client>> m_calls;
    std::uint64_t m_lastCall = 0;
};

} // namespace oriolepick
