#include "routing/crash_record_keeper.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

crash_record_keeper::crash_record_keeper(const crash_record_settings& settings)
    : m_settings(settings)
    , m_retryDelay(settings.minRetryDelay)
{
}

crash_record_keeper::step crash_record_keeper::next(bool isKeeper, const crash_record_digest& own, instant now)
{
    if (m_isBusy)
        return step::None;
    if (!isKeeper) {
        m_revision.reset(); // the next keeper may write
        return step::None;
    }
    if (now < m_retryAt)
        return step::None;
    if (!m_revision) {
        m_isBusy = true;
        return step::Read;
    }
    const bool isUrgent = own.quarantined != m_recorded.quarantined;
    const bool isDue = isUrgent || !m_writtenAt || now >= *m_writtenAt + m_settings.suspicionInterval;
    if (own == m_recorded || !isDue)
        return step::None;
    m_isBusy = true;
    m_writing = own;
    return step::Write;
}

void crash_record_keeper::storeRecovered()
{
    m_revision.reset();
    m_isOutdated = m_isBusy;
}

void crash_record_keeper::readEnded(
    const std::optional<std::uint64_t>& revision, const crash_record_digest& read, instant now)
{
    m_isBusy = false;
    m_revision = std::exchange(m_isOutdated, false) ? std::nullopt : revision;
    m_recorded = read;
    if (revision)
        m_retryDelay = m_settings.minRetryDelay;
    else
        delay(now);
}

void crash_record_keeper::writeEnded(record_write_outcome outcome, std::uint64_t revision, instant now)
{
    m_isBusy = false;
    const bool isWritten = outcome == record_write_outcome::Written;
    m_revision = std::exchange(m_isOutdated, false) || !isWritten ? std::nullopt : std::make_optional(revision);
    if (isWritten) {
        m_recorded = m_writing;
        m_writtenAt = now;
        m_retryDelay = m_settings.minRetryDelay;
    } else if (outcome == record_write_outcome::Unknown) {
        delay(now);
    }
}

void crash_record_keeper::delay(instant now)
{
    m_retryAt = now + m_retryDelay;
    m_retryDelay = std::min(2 * m_retryDelay, m_settings.maxRetryDelay);
}

} // namespace oriolepick
