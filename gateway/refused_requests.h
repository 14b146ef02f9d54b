/// \file
/// Requests that the allocator of this node has refused, so that their callers are recognized when they return.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace oriolepick {

/// Callers return to any node, but all nodes ask the same allocator. Not synchronized.
class refused_requests {
public:
    /// Records a question for a place.
    /// \param number of the question at the node \p from
    /// \param request hash of the request, 0 if unknown
    void recordAsked(const node_id& from, std::uint64_t number, std::uint64_t request, instant now);

    /// Records that the question was answered with a refusal.
    void recordRefused(const node_id& to, std::uint64_t number, instant now);

    /// \return the time since the first refusal of \p request, 0 if none is remembered
    std::chrono::milliseconds waited(std::uint64_t request, instant now) const;

private:
    using question = std::pair<node_id, std::uint64_t>;
    struct refusal {
        instant first;
        instant last;
    };

    void expire(instant now);

    std::map<question, std::uint64_t> m_asked; // hash of the request
    std::deque<std::pair<instant, question>> m_askedOrder;
    std::map<std::uint64_t, refusal> m_refusals; // by hash of the request
    std::deque<std::pair<instant, std::uint64_t>> m_refusalOrder; // by the time of the last refusal
};

} // namespace oriolepick
