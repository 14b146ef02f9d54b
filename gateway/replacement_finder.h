/// \file
/// Determines which engine uses the address of a replaced engine while the registry is unavailable or out of date.
#pragma once

#include "gateway/timer_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolepick {

class active_config;
class decision_log;
class http_client;
class memory_budget;
class request_dialect;
class target_tracker;
struct http_client_response;
struct target_entry;

/// Engines restart within seconds under a new name at their old address. Without the registry the new name is not
/// reported, and a service would lose one engine after the other although all of them run.
///
/// Only the registry says of which service an engine is: the address may belong to a service that no configuration
/// names yet. So while the registry responds, the entry is waited for.
class replacement_finder {
public:
    /// All references outlive this object.
    /// \param isRegistryUnavailable returns whether the registry does not respond
    replacement_finder(boost::asio::io_context& loop, timer_queue& timers, const request_dialect& dialect,
        const active_config& config, target_tracker& tracker, std::function<bool()> isRegistryUnavailable,
        decision_log& log, memory_budget& memory);
    ~replacement_finder();

    /// Queries the health page at the address of \p replaced for the name of the engine that runs there now. While the
    /// registry responds, waits until it fails or no longer contains \p replaced. Does nothing when the configuration
    /// has more than one service with engines: the address may belong to another service.
    ///
    /// \param startedAt start time that the new engine reported, Unix milliseconds
    void find(const target_entry& replaced, std::uint64_t startedAt);

private:
    void findLater(const target_entry& replaced, std::uint64_t startedAt);
    bool isOnlyEngineService(const target_entry& replaced) const;
    void onResponse(const target_entry& replaced, std::uint64_t startedAt, const http_client_response& response);

    boost::asio::io_context& m_loop;
    memory_budget& m_memory; // of incomplete responses
    timer_queue& m_timers;
    const request_dialect& m_dialect;
    const active_config& m_config;
    target_tracker& m_tracker;
    std::function<bool()> m_isRegistryUnavailable;
    decision_log& m_log;
    std::map<std::string, std::shared_ptr<http_client>> m_calls; // by address
    std::map<std::string, timer_handle> m_waits; // for the registry to fail, by address
};

} // namespace oriolepick
