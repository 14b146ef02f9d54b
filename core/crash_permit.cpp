#include "core/crash_permit.h"

#include <absl/strings/str_format.h>

#include <utility>

namespace oriolepick {

std::string crashRowKey(request_fingerprint fingerprint)
{
    return absl::StrFormat("crash/%016x", fingerprint);
}

crash_permit::crash_permit(crash_permit_settings settings, crash_ledger& ledger, const crash_row_codec& codec,
    request_fingerprint fingerprint, std::string holder)
    : m_settings(settings)
    , m_ledger(ledger)
    , m_codec(codec)
    , m_fingerprint(fingerprint)
    , m_holder(std::move(holder))
{
}

permit_action crash_permit::acquire()
{
    m_releasing = false;
    m_conflicts = 0;
    return read_crash_row {};
}

permit_action crash_permit::release(bool succeeded)
{
    m_releasing = true;
    m_succeeded = succeeded;
    m_conflicts = 0;
    return read_crash_row {};
}

permit_action crash_permit::rowRead(wall_time now, const result<std::optional<table_row>>& outcome)
{
    if (!outcome)
        return ended(permit_ended::end::Unavailable);
    crash_row stored;
    m_version.reset();
    if (outcome.value()) {
        m_version = outcome.value()->version;
        auto decoded = m_codec.decode(outcome.value()->value);
        // A damaged row may hide a quarantine, so nothing runs on its strength.
        if (!decoded)
            return ended(permit_ended::end::Unavailable);
        stored = std::move(decoded.value());
    }
    m_ledger.merge(now, m_fingerprint, stored.marks, stored.clearedAt);
    addMarkForLostPermit(now, stored);
    return decide(now, stored);
}

void crash_permit::addMarkForLostPermit(wall_time now, const crash_row& stored)
{
    if (stored.holder.empty() || stored.holder == m_holder || stored.heldUntil > now)
        return;
    const target_id unknown(fleet_name("lost-permit"), stored.holder);
    m_ledger.merge(now, m_fingerprint, { { crashIdOf(unknown, 0), unknown, stored.heldUntil } }, stored.clearedAt);
}

permit_action crash_permit::decide(wall_time now, const crash_row& stored)
{
    crash_row next;
    m_recordsCrashesOnly = false;
    if (m_releasing) {
        if (m_succeeded)
            m_ledger.clear(now, m_fingerprint);
        if (stored.holder != m_holder && stored.heldUntil > now) {
            next.holder = stored.holder;
            next.heldUntil = stored.heldUntil;
        }
        return write(now, next);
    }
    const bool quarantined = m_ledger.verdict(now, m_fingerprint) == crash_verdict::Quarantined;
    const bool heldByOther = !stored.holder.empty() && stored.holder != m_holder && stored.heldUntil > now;
    if (stored.holder == m_holder && stored.heldUntil > now && !quarantined) {
        m_heldUntil = stored.heldUntil; // the response to the write was lost
        return ended(permit_ended::end::Granted);
    }
    if (quarantined || heldByOther) {
        const bool recorded = stored.marks.size() >= m_ledger.marks(now, m_fingerprint).size();
        const auto how = quarantined ? permit_ended::end::Quarantined : permit_ended::end::Busy;
        if (recorded)
            return ended(how);
        // The crashes that only this node knows complete the count for every other node.
        m_recordsCrashesOnly = true;
        if (heldByOther) {
            next.holder = stored.holder;
            next.heldUntil = stored.heldUntil;
        }
        return write(now, next);
    }
    next.holder = m_holder;
    next.heldUntil = now + m_settings.lifetime;
    m_heldUntil = next.heldUntil;
    return write(now, next);
}

permit_action crash_permit::write(wall_time now, const crash_row& row)
{
    crash_row complete = row;
    complete.marks = m_ledger.marks(now, m_fingerprint);
    complete.clearedAt = m_ledger.clearedAt(m_fingerprint);
    const auto key = crashRowKey(m_fingerprint);
    return write_crash_row { { { { key, m_version } }, { { key, m_codec.encode(complete) } } } };
}

permit_action crash_permit::rowWritten(wall_time now, const result<table_outcome>& outcome)
{
    if (!outcome && outcome.error().kind == error_kind::PlatformUnavailable)
        return ended(permit_ended::end::Unavailable);
    if (!outcome || !outcome.value().committed) {
        if (++m_conflicts > m_settings.maxConflicts)
            return ended(outcome ? permit_ended::end::Busy : permit_ended::end::Unavailable);
        return read_crash_row {};
    }
    if (m_releasing)
        return ended(permit_ended::end::Released);
    if (m_recordsCrashesOnly) {
        const bool quarantined = m_ledger.verdict(now, m_fingerprint) == crash_verdict::Quarantined;
        return ended(quarantined ? permit_ended::end::Quarantined : permit_ended::end::Busy);
    }
    return ended(permit_ended::end::Granted);
}

} // namespace oriolepick
