#include "core/crash_ledger.h"

#include "core/stable_hash.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <iterator>
#include <string>

namespace oriolepick {

namespace {

    /// Marks kept for one request; quarantine needs three, the rest absorbs marks of targets that prove faulty.
    constexpr std::size_t MaxMarksPerRequest = 6;
    /// Crashes kept for one target; more do not change the verdict on it.
    constexpr std::size_t MaxCrashesPerTarget = 8;
    /// Part of a full table that one eviction removes, so that its cost is spread over many insertions.
    constexpr std::size_t EvictionDivisor = 16;

    void erase(std::vector<request_fingerprint>& list, request_fingerprint fingerprint)
    {
        const auto found = std::find(list.begin(), list.end(), fingerprint);
        if (found != list.end())
            list.erase(found);
    }

} // namespace

request_fingerprint fingerprintOf(const model_ref& model, std::string_view prompt)
{
    // The separator cannot stand in names, so that two models never share the text before the prompt.
    const auto text = model.model.text() + '\n' + model.version.value() + '\n' + model.adapter.value();
    return stableHash(prompt, stableHash(text));
}

request_fingerprint fingerprintOf(
    std::string_view caller, std::string_view method, std::string_view target, std::string_view body)
{
    const auto head = stableHash(target, stableHash(method, stableHash(caller)));
    return stableHash(body, head);
}

std::uint64_t crashIdOf(const target_id& target, std::uint64_t incarnation)
{
    return stableHash(target.text(), incarnation);
}

crash_ledger::crash_ledger(crash_ledger_settings settings)
    : m_settings(settings)
{
}

void crash_ledger::recordCrash(wall_time now, const crash_event& event)
{
    addTargetCrash(event);
    const auto counted = std::min(event.suspects.size(), m_settings.maxSuspectsPerCrash);
    for (std::size_t index = 0; index < counted; ++index)
        addMark(event.suspects[index], { event.crash, event.target, std::min(event.at, now) });
}

void crash_ledger::merge(
    wall_time now, request_fingerprint fingerprint, const std::vector<crash_mark>& marks, wall_time clearedAt)
{
    auto& found = findOrAddRecord(fingerprint);
    found.clearedAt = std::max(found.clearedAt, std::min(clearedAt, now));
    for (auto mark : marks) {
        mark.at = std::min(mark.at, now);
        addMark(fingerprint, mark);
    }
}

crash_ledger::record& crash_ledger::findOrAddRecord(request_fingerprint fingerprint)
{
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end())
        return found->second;
    if (m_records.size() >= m_settings.maxFingerprints)
        evictRecords();
    return m_records[fingerprint];
}

void crash_ledger::addMark(request_fingerprint fingerprint, const crash_mark& mark)
{
    auto& found = findOrAddRecord(fingerprint);
    const bool known = std::any_of(
        found.marks.begin(), found.marks.end(), [&mark](const crash_mark& each) { return each.crash == mark.crash; });
    if (known || mark.at <= found.clearedAt)
        return;
    unindexRecord(fingerprint, found);
    if (found.marks.size() >= MaxMarksPerRequest)
        found.marks.erase(found.marks.begin());
    found.marks.push_back(mark);
    found.lastChangeAt = std::max(found.lastChangeAt, mark.at);
    indexRecord(fingerprint, found);
}

void crash_ledger::indexRecord(request_fingerprint fingerprint, const record& found)
{
    if (found.marks.size() < m_settings.quarantineAfter)
        return;
    m_quarantineCandidates.insert(fingerprint);
    for (const auto& mark : found.marks)
        m_quarantineCandidatesByCrash[mark.crash].insert(fingerprint);
}

void crash_ledger::unindexRecord(request_fingerprint fingerprint, const record& found)
{
    if (!m_quarantineCandidates.erase(fingerprint))
        return;
    for (const auto& mark : found.marks) {
        const auto suspects = m_quarantineCandidatesByCrash.find(mark.crash);
        suspects->second.erase(fingerprint);
        if (suspects->second.empty())
            m_quarantineCandidatesByCrash.erase(suspects);
    }
}

void crash_ledger::addTargetCrash(const crash_event& event)
{
    if (m_targets.size() >= m_settings.maxTargets && !m_targets.count(event.target))
        evictTargets();
    auto& crashes = m_targets[event.target];
    auto found = std::find_if(
        crashes.begin(), crashes.end(), [&event](const target_crash& each) { return each.crash == event.crash; });
    if (found == crashes.end()) {
        if (crashes.size() >= MaxCrashesPerTarget)
            crashes.erase(crashes.begin());
        found = crashes.insert(crashes.end(), { event.crash, event.at, {} });
    }
    // Each node reports its own requests, so the suspects of one crash arrive in parts.
    for (const auto suspect : event.suspects) {
        const bool known = std::find(found->suspects.begin(), found->suspects.end(), suspect) != found->suspects.end();
        if (!known && found->suspects.size() < m_settings.maxSuspectsPerCrash)
            found->suspects.push_back(suspect);
    }
}

