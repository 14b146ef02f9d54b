/// \file
/// A pool of idle persistent connections to targets.
#pragma once

#include "core/instant.h"
#include "gateway/tcp_connection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

class memory_budget;
class request_dialect;
class target_connection;

/// Not thread-safe: each event loop has a pool of its own.
class target_connection_pool {
public:
    /// \param dialect outlives this object
    /// \param memory limits what all connections hold of incomplete responses; outlives this object
    target_connection_pool(boost::asio::io_context& loop, const request_dialect& dialect, memory_budget& memory,
        const tcp_connection_settings& settings);

    /// \param attempt identifier of the attempt for which the connection is taken
    /// \return the most recently used idle connection to \p address that accepts \p attempt, or a new connection if
    /// there is none
    std::shared_ptr<target_connection> take(const std::string& address, std::string_view attempt, instant now);

    /// Returns a connection to the pool after a complete response.
    void release(std::shared_ptr<target_connection> connection);

    /// Closes idle connections that their targets may close soon. Call about once a second.
    void expire(instant now);

    /// Closes the idle connections to \p address, whose target has shut down or announced a shutdown.
    void closeIdle(const std::string& address);

    /// \return the number of idle connections
    std::size_t idleConnections() const;

    /// \return the number of connections opened so far
    std::uint64_t openedConnections() const { return m_openedConnections; }

private:
    boost::asio::io_context& m_loop;
    const request_dialect& m_dialect;
    memory_budget& m_memory;
    tcp_connection_settings m_settings;
    std::map<std::string, std::vector<std::shared_ptr<target_connection>>> m_idleConnections;
    std::uint64_t m_openedConnections = 0;
};

} // namespace oriolepick
