/// \file
/// Decides when a node reads and writes the record of crashes.
#pragma once

#include "core/instant.h"
#include "routing/crash_record.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace oriolepick {

/// Times of crash_record_keeper.
struct crash_record_settings {
    std::chrono::milliseconds minRetryDelay { 1'000 }; ///< after a failure; doubles with each further one
    std::chrono::milliseconds maxRetryDelay { 8'000 };
    /// Between two writes that change nothing about quarantines: most requests that ran on two crashed targets
    /// complete.
    std::chrono::milliseconds suspicionInterval { 5'000 };
};

/// How a write of the record ended.
enum class record_write_outcome {
    Written,
    Conflict, ///< another node has written the record since it was read; nothing was written
    Unknown, ///< it may have been written, or may still be
};

/// One node keeps the record: the one that reads the store for all, since all nodes learn of what is recorded. It reads
/// the record before it writes, and writes it only where its own crashes differ. A write has the condition that nobody
/// has written since, so a late one has no effect. Not synchronized.
class crash_record_keeper {
public:
    /// What the node does next.
    enum class step { None, Read, Write };

    explicit crash_record_keeper(const crash_record_settings& settings);

    /// \param isKeeper whether this node keeps the record
    /// \param own digest of what this node would record
    /// \return what to do now; the end must be reported before the next step
    step next(bool isKeeper, const crash_record_digest& own, instant now);

    /// Records that the store may have lost the record, or contain an older one.
    void storeRecovered();

    /// \param revision of the record, 0 if there is none; nothing if the store did not respond
    /// \param read digest of what was read
    void readEnded(const std::optional<std::uint64_t>& revision, const crash_record_digest& read, instant now);

    /// \param revision of the record, if it was written
    void writeEnded(record_write_outcome outcome, std::uint64_t revision, instant now);

    /// \return the revision that the record must still have for a write
    std::uint64_t expectedRevision() const { return m_revision.value_or(0); }

private:
    void delay(instant now);

    crash_record_settings m_settings;
    std::optional<std::uint64_t> m_revision; // nothing until the record was read
    crash_record_digest m_recorded; // at that revision
    crash_record_digest m_writing;
    bool m_isBusy = false;
    bool m_isOutdated = false; // the store recovered during the step in progress
    std::optional<instant> m_writtenAt;
    instant m_retryAt;
    std::chrono::milliseconds m_retryDelay;
};

} // namespace oriolepick
