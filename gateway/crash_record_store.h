/// \file
/// Interface by which a gateway keeps the record of crashes in the platform's store.
#pragma once

#include "routing/crash_record.h"
#include "routing/crash_record_keeper.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace oriolepick {

/// Result of reading the record.
struct crash_record_reading {
    bool isRead = false; ///< the store responded
    std::uint64_t revision = 0; ///< of the record, 0 if it does not exist
    std::optional<crash_record> record; ///< nothing if it does not exist or cannot be decoded
    std::chrono::milliseconds storeNow { 0 }; ///< clock of the store
    std::string problem; ///< description of a failure, for the log
};

/// Result of writing the record.
struct crash_record_writing {
    record_write_outcome outcome = record_write_outcome::Unknown;
    std::uint64_t revision = 0; ///< of the record, if it was written
    std::chrono::milliseconds storeNow { 0 }; ///< clock of the store, if it was written
    std::string problem; ///< description of a failure, for the log
};

/// Reads and writes the record without blocking.
class crash_record_store {
public:
    virtual ~crash_record_store() = default;

    virtual void read(std::function<void(const crash_record_reading&)> done) = 0;

    /// Writes the record if it still has \p expectedRevision, 0 for none.
    virtual void write(const crash_record& record, std::uint64_t expectedRevision,
        std::function<void(const crash_record_writing&)> done)
        = 0;
};

} // namespace oriolepick
