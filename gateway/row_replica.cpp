#include "gateway/row_replica.h"

#include <algorithm>

namespace oriolepick {

void row_replica::restart(std::uint64_t revision, instant asOf)
{
    m_batches.clear();
    m_firstRevision = revision;
    m_revision = revision;
    m_asOf = asOf;
    m_known = true;
}

void row_replica::add(const row_answer& answer, instant asOf)
{
    m_asOf = std::max(m_asOf, asOf);
    if (answer.revision <= m_revision)
        return;
    m_revision = answer.revision;
    if (answer.rows.empty())
        return;
    m_batches.push_back({ answer.revision, answer.rows });
    if (m_batches.size() > MaxBatches) {
        m_firstRevision = m_batches.front().revision;
        m_batches.pop_front();
    }
}

row_answer row_replica::changesAfter(std::uint64_t revision, std::chrono::milliseconds maxAge, instant now) const
{
    row_answer answer;
    answer.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_asOf);
    if (!m_known || answer.age > maxAge)
        return answer;
    if (revision < m_firstRevision) {
        answer.status = row_status::HistoryLost;
        return answer;
    }
    for (const auto& batch : m_batches) {
        if (batch.revision > revision)
            answer.rows.insert(answer.rows.end(), batch.rows.begin(), batch.rows.end());
    }
    answer.status = row_status::Done;
    answer.revision = std::max(revision, m_revision);
    return answer;
}

} // namespace oriolepick
