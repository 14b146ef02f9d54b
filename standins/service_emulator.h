/// \file
/// An emulated plain service that records every run of a call.
#pragma once

#include "standins/http_listener.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace httplib {
struct Request;
struct Response;
}

namespace oriolepick {

/// What an emulated service does wrong.
struct service_faults {
    bool exitOnAccept = false; ///< end the process when a request arrives, before it runs
    bool resetBeforeBody = false; ///< close the connection before the body is read; the call does not run
    bool resetAfterRun = false; ///< run the call, then close the connection without a response
    std::chrono::milliseconds delay { 0 }; ///< between the run and the response
    int status = 0; ///< answer without running, 0 for off
    double requestLimit = 0; ///< named in each response, in requests per second; 0 for none
    std::uint32_t calls = 0; ///< how many of the next calls are affected; 0 for all
};

/// Takes any method and path. A run is counted under the value of Idempotency-Key, or under "" without one.
/// GET /runs lists all counts, GET /runs/<key> one.
class service_emulator {
public:
    /// \param exit called for exitOnAccept; a program exits in it
    explicit service_emulator(
        std::size_t maxConnections, std::function<void()> exit = [] {});
    ~service_emulator();

    /// \param address "ip:port", port 0 for any free one
    /// \return whether the address could be bound
    bool start(const std::string& address);
    void stop();

    /// Stops to listen, as a process that ends; may be called while a request is handled. stop() must follow.
    void closeListener();

    const std::string& address() const { return m_listener.address(); }

    /// Sets all faults from a JSON object with "exit_on_accept", "reset_before_body", "reset_after_run" (bool),
    /// "delay_ms", "status", "request_limit" and "calls" (numbers); what is not named is off.
    /// \return what is wrong, empty for nothing
    std::string applyFaults(std::string_view text);

    /// \return how often the call with \p key ran
    std::uint64_t runsOf(const std::string& key) const;

    /// \return the number of runs of all calls
    std::uint64_t runs() const;

private:
    void addRoutes();
    service_faults takeFaults();
    void serve(const httplib::Request& request, httplib::Response& response);
    std::string runsJson() const;

    const std::function<void()> m_exit;
    mutable std::mutex m_mutex;
    service_faults m_faults;
    bool m_limited = false; ///< whether \c m_faults.calls counts down
    std::map<std::string, std::uint64_t> m_runs;
    http_listener m_listener;
};

} // namespace oriolepick
