/// \file
/// What one node has read of a table lately, for other nodes that read it here instead of in the store.
#pragma once

#include "core/instant.h"
#include "gateway/row_source.h"

#include <cstdint>
#include <deque>

namespace oriolepick {

/// The last changes of one table; nodes that need older ones read the store.
class row_replica {
public:
    /// The whole table was read: earlier changes are no longer known.
    void restart(std::uint64_t revision, instant asOf);

    /// Changes up to \p answer.revision were read.
    /// \param asOf when the store said so
    void add(const row_answer& answer, instant asOf);

    /// \param maxAge oldest knowledge that may be handed on
    /// \return the changes after \p revision; HistoryLost when they are not known here, Unavailable when too old
    row_answer changesAfter(std::uint64_t revision, std::chrono::milliseconds maxAge, instant now) const;

private:
    struct batch {
        std::uint64_t revision;
        std::vector<stored_row> rows;
    };

    static constexpr std::size_t MaxBatches = 128; ///< two minutes of one reading a second

    std::deque<batch> m_batches;
    std::uint64_t m_firstRevision = 0; // changes after it are known
    std::uint64_t m_revision = 0;
    instant m_asOf;
    bool m_known = false;
};

} // namespace oriolepick
