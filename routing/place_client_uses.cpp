/// \file
/// Uses of place_client and their reports. Requests are in place_client.cpp.
#include "routing/place_client.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    std::chrono::milliseconds age(instant then, instant now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
    }

} // namespace

void place_client::addUse(std::uint64_t number, const place_shard& shard, const target_name& target,
    std::uint64_t promptTokens, bool isCopy, instant now)
{
    const auto hash = hashOf(target);
    m_uses.insert_or_assign(
        number, use_record { shard, target, hash, promptTokens, isCopy ? promptTokens : 0, isCopy, isCopy, now });
    auto& record = m_shards[shard];
    record.targets[hash].usedAt = now;
    ++record.inFlight;
    // The report confirms a grant, which would expire otherwise; the end or the next request usually comes before.
    scheduleReport(shard, hasEngines(shard) ? m_settings.repeatInterval : m_settings.plainRefreshInterval, now);
}

std::uint64_t place_client::begin(
    const service_name& service, const target_name& target, std::uint64_t promptTokens, bool isCopy, instant now)
{
    const auto number = ++m_lastNumber;
    if (const auto shard = m_directory.shardOf(service, target)) {
        addUse(number, *shard, target, promptTokens, isCopy, now);
        scheduleReport(*shard, m_settings.reportInterval, now); // the allocator does not know of it
    }
    return number;
}

void place_client::recordPromptRead(std::uint64_t number, instant now)
{
    const auto found = m_uses.find(number);
    if (found == m_uses.end() || found->second.isRead)
        return;
    found->second.isRead = true;
    found->second.heldTokens = std::max(found->second.heldTokens, found->second.promptTokens);
    scheduleReport(found->second.shard, std::chrono::milliseconds(0), now); // the engine can read the next prompt
}

void place_client::recordTokens(std::uint64_t number, std::uint64_t heldTokens)
{
    const auto found = m_uses.find(number);
    if (found != m_uses.end())
        found->second.heldTokens = heldTokens;
}

place_client::actions place_client::end(std::uint64_t number, place_end how, instant now)
{
    actions out;
    const auto found = m_uses.find(number);
    if (found == m_uses.end())
        return out;
    const auto use = std::move(found->second);
    m_uses.erase(found);
    auto& record = m_shards[use.shard];
    --record.inFlight;
    auto& target = record.targets[use.target];
    target.usedAt = now;
    if (how == place_end::Refused) {
        target.refusedAt = now;
    } else if (how == place_end::Failed) {
        target.faultAt = now;
    } else if (!use.isCopy) {
        target.faultAt.reset();
        ++target.use.completed;
        target.use.busy += age(use.startedAt, now);
    }
    scheduleReport(use.shard, std::chrono::milliseconds(0), now);
    if (record.reportDue && now >= *record.reportDue)
        sendReport(out, use.shard, record, now);
    return out;
}

bool place_client::hasEngines(const place_shard& shard) const
{
    const auto* service = m_directory.find(shard.service);
    return service && service->engines;
}

void place_client::scheduleReport(const place_shard& shard, std::chrono::milliseconds within, instant now)
{
    auto& record = m_shards[shard];
    const auto earliest = std::max(
        now, record.reportedAt + (hasEngines(shard) ? m_settings.reportInterval : m_settings.plainReportInterval));
    record.reportDue = std::min(record.reportDue.value_or(instant::max()), std::max(earliest, now + within));
}

place_report place_client::makeReport(const place_shard& shard, shard_record& record, instant now)
{
    place_report report { m_startedAt, ++m_sequence, m_lastNumber, {}, {} };
    for (const auto& [number, pending] : m_pending) {
        if (pending.shard == shard)
            report.open.push_back(number);
    }
    std::map<target_hash, target_use> uses;
    for (auto entry = record.targets.begin(); entry != record.targets.end();) {
        auto& target = entry->second;
        if (now - target.usedAt > m_settings.useRetention) {
            entry = record.targets.erase(entry);
            continue;
        }
        auto& use = uses.emplace(entry->first, target.use).first->second;
        use.target = entry->first;
        if (target.refusedAt && now - *target.refusedAt <= m_settings.troubleRetention)
            use.refusedAgo = age(*target.refusedAt, now);
        if (target.faultAt && now - *target.faultAt <= m_settings.troubleRetention)
            use.faultAgo = age(*target.faultAt, now);
        ++entry;
    }
    for (const auto& [number, use] : m_uses) {
        if (!(use.shard == shard))
            continue;
        auto& sum = uses[use.target];
        sum.target = use.target;
        sum.inFlight += !use.isCopy;
        sum.unreadTokens += use.isRead ? 0 : use.promptTokens;
        sum.heldTokens += use.isRead ? use.heldTokens : 0;
    }
    for (auto& [hash, use] : uses)
        report.uses.push_back(use);
    record.reportedTo = m_directory.allocatorOf(shard);
    record.reportedAt = now;
    const bool isChange = record.reportDue != record.repeatDue;
    record.isRepeated = !isChange;
    record.reportDue.reset();
    if (record.inFlight || (isChange && hasEngines(shard)))
        record.reportDue = now + nextReportWithin(shard, record);
    record.repeatDue = record.reportDue;
    return report;
}

std::chrono::milliseconds place_client::nextReportWithin(const place_shard& shard, const shard_record& record) const
{
    if (!hasEngines(shard))
        return m_settings.plainRefreshInterval;
    return record.isRepeated ? m_settings.refreshInterval : m_settings.repeatInterval;
}

void place_client::sendReport(actions& out, const place_shard& shard, shard_record& record, instant now)
{
    auto report = makeReport(shard, record, now);
    out.emplace_back(send_place_message { record.reportedTo, place_state { shard, std::move(report) } });
}

void place_client::sendDueReports(actions& out, instant now)
{
    for (auto entry = m_shards.begin(); entry != m_shards.end();) {
        auto& record = entry->second;
        if (record.reportDue && now >= *record.reportDue)
            sendReport(out, entry->first, record, now);
        const bool isUnused = !record.inFlight && !record.reportDue && !record.renewDue
            && now - record.reportedAt > m_settings.useRetention;
        entry = isUnused ? m_shards.erase(entry) : std::next(entry);
    }
}

void place_client::followDirectory(instant now)
{
    if (m_seenRevision == m_directory.revision())
        return;
    m_seenRevision = m_directory.revision();
    for (auto& [number, use] : m_uses) {
        const auto shard = m_directory.shardOf(use.shard.service, use.name);
        if (!shard || *shard == use.shard)
            continue;
        auto& former = m_shards[use.shard];
        --former.inFlight;
        scheduleReport(use.shard, m_settings.reportInterval, now);
        use.shard = *shard;
        auto& record = m_shards[*shard];
        ++record.inFlight;
        record.targets[use.target].usedAt = now;
        scheduleReport(*shard, std::chrono::milliseconds(0), now);
    }
    // A new allocator learns what is in flight at once.
    for (auto& [shard, record] : m_shards) {
        if (record.inFlight && record.reportedTo != m_directory.allocatorOf(shard))
            record.reportDue = now;
    }
}

} // namespace oriolepick
