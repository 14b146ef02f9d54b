/// \file
/// Where the memory of other nodes' runs is copied, for callers that go on with their streams at another node.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "routing/request_hash.h"
#include "routing/routing_names.h"
#include "routing/run_copy.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace oriolepick {

/// One run as its node reports it.
struct run_record {
    request_hash requestHash;
    node_id origin; ///< the node that forwards the run
    std::string attempt; ///< of the caller at that node
    target_name holder; ///< keeps the copy
    run_copy copy;
    bool resumed = false; ///< the caller had a part of the stream before this run
};

/// Bounds of run_directory.
struct run_directory_settings {
    /// A stream is reported anew when its copy changes; copies that are older are gone from their holders.
    std::chrono::milliseconds lifetime { 60'000 };
    std::size_t capacity = 8'192; ///< about 300 bytes each; the oldest goes first
};

/// The records that this node keeps for others. Not synchronized.
class run_directory {
public:
    explicit run_directory(run_directory_settings settings);

    /// Adds or replaces a record. Two runs of equal requests at the same time cannot be told apart when a caller
    /// returns, so neither is found.
    void put(const run_record& record, instant now);

    /// \return the newest record of \p print, if it is the only run of it
    std::optional<run_record> find(const request_hash& requestHash, instant now) const;

    std::size_t size() const { return m_records.size(); }

private:
    struct entry {
        run_record record;
        instant at;
        bool ambiguous = false;
    };

    void evictOld(instant now);

    run_directory_settings m_settings;
    std::map<request_hash, entry> m_records;
    std::deque<std::pair<instant, request_hash>> m_order; // of the puts, the oldest first
};

} // namespace oriolepick
