/// \file
/// A pool of idle persistent connections to targets.
#pragma once

#include "core/instant.h"
#include "gateway/byte_channel.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolepick {

class request_dialect;
class target_link;

/// Not thread-safe: each event loop has a pool of its own.
class link_pool {
public:
    /// \param dialect outlives this object
    link_pool(boost::asio::io_context& loop, const request_dialect& dialect, const channel_settings& settings);

    /// \return the most recently used idle connection to \p address, or a new connection if there is none
    std::shared_ptr<target_link> take(const std::string& address, instant now);

    /// Returns a connection to the pool after a complete response.
    void giveBack(std::shared_ptr<target_link> link);

    /// Closes idle connections that their targets may close soon. Call about once a second.
    void expire(instant now);

    /// Closes the idle connections to \p address, whose target has shut down or announced a shutdown.
    void drop(const std::string& address);

    /// \return the number of idle connections
    std::size_t idle() const;

    /// \return the number of connections opened so far
    std::uint64_t opened() const { return m_opened; }

private:
    boost::asio::io_context& m_loop;
    const request_dialect& m_dialect;
    channel_settings m_settings;
    std::map<std::string, std::vector<std::shared_ptr<target_link>>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace oriolepick
