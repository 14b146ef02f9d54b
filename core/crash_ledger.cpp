#include "core/crash_ledger.h"

#include "core/stable_hash.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <string>

namespace oriolepick {

namespace {

    /// Quarantine needs three marks; the others leave room for marks of targets that turn out to be faulty.
    constexpr std::size_t MaxMarksPerRequest = 6;
    /// More are needed only for parts that are too common to be blamed.
    constexpr std::size_t MaxMarksPerPart = 12;
    constexpr std::size_t MaxSharesPerPart = 16;
    /// A node knows its own requests on a crashed target only; other nodes have some there too.
    constexpr std::uint32_t MinConcurrentRequests = 4;
    /// Weight of the assumption that a part without sound runs occurs now and then.
    constexpr double UnseenRuns = 0.5;
    /// Quarantines end after hours, so the set of quarantined requests may be this old if no record has changed.
    constexpr std::chrono::seconds MaxEvaluationAge { 1 };
    /// More crashes do not change whether a target is faulty.
    constexpr std::size_t MaxCrashesPerTarget = 8;
    /// An eviction removes one record in this many, so that its cost is amortized over many insertions.
    constexpr std::size_t EvictionDivisor = 16;

    bool isPartRecord(const std::vector<crash_mark>& marks)
    {
        return std::any_of(marks.begin(), marks.end(), [](const crash_mark& mark) { return mark.request; });
    }

    void erase(std::vector<request_fingerprint>& list, request_fingerprint fingerprint)
    {
        const auto found = std::find(list.begin(), list.end(), fingerprint);
        if (found != list.end())
            list.erase(found);
    }

} // namespace

request_fingerprint fingerprintOf(const model_ref& model, std::string_view prompt)
{
    // Names cannot contain the separator, so two models never produce the same text before the prompt.
    const auto text = model.model.text() + '\n' + model.version.value() + '\n' + model.adapter.value();
    return stableHash(prompt, stableHash(text));
}

request_fingerprint fingerprintOf(
    std::string_view caller, std::string_view method, std::string_view target, std::string_view body)
{
    const auto head = stableHash(target, stableHash(method, stableHash(caller)));
    return stableHash(body, head);
}

request_fingerprint partFingerprintOf(std::string_view model, std::string_view part)
{
    return stableHash(part, stableHash(model, stableHash("part")));
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
    const auto parts = std::min(event.parts.size(), m_settings.maxSuspectsPerCrash);
    for (std::size_t index = 0; index < parts; ++index) {
        const auto& suspect = event.parts[index];
        addMark(suspect.part,
            { event.crash, event.target, std::min(event.at, now), suspect.request, event.concurrentRequests });
    }
}

void crash_ledger::recordShare(request_fingerprint part, std::uint64_t reporter, const run_share& share)
{
    ++m_changes;
    auto& shares = findOrAddRecord(part).shares;
    const auto known = std::find_if(
        shares.begin(), shares.end(), [reporter](const reported_share& each) { return each.reporter == reporter; });
    if (known != shares.end())
        known->share = share;
    else if (shares.size() < MaxSharesPerPart)
        shares.push_back({ reporter, share });
}

run_share crash_ledger::shareOf(request_fingerprint part) const
{
    run_share sum;
    const auto found = m_records.find(part);
    if (found == m_records.end())
        return sum;
    for (const auto& each : found->second.shares) {
        sum.withPart += each.share.withPart;
        sum.all += each.share.all;
    }
    return sum;
}

bool crash_ledger::isPart(request_fingerprint fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    return found != m_records.end() && isPartRecord(found->second.marks);
}

void crash_ledger::merge(
    wall_time now, request_fingerprint fingerprint, const std::vector<crash_mark>& marks, wall_time clearedAt)
{
    ++m_changes;
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
    const auto known = std::find_if(
        found.marks.begin(), found.marks.end(), [&mark](const crash_mark& each) { return each.crash == mark.crash; });
    if (known != found.marks.end())
        known->concurrentRequests = std::max(known->concurrentRequests, mark.concurrentRequests);
    if (known != found.marks.end() || mark.at <= found.clearedAt)
        return;
    ++m_changes;
    unindexRecord(fingerprint, found);
    if (found.marks.size() >= (mark.request ? MaxMarksPerPart : MaxMarksPerRequest))
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
    ++m_changes;
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
    // Each node reports only its own requests, so the suspects of one crash arrive in several reports.
    for (const auto suspect : event.suspects) {
        const bool known = std::find(found->suspects.begin(), found->suspects.end(), suspect) != found->suspects.end();
        if (!known && found->suspects.size() < m_settings.maxSuspectsPerCrash)
            found->suspects.push_back(suspect);
    }
    for (const auto& suspect : event.parts) {
        if (found->parts.size() < m_settings.maxSuspectsPerCrash)
            found->parts.push_back(suspect.part);
    }
}

void crash_ledger::recordSuccess(wall_time now, request_fingerprint fingerprint)
{
    if (verdict(now, fingerprint) == crash_verdict::Suspect)
        clear(now, fingerprint);
}

void crash_ledger::clear(wall_time now, request_fingerprint fingerprint)
{
    ++m_changes;
    auto& found = findOrAddRecord(fingerprint);
    found.clearedAt = std::max(found.clearedAt, now);
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
    ++m_changes;
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
        // Crashes are kept as long as a mark may refer to them: whether the mark counts depends on the target's
        // crashes.
        crashes.erase(
            std::remove_if(crashes.begin(), crashes.end(),
                [this, now](const target_crash& crash) { return now - crash.at > m_settings.quarantineLifetime; }),
            crashes.end());
        each = crashes.empty() ? m_targets.erase(each) : std::next(each);
    }
}

