/// \file
/// Encodes changes of a table once for all nodes that pull them.
#pragma once

#include "gateway/gateway_message_codec.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace oriolepick {

class table_replica;

/// Keeps the changes of one table that were encoded last.
class packed_changes {
public:
    /// \param replica the same table in all calls
    /// \param rows the rows of an answer of table_replica::changesAfter(), which is not the whole table
    /// \return the encoded \p rows; valid until the next call
    const packed_rows& pack(const table_replica& replica, const std::vector<stored_row>& rows);

    /// Keeps the encoded rows of another node, if this node answers \p after with the same rows.
    /// \param replica the table after \p rows were merged
    /// \param after revision after which \p rows were pulled
    /// \param packed \p rows as they were received
    void adopt(const table_replica& replica, const content_revision& after, const std::vector<stored_row>& rows,
        packed_rows packed);

    /// \return how often rows were encoded
    std::uint64_t packings() const { return m_packings; }

private:
    bool isCurrent(const table_replica& replica, std::size_t rows) const;

    std::optional<packed_rows> m_packed;
    std::uint64_t m_updates = 0; // of the replica
    std::size_t m_rows = 0;
    std::uint64_t m_packings = 0;
};

} // namespace oriolepick
