/// \file
/// Idle connections to targets, kept for the next request.
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

/// Not synchronized: one per event loop.
class link_pool {
public:
    /// \param dialect outlives this object
    link_pool(boost::asio::io_context& loop, const request_dialect& dialect, const channel_settings& settings);

    /// \return an idle connection to \p address, the one used last, or a new one
    std::shared_ptr<target_link> take(const std::string& address, instant now);

    /// Keeps a connection whose last response was whole.
    void giveBack(std::shared_ptr<target_link> link);

    /// Closes connections that their targets may close soon. Call about once a second.
    void expire(instant now);

    /// Closes the idle connections to an address whose target is gone.
    void drop(const std::string& address);

    std::size_t idle() const;

    /// \return connections asked for so far
    std::uint64_t opened() const { return m_opened; }

private:
    boost::asio::io_context& m_loop;
    const request_dialect& m_dialect;
    channel_settings m_settings;
    std::map<std::string, std::vector<std::shared_ptr<target_link>>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace oriolepick
