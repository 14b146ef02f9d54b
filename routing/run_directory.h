/// \file
/// Locations of the memory copies of runs at other nodes, for callers that resume their streams at this node.
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

/// A run as reported by its node. The type name matches wire/messages.proto.
struct run_record {
    request_hash requestHash;
    node_id origin; ///< the node that forwards the stream of the run
    std::string attempt; ///< identifier of the attempt at that node
    target_name holder; ///< the target that holds the copy
    run_copy copy;
    bool resumed = false; ///< the caller had received a part of the stream before this run
};

/// Limits of run_directory.
struct run_directory_settings {
    /// A stream is reported again when its copy changes; the holders no longer have older copies.
    std::chrono::milliseconds lifetime { 60'000 };
    std::size_t capacity = 8'192; ///< maximum number of records of about 300 bytes; the oldest is evicted first
};

/// The records that this node keeps for other nodes. Not synchronized.
class run_directory {
public:
    explicit run_directory(run_directory_settings settings);

    /// Adds or replaces a record. Two concurrent runs of equal requests are indistinguishable when a caller returns,
    /// so neither is found.
    void put(const run_record& record, instant now);

    /// \return the newest record of \p requestHash, if only one run has this hash
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
    std::deque<std::pair<instant, request_hash>> m_order; // one entry for each put(), oldest first
};

} // namespace oriolepick
