/// \file
/// Request limits of targets on this node, usable by all threads; a target is identified by its address.
#pragma once

#include "core/seeded_random.h"
#include "core/target_limiter.h"
#include "targets/service_client.h"

#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class control_loop;
class node_metrics;
class peer_hub;

/// Drives target_limiter between the threads that call targets and the messages of other nodes on the control loop.
class target_limits {
public:
    /// All references outlive this object.
    target_limits(peer_hub& peers, control_loop& loop, node_metrics& metrics);

    /// Requests a permit for one request to the target at \p address. Blocks for a round trip to the owner of the
    /// limit, if the target has one. Must not be called on the control loop. \return whether the request may be sent
    /// now
    bool acquire(const std::string& address);

    /// Records the header field Request-Limit of a response from \p address, or its absence.
    void recordResponse(const std::string& address, const header_list& headers);

    /// \return whether requests to \p address need a permit
    bool isLimited(const std::string& address) const;

    /// Records that a caller was refused because the limits of the targets at \p addresses are used up.
    /// \return when the caller may return, or nothing if none of them has denied a permit
    std::optional<std::chrono::milliseconds> retryAfterRefusal(const std::vector<std::string>& addresses);

    /// Sets the membership view; on the control loop.
    /// \param usable the nodes that are alive or suspected
    /// \param knownNodes number of nodes that may be serving requests
    void setNodes(const std::vector<node_id>& usable, std::size_t knownNodes, instant now);

    /// Announces the planned stop; on the control loop.
    void leave(instant now);

private:
    void perform(const target_limiter::actions& actions);
    void count(const char* event);

    peer_hub& m_peers;
    control_loop& m_loop;
    node_metrics& m_metrics;
    mutable std::mutex m_mutex;
    target_limiter m_limiter;
    seeded_random m_random;
    std::map<std::uint64_t, std::promise<bool>> m_pending; // by number of the permit
};

} // namespace oriolepick