bool crash_ledger::expired(wall_time now, request_fingerprint fingerprint, const record& found) const
{
    if (now - found.lastChangeAt <= m_settings.suspicionLifetime)
        return false;
    const bool quarantined = countedMarks(now, fingerprint, found) >= m_settings.quarantineAfter;
    return now - found.lastChangeAt > (quarantined ? m_settings.quarantineLifetime : m_settings.suspicionLifetime);
}

bool crash_ledger::isCounted(wall_time now, const record& found, const crash_mark& mark) const
{
    return mark.at > found.clearedAt && !isFaulty(now, mark.target);
}

// A request that only ran next to a crashing one gets marks too. These stop counting once the crashing request has
// reached the quarantine threshold.
std::size_t crash_ledger::countedMarks(wall_time now, request_fingerprint fingerprint, const record& found) const
{
    if (isPartRecord(found.marks))
        return conclusiveMarks(now, found);
    const auto counted = std::count_if(
        found.marks.begin(), found.marks.end(), [&](const crash_mark& mark) { return isCounted(now, found, mark); });
    if (m_settings.countMarksWithEarlierSuspect || static_cast<std::size_t>(counted) < m_settings.quarantineAfter)
        return static_cast<std::size_t>(counted);
    return static_cast<std::size_t>(std::count_if(found.marks.begin(), found.marks.end(), [&](const crash_mark& mark) {
        return isCounted(now, found, mark) && !hasEarlierSuspect(fingerprint, found, mark.crash)
            && !hasConclusivePart(now, fingerprint, mark.crash, 1);
    }));
}

std::vector<crash_mark> crash_ledger::validMarks(wall_time now, const record& found) const
{
    std::vector<crash_mark> valid;
    std::copy_if(found.marks.begin(), found.marks.end(), std::back_inserter(valid),
        [&](const crash_mark& mark) { return isCounted(now, found, mark); });
    return valid;
}

bool crash_ledger::hasConclusivePart(
    wall_time now, request_fingerprint fingerprint, std::uint64_t crash, std::size_t minMarks) const
{
    const auto suspects = m_quarantineCandidatesByCrash.find(crash);
    if (suspects == m_quarantineCandidatesByCrash.end())
        return false;
    return std::any_of(suspects->second.begin(), suspects->second.end(), [&](request_fingerprint other) {
        return other != fingerprint && conclusiveMarks(now, m_records.at(other)) >= minMarks;
    });
}

// Many parts may be in flight at each of many crashes, so the result is kept until the next change of any record.
std::size_t crash_ledger::conclusiveMarks(wall_time now, const record& found) const
{
    if (found.evaluatedAt != m_changes) {
        const auto marks = isPartRecord(found.marks) ? validMarks(now, found) : std::vector<crash_mark> {};
        found.conclusiveMarks = isConclusive(found, marks) ? marks.size() : 0;
        found.evaluatedAt = m_changes;
    }
    return found.conclusiveMarks;
}

// A part that only was in flight next to a crashing one has fewer marks than that one.
std::vector<crash_mark> crash_ledger::unexplainedMarks(
    wall_time now, request_fingerprint fingerprint, const record& found) const
{
    const auto valid = validMarks(now, found);
    std::vector<crash_mark> unexplained;
    std::copy_if(valid.begin(), valid.end(), std::back_inserter(unexplained),
        [&](const crash_mark& mark) { return !hasConclusivePart(now, fingerprint, mark.crash, valid.size() + 1); });
    return unexplained;
}

