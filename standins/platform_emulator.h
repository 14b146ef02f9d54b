/// \file
/// Emulator of the platform over HTTP: transactional table, object store, lagging instance list, rate-limited weight
/// store, and POST /faults.
#pragma once

#include "core/error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace oriolepick {

/// How the emulator listens and behaves.
struct platform_emulator_options {
    std::string host = "127.0.0.1";
    int port = 0; ///< 0 lets the system choose
    std::uint64_t seed = 1; ///< seed of probabilistic faults
    std::chrono::milliseconds instanceLag { 1000 }; ///< age of what GET /instances shows
    double weightsPerSecond = 4; ///< sustained rate of GET /weights
    std::size_t weightBurst = 4; ///< GET /weights allowed at once
    std::size_t threads = 128; ///< connections served at once, one per thread
};

/// Serves the protocol of design section 5.3 and the emulator's own paths:
/// - POST /faults: see fault_json.h
/// - POST /copy: keeps a copy of the table and the objects
/// - POST /restore: comes back from that copy with the next Store-Epoch
/// - POST /instances {"instances":[{"address","zone","kind","state"}]}: replaces the actual list
class platform_emulator {
public:
    explicit platform_emulator(platform_emulator_options options);
    ~platform_emulator();
    platform_emulator(const platform_emulator&) = delete;
    platform_emulator& operator=(const platform_emulator&) = delete;

    /// Binds and starts to serve on a thread of its own.
    /// \return once requests are served, or PlatformUnavailable when the port cannot be bound
    result<void> start();

    /// Stops serving and joins the thread; takes up to 5 s while clients keep idle connections.
    void stop();

    /// \return the bound port, 0 before start()
    int port() const;

    /// \return "http://host:port"
    std::string address() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace oriolepick
