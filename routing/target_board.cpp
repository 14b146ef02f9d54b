#include "routing/target_board.h"

#include "core/seeded_random.h"

#include <algorithm>
#include <set>

namespace oriolepick {

namespace {

    /// Scores are loads in slots; the penalties rank a target behind all others of its group, but the target is
    /// still chosen if no other remains.
    constexpr double AvoidedZoneScore = 1'000;
    constexpr double AvoidedTargetScore = 1'000'000;
    constexpr std::size_t MaxStarts = 16; ///< a node sends fewer requests to one target before the target reports them

} // namespace

target_board::target_board(board_settings settings, seeded_random& random)
    : m_settings(settings)
    , m_random(random)
{
}

bool target_board::isNews(const target_entry& entry, instant now) const
{
    if (isOutdated(entry, now))
        return false;
    const auto found = m_targets.find(entry.name);
    if (found == m_targets.end() || found->second.lapsesAt)
        return true;
    const auto& known = found->second.entry;
    const bool wasUnregistered = !known.beat && entry.beat; // found without the registry
    return wasUnregistered || known.service != entry.service || known.address != entry.address
        || known.zone != entry.zone || known.slots != entry.slots || (entry.draining && !known.draining)
        || known.startedAt != entry.startedAt;
}

bool target_board::isOutdated(const target_entry& entry, instant now) const
{
    const auto known = m_targets.find(entry.name);
    if (known != m_targets.end())
        return known->second.entry.startedAt == entry.startedAt && entry.beat < known->second.entry.beat;
    const auto gone = m_departed.find(entry.name);
    if (gone != m_departed.end() && !gone->second.wasKnown)
        return now < gone->second.at + m_settings.unknownDeparture;
    return gone != m_departed.end() && gone->second.startedAt == entry.startedAt && entry.beat <= gone->second.beat;
}

void target_board::put(const target_entry& entry, instant now)
{
    if (isOutdated(entry, now))
        return;
    auto& atAddress = m_newestAt[entry.address];
    if (atAddress != entry.name) {
        const auto other = m_targets.find(atAddress);
        const bool isNewest = other == m_targets.end() || other->second.entry.startedAt <= entry.startedAt;
        if (isNewest && other != m_targets.end() && other->second.entry.startedAt < entry.startedAt)
            // The target ended without notice, and its own registration expires only later.
            other->second.replaced = true;
        if (isNewest)
            atAddress = entry.name;
    }
    auto& target = m_targets[entry.name];
    if (target.entry.startedAt != entry.startedAt || target.entry.address != entry.address) {
        target.faultsInRow = 0;
        target.avoidedUntil = {};
        target.replaced = false;
        target.saidLeaving = false;
        target.pausedUntil = {};
    }
    const bool drains = target.entry.draining && target.entry.startedAt == entry.startedAt;
    target.entry = entry;
    target.entry.draining = entry.draining || drains;
    target.lapsesAt.reset();
}

void target_board::remove(const target_name& target, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        m_departed.try_emplace(target, departure { 0, 0, now, false });
        return;
    }
    m_departed[target] = { found->second.entry.startedAt, found->second.entry.beat, now, true };
    const bool inGrace = m_registryReturnedAt && now < *m_registryReturnedAt + m_settings.lapseGrace;
    if (!inGrace && !found->second.inFlight) {
        erase(found);
        return;
    }
    found->second.lapsesAt = inGrace ? *m_registryReturnedAt + m_settings.lapseGrace : now;
}

void target_board::registryReturned(instant now)
{
    m_registryReturnedAt = now;
}

void target_board::replaceAll(const std::vector<target_entry>& entries, instant now)
{
    std::set<target_name> present;
    for (const auto& entry : entries) {
        present.insert(entry.name);
        put(entry, now);
    }
    std::vector<target_name> missing;
    for (const auto& [name, target] : m_targets) {
        if (!present.count(name) && !target.lapsesAt)
            missing.push_back(name);
    }
    for (const auto& name : missing)
        remove(name, now);
}

void target_board::attemptStarted(const target_name& target, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    ++found->second.inFlight;
    auto& starts = found->second.starts;
    starts.push_back(now);
    if (starts.size() > MaxStarts)
        starts.pop_front();
}

void target_board::attemptEnded(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end() && found->second.inFlight)
        --found->second.inFlight;
}

void target_board::recordLeaving(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.saidLeaving = true;
}

void target_board::recordPause(const target_name& target, instant until)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.pausedUntil = std::max(found->second.pausedUntil, until);
}

void target_board::recordFault(const target_name& target, target_fault fault, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& state = found->second;
    if (fault == target_fault::Misaddressed) {
        state.replaced = true;
        return;
    }
    if (fault == target_fault::Full) {
        // A target at capacity is healthy: it gets no requests until a slot may be free again.
        state.avoidedUntil = std::max(state.avoidedUntil, now + m_settings.firstAvoidance / 10);
        return;
    }
    const auto factor = 1 << std::min<std::uint32_t>(state.faultsInRow, 8);
    state.avoidedUntil = now + std::min(m_settings.firstAvoidance * factor, m_settings.longestAvoidance);
    ++state.faultsInRow;
}

