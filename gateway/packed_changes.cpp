#include "gateway/packed_changes.h"

#include "gateway/table_replica.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

// Between two updates of the table, the changes after an earlier revision include those after a later one. So answers
// with the same number of rows have the same rows.
bool packed_changes::isCurrent(const table_replica& replica, std::size_t rows) const
{
    return m_packed && m_updates == replica.updates() && m_rows == rows;
}

const packed_rows& packed_changes::pack(const table_replica& replica, const std::vector<stored_row>& rows)
{
    if (!isCurrent(replica, rows.size())) {
        m_packed = packRows(rows);
        m_updates = replica.updates();
        m_rows = rows.size();
        ++m_packings;
    }
    return *m_packed;
}

void packed_changes::adopt(const table_replica& replica, const content_revision& after,
    const std::vector<stored_row>& rows, packed_rows packed)
{
    const auto isEqual = [](const stored_row& left, const stored_row& right) {
        return left.removed == right.removed && left.key == right.key && left.value == right.value;
    };
    const auto answer = replica.changesAfter(after);
    if (answer.whole || !std::equal(rows.begin(), rows.end(), answer.rows.begin(), answer.rows.end(), isEqual))
        return;
    m_packed = std::move(packed);
    m_updates = replica.updates();
    m_rows = rows.size();
}

} // namespace oriolepick
