/// \file
/// A bounded memory of requests, the newest of them.
#pragma once

#include "core/crash_ledger.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <vector>

namespace oriolepick {

/// Not synchronized.
class recent_requests {
public:
    /// \param capacity requests that are remembered
    explicit recent_requests(std::size_t capacity);

    void add(request_fingerprint request);

    /// Forgets \p request.
    /// \return whether it was remembered
    bool take(request_fingerprint request) { return m_members.erase(request) != 0; }

private:
    std::size_t m_capacity;
    std::size_t m_nextSlot = 0; // the place that is used again next
    std::vector<request_fingerprint> m_ring;
    absl::flat_hash_set<request_fingerprint> m_members;
};

} // namespace oriolepick