// Compares the part's share of the crashes with its share of the sound runs: a part that most runs have is in flight at
// most crashes, whatever causes them.
bool crash_ledger::isConclusive(const record& found, const std::vector<crash_mark>& marks) const
{
    if (marks.size() < m_settings.quarantinePartAfter)
        return false;
    absl::flat_hash_set<request_fingerprint> requests;
    for (const auto& mark : marks)
        requests.insert(mark.request);
    if (requests.size() < m_settings.minPartRequests)
        return false;
    double withPart = UnseenRuns;
    double all = 1;
    for (const auto& each : found.shares) {
        withPart += each.share.withPart;
        all += each.share.all;
    }
    const auto share = std::min(withPart / all, 1.0);
    // Crashes at the same time have one cause, such as the loss of a zone, and count once.
    auto ordered = marks;
    std::sort(ordered.begin(), ordered.end(),
        [](const crash_mark& left, const crash_mark& right) { return left.at < right.at; });
    double chance = 1;
    std::size_t separate = 0;
    std::optional<wall_time> last;
    requests.clear();
    for (const auto& mark : ordered) {
        // A request that crashed one target and then another one had the same cause only if it is the cause.
        const bool isRepeated = !requests.insert(mark.request).second;
        if (last && mark.at < *last + m_settings.sameCauseWindow && !isRepeated)
            continue;
        last = mark.at;
        ++separate;
        chance *= 1 - std::pow(1 - share, std::max(mark.concurrentRequests, MinConcurrentRequests));
    }
    return separate >= m_settings.quarantinePartAfter && chance <= m_settings.maxChance;
}

const crash_mark& crash_ledger::decidingMark(const record& found) const
{
    auto marks = found.marks; // at most MaxMarksPerRequest
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
        // Two requests that reached the threshold with the same crash cannot be distinguished.
        const auto& deciding = decidingMark(m_records.at(other));
        return other != fingerprint && !isPartRecord(m_records.at(other).marks) && deciding.crash != own.crash
            && deciding.at < own.at;
    });
}

crash_verdict crash_ledger::verdict(wall_time now, request_fingerprint fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || expired(now, fingerprint, found->second))
        return crash_verdict::Clear;
    if (isPartRecord(found->second.marks)) {
        // Other parts can only take marks away, so they are looked at last.
        if (conclusiveMarks(now, found->second)
            && isConclusive(found->second, unexplainedMarks(now, fingerprint, found->second)))
            return crash_verdict::Quarantined;
        const auto count = validMarks(now, found->second).size();
        if (count >= m_settings.isolateAfter)
            return crash_verdict::Isolated;
        return count ? crash_verdict::Suspect : crash_verdict::Clear;
    }
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
    // Any sequence of crashes within one window suffices: a target stays faulty as long as its marks may count.
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
    // A suspect that also crashed another target is the more likely cause. Without this rule, a few crashing requests
    // in a small fleet make healthy targets appear faulty, and their crashes no longer count against the requests.
    const auto crashedAnother = [&target](const record& suspect) {
        return std::any_of(suspect.marks.begin(), suspect.marks.end(),
            [&target](const crash_mark& mark) { return mark.target != target; });
    };
    const auto isCause = [&](request_fingerprint suspect) {
        const auto found = m_records.find(suspect);
        return found != m_records.end() && crashedAnother(found->second)
            && (!isPartRecord(found->second.marks) || isConclusive(found->second, found->second.marks));
    };
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), isCause)
        || std::any_of(crash.parts.begin(), crash.parts.end(), isCause);
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
    if (m_quarantinedAt == m_changes && now < m_quarantinedUntil)
        return m_quarantined;
    m_quarantined.clear();
    std::copy_if(m_quarantineCandidates.begin(), m_quarantineCandidates.end(), std::back_inserter(m_quarantined),
        [this, now](auto each) { return verdict(now, each) == crash_verdict::Quarantined; });
    m_quarantinedAt = m_changes;
    m_quarantinedUntil = now + MaxEvaluationAge;
    return m_quarantined;
}

std::vector<request_fingerprint> crash_ledger::blamed(wall_time now) const
{
    std::vector<std::pair<wall_time, request_fingerprint>> found;
    for (const auto& [fingerprint, each] : m_records) {
        if (each.marks.size() < m_settings.isolateAfter)
            continue;
        const auto least = isPartRecord(each.marks) ? crash_verdict::Quarantined : crash_verdict::Isolated;
        if (verdict(now, fingerprint) >= least)
            found.emplace_back(each.lastChangeAt, fingerprint);
    }
    std::sort(found.rbegin(), found.rend());
    std::vector<request_fingerprint> fingerprints;
    for (const auto& each : found)
        fingerprints.push_back(each.second);
    return fingerprints;
}

void crash_ledger::evictRecords()
{
    // Quarantined and isolated requests are evicted last: without their records they crash further targets, while a
    // suspect only has to be detected again.
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