void crash_ledger::recordSuccess(wall_time now, request_fingerprint fingerprint)
{
    if (verdict(now, fingerprint) == crash_verdict::Suspect)
        clear(now, fingerprint);
}

void crash_ledger::clear(wall_time now, request_fingerprint fingerprint)
{
    auto& found = findOrAddRecord(fingerprint);
    found.clearedAt = now;
    found.lastChangeAt = now;
    unindexRecord(fingerprint, found);
    found.marks.erase(std::remove_if(found.marks.begin(), found.marks.end(),
                          [now](const crash_mark& mark) { return mark.at <= now; }),
        found.marks.end());
    indexRecord(fingerprint, found);
}

void crash_ledger::attemptStarted(request_fingerprint fingerprint, const target_id& target)
{
    m_running[target].push_back(fingerprint);
}

void crash_ledger::attemptEnded(request_fingerprint fingerprint, const target_id& target)
{
    const auto found = m_running.find(target);
    if (found == m_running.end())
        return;
    erase(found->second, fingerprint);
    if (found->second.empty())
        m_running.erase(found);
}

void crash_ledger::expire(wall_time now)
{
    for (auto each = m_records.begin(); each != m_records.end();) {
        if (expired(now, each->first, each->second)) {
            unindexRecord(each->first, each->second);
            m_records.erase(each++);
        } else {
            ++each;
        }
    }
    for (auto each = m_targets.begin(); each != m_targets.end();) {
        auto& crashes = each->second;
        // Kept as long as a mark may refer to them: the target's faults decide whether the mark counts.
        crashes.erase(
            std::remove_if(crashes.begin(), crashes.end(),
                [this, now](const target_crash& crash) { return now - crash.at > m_settings.quarantineLifetime; }),
            crashes.end());
        each = crashes.empty() ? m_targets.erase(each) : std::next(each);
    }
}

bool crash_ledger::expired(wall_time now, request_fingerprint fingerprint, const record& found) const
{
    const bool quarantined = countedMarks(now, fingerprint, found) >= m_settings.quarantineAfter;
    return now - found.lastChangeAt > (quarantined ? m_settings.quarantineLifetime : m_settings.suspicionLifetime);
}

bool crash_ledger::isCounted(wall_time now, const record& found, const crash_mark& mark) const
{
    return mark.at > found.clearedAt && !isFaulty(now, mark.target);
}

// A request that merely ran beside one that crashes targets has marks too: they are explained by the other one once
// that has crashed enough targets.
std::size_t crash_ledger::countedMarks(wall_time now, request_fingerprint fingerprint, const record& found) const
{
    const auto counted = std::count_if(
        found.marks.begin(), found.marks.end(), [&](const crash_mark& mark) { return isCounted(now, found, mark); });
    if (m_settings.countMarksWithEarlierSuspect || static_cast<std::size_t>(counted) < m_settings.quarantineAfter)
        return static_cast<std::size_t>(counted);
    return static_cast<std::size_t>(std::count_if(found.marks.begin(), found.marks.end(), [&](const crash_mark& mark) {
        return isCounted(now, found, mark) && !hasEarlierSuspect(fingerprint, found, mark.crash);
    }));
}

const crash_mark& crash_ledger::decidingMark(const record& found) const
{
    auto marks = found.marks; // a few
    const auto deciding = marks.begin() + static_cast<std::ptrdiff_t>(m_settings.quarantineAfter - 1);
    std::nth_element(marks.begin(), deciding, marks.end(),
        [](const crash_mark& left, const crash_mark& right) { return left.at < right.at; });
    return *std::find_if(
        found.marks.begin(), found.marks.end(), [&](const crash_mark& mark) { return mark.crash == deciding->crash; });
}

bool crash_ledger::hasEarlierSuspect(request_fingerprint fingerprint, const record& found, std::uint64_t crash) const
{
    const auto suspects = m_quarantineCandidatesByCrash.find(crash);
    if (suspects == m_quarantineCandidatesByCrash.end())
        return false;
    const auto& own = decidingMark(found);
    return std::any_of(suspects->second.begin(), suspects->second.end(), [&](request_fingerprint other) {
        // Two that became suspicious by the same crash cannot be told apart.
        const auto& deciding = decidingMark(m_records.at(other));
        return other != fingerprint && deciding.crash != own.crash && deciding.at < own.at;
    });
}