void target_board::recordReplacementUnknown(const target_name& target, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.replaced = false;
    found->second.avoidedUntil = now + m_settings.firstAvoidance;
}

void target_board::recordSuccess(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.faultsInRow = 0;
    found->second.avoidedUntil = {};
}

bool target_board::isInService(const state& target, instant now)
{
    return !target.entry.draining && !target.saidLeaving && !target.replaced
        && (!target.lapsesAt || now < *target.lapsesAt);
}

bool target_board::isUsable(const state& target, instant now)
{
    return isInService(target, now) && now >= target.pausedUntil;
}

bool target_board::isExcluded(const target_wish& wish, const target_name& name)
{
    return std::find(wish.excluded.begin(), wish.excluded.end(), name) != wish.excluded.end();
}

target_board::target_map::iterator target_board::erase(target_map::iterator target)
{
    const auto newest = m_newestAt.find(target->second.entry.address);
    if (newest != m_newestAt.end() && newest->second == target->first)
        m_newestAt.erase(newest);
    return m_targets.erase(target);
}

void target_board::forgetLapsed(instant now)
{
    for (auto gone = m_departed.begin(); gone != m_departed.end();)
        gone = now >= gone->second.at + m_settings.departureMemory ? m_departed.erase(gone) : std::next(gone);
    for (auto candidate = m_targets.begin(); candidate != m_targets.end();) {
        const auto& target = candidate->second;
        const bool gone = target.lapsesAt && now >= *target.lapsesAt && !target.inFlight;
        candidate = gone ? erase(candidate) : std::next(candidate);
    }
}

std::optional<double> target_board::scoreOf(
    const target_wish& wish, const target_name& name, const state& target, instant now)
{
    if (target.entry.service != wish.service || !isUsable(target, now) || isExcluded(wish, name))
        return std::nullopt;
    double score = (target.inFlight + 0.5 * m_random.unit()) / std::max<std::uint32_t>(target.entry.slots, 1);
    if (wish.zone && target.entry.zone != *wish.zone)
        score += m_settings.zoneBonus;
    if (wish.avoidedZone && target.entry.zone == *wish.avoidedZone)
        score += AvoidedZoneScore;
    if (now < target.avoidedUntil)
        score += AvoidedTargetScore;
    return score;
}

std::vector<target_entry> target_board::candidates(const target_wish& wish, std::size_t count, instant now)
{
    forgetLapsed(now);
    std::vector<std::pair<double, const state*>> scored;
    for (const auto& [name, target] : m_targets) {
        if (const auto score = scoreOf(wish, name, target, now))
            scored.emplace_back(*score, &target);
    }
    count = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(),
        [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<target_entry> best;
    for (std::size_t index = 0; index < count; ++index)
        best.push_back(scored[index].second->entry);
    return best;
}

std::optional<target_entry> target_board::choose(const target_wish& wish, instant now)
{
    auto best = candidates(wish, 1, now);
    if (best.empty())
        return std::nullopt;
    return std::move(best.front());
}

std::uint32_t target_board::startedSince(const target_name& target, instant since) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return 0;
    const auto& starts = found->second.starts;
    return static_cast<std::uint32_t>(
        std::count_if(starts.begin(), starts.end(), [since](instant start) { return start > since; }));
}

bool target_board::takesRequests(const target_name& target, instant now) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && isUsable(found->second, now);
}

bool target_board::isPaused(const target_name& target, instant now) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && now < found->second.pausedUntil;
}

std::optional<instant> target_board::allPausedUntil(const service_name& service, instant now) const
{
    std::optional<instant> first;
    for (const auto& [name, target] : m_targets) {
        if (target.entry.service != service || !isInService(target, now))
            continue;
        if (now >= target.pausedUntil)
            return std::nullopt;
        first = first ? std::min(*first, target.pausedUntil) : target.pausedUntil;
    }
    return first;
}

bool target_board::mayGoOnAt(const target_entry& target, instant now) const
{
    const auto found = m_targets.find(target.name);
    return found != m_targets.end() && found->second.entry.startedAt == target.startedAt && !found->second.lapsesAt
        && !found->second.faultsInRow && isUsable(found->second, now);
}

const target_entry* target_board::find(const target_name& target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second.entry;
}

std::size_t target_board::usableTargets(const service_name& service, instant now) const
{
    std::size_t count = 0;
    for (const auto& [name, target] : m_targets)
        count += target.entry.service == service && isUsable(target, now);
    return count;
}

std::uint32_t target_board::ownLoad(const target_name& target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.inFlight;
}

} // namespace oriolepick
