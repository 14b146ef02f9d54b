/// \file
/// A bounded set of the most recent requests.
#pragma once

#include "core/crash_ledger.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <vector>

namespace oriolepick {

/// Evicts the oldest request when the set is full. Not synchronized.
class recent_requests {
public:
    /// \param capacity maximum number of requests
    explicit recent_requests(std::size_t capacity);

    void add(request_fingerprint request);

    /// Removes \p request.
    /// \return whether the set contained \p request
    bool take(request_fingerprint request) { return m_members.erase(request) != 0; }

private:
    std::size_t m_capacity;
    std::size_t m_nextSlot = 0; // slot to overwrite next
    std::vector<request_fingerprint> m_ring;
    absl::flat_hash_set<request_fingerprint> m_members;
};

} // namespace oriolepick