crash_verdict crash_ledger::verdict(wall_time now, request_fingerprint fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || expired(now, fingerprint, found->second))
        return crash_verdict::Clear;
    const auto count = countedMarks(now, fingerprint, found->second);
    if (count >= m_settings.quarantineAfter)
        return crash_verdict::Quarantined;
    if (count >= m_settings.isolateAfter)
        return crash_verdict::Isolated;
    return count ? crash_verdict::Suspect : crash_verdict::Clear;
}

avoided_targets crash_ledger::targetsToAvoid(wall_time now, request_fingerprint fingerprint) const
{
    avoided_targets avoided;
    for (const auto& mark : marks(now, fingerprint))
        avoided.forbidden.push_back(mark.target);
    for (const auto& [target, crashes] : m_targets) {
        if (crashes.size() >= m_settings.faultyAfter && isFaulty(now, target))
            avoided.forbidden.push_back(target);
    }
    const auto own = verdict(now, fingerprint);
    const auto threshold = own == crash_verdict::Clear ? crash_verdict::Isolated : crash_verdict::Suspect;
    for (const auto& [target, running] : m_running) {
        const bool runsConflicting = std::any_of(running.begin(), running.end(),
            [&](request_fingerprint other) { return other != fingerprint && verdict(now, other) >= threshold; });
        if (runsConflicting)
            avoided.discouraged.push_back(target);
    }
    std::sort(avoided.forbidden.begin(), avoided.forbidden.end());
    avoided.forbidden.erase(std::unique(avoided.forbidden.begin(), avoided.forbidden.end()), avoided.forbidden.end());
    return avoided;
}

bool crash_ledger::isFaulty(wall_time now, const target_id& target) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.size() < m_settings.faultyAfter)
        return false;
    // Any run of crashes within one window decides: a target stays faulty while its marks may count.
    const auto& crashes = found->second;
    absl::flat_hash_set<request_fingerprint> seen;
    std::size_t disjoint = 0;
    wall_time first;
    for (const auto& crash : crashes) {
        if (attributedToSuspect(crash, target))
            continue;
        const bool repeated = std::any_of(crash.suspects.begin(), crash.suspects.end(),
            [&seen](request_fingerprint suspect) { return seen.contains(suspect); });
        if (!disjoint || repeated || crash.at - first > m_settings.faultyWindow) {
            seen.clear();
            disjoint = 0;
            first = crash.at;
        }
        seen.insert(crash.suspects.begin(), crash.suspects.end());
        if (++disjoint >= m_settings.faultyAfter && now - crash.at <= m_settings.quarantineLifetime)
            return true;
    }
    return false;
}

bool crash_ledger::attributedToSuspect(const target_crash& crash, const target_id& target) const
{
    // A suspect that also crashed another target is the better explanation. Without this, a few crashing requests on a
    // small fleet make healthy targets look faulty, and their crashes no longer count against the requests.
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), [this, &target](request_fingerprint suspect) {
        const auto found = m_records.find(suspect);
        return found != m_records.end()
            && std::any_of(found->second.marks.begin(), found->second.marks.end(),
                [&target](const crash_mark& mark) { return mark.target != target; });
    });
}

std::vector<crash_mark> crash_ledger::marks(wall_time now, request_fingerprint fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || expired(now, fingerprint, found->second))
        return {};
    std::vector<crash_mark> counted;
    for (const auto& mark : found->second.marks) {
        if (isCounted(now, found->second, mark))
            counted.push_back(mark);
    }
    return counted;
}

wall_time crash_ledger::clearedAt(request_fingerprint fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? wall_time {} : found->second.clearedAt;
}

std::vector<request_fingerprint> crash_ledger::quarantinedRequests(wall_time now) const
{
    std::vector<request_fingerprint> requests;
    std::copy_if(m_quarantineCandidates.begin(), m_quarantineCandidates.end(), std::back_inserter(requests),
        [this, now](auto each) { return verdict(now, each) == crash_verdict::Quarantined; });
    return requests;
}

void crash_ledger::evictRecords()
{
    // Quarantined and isolated requests go last: losing one costs targets, losing a suspect costs a second look.
    std::vector<std::pair<std::pair<std::size_t, wall_time>, request_fingerprint>> order;
    order.reserve(m_records.size());
    for (const auto& [fingerprint, found] : m_records)
        order.push_back({ { found.marks.size(), found.lastChangeAt }, fingerprint });
    const auto removed = std::max<std::size_t>(order.size() / EvictionDivisor, 1);
    std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(removed - 1), order.end());
    for (std::size_t index = 0; index < removed; ++index) {
        const auto found = m_records.find(order[index].second);
        unindexRecord(found->first, found->second);
        m_records.erase(found);
    }
    m_evicted += removed;
}

void crash_ledger::evictTargets()
{
    const auto oldest = std::min_element(m_targets.begin(), m_targets.end(),
        [](const auto& left, const auto& right) { return left.second.back().at < right.second.back().at; });
    m_targets.erase(oldest);
}

} // namespace oriolepick
