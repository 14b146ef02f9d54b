/// \file
/// Faults, pauses and limits of targets, and their selection. Registrations are in target_tracker_registrations.cpp.
#include "routing/target_tracker.h"

#include "core/seeded_random.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Scores are loads in slots; the penalties rank a target behind all others of its group, but the target is
    /// still chosen if no other remains.
    constexpr double LossyPathPenalty = 100;
    constexpr double AvoidedZonePenalty = 1'000;
    constexpr double BackoffPenalty = 1'000'000;
    /// Limit of remembered start times: a node sends fewer requests to one target before the target reports them.
    constexpr std::size_t MaxRecentStarts = 16;

} // namespace

target_tracker_settings makeTargetTrackerSettings(
    std::chrono::milliseconds contactBound, std::chrono::milliseconds leavingBound, std::chrono::milliseconds newsBound)
{
    target_tracker_settings settings;
    settings.expiryGrace = std::min(
        settings.expiryGrace, std::max(contactBound + leavingBound - newsBound, std::chrono::milliseconds(0)));
    return settings;
}

target_tracker::target_tracker(target_tracker_settings settings, seeded_random& random)
    : m_settings(settings)
    , m_random(random)
{
}

void target_tracker::attemptStarted(const target_name& target, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    ++found->second.inFlight;
    auto& recentStarts = found->second.recentStarts;
    recentStarts.push_back(now);
    if (recentStarts.size() > MaxRecentStarts)
        recentStarts.pop_front();
}

void target_tracker::attemptEnded(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end() && found->second.inFlight)
        --found->second.inFlight;
}

void target_tracker::recordShutdownNotice(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.hasShutdownNotice = true;
}

void target_tracker::recordPause(const target_name& target, instant until)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.pausedUntil = std::max(found->second.pausedUntil, until);
}

void target_tracker::recordLimitReached(const target_name& target, instant until, std::chrono::milliseconds spread)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.limitedUntil = until;
    found->second.limitSpread = spread;
}

void target_tracker::recordFault(const target_name& target, target_fault fault, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& state = found->second;
    if (fault == target_fault::AddressReused) {
        state.replaced = true;
        passOnAddress(state.entry);
        return;
    }
    if (fault == target_fault::AtCapacity) {
        // A target at capacity is healthy: it gets no requests until a slot may be free again.
        state.backoffUntil = std::max(state.backoffUntil, now + m_settings.initialBackoff / 10);
        return;
    }
    const auto factor = 1 << std::min<std::uint32_t>(state.consecutiveFaults, 8);
    state.backoffUntil = now + std::min(m_settings.initialBackoff * factor, m_settings.maxBackoff);
    ++state.consecutiveFaults;
}

void target_tracker::recordReplacementUnknown(const target_name& target, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.replaced = false;
    found->second.backoffUntil = now + m_settings.initialBackoff;
    settleOwner(target, false); // another target may have taken the address since
}

void target_tracker::recordSuccess(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.consecutiveFaults = 0;
    found->second.backoffUntil = {};
}

bool target_tracker::isInService(const state& target, instant now)
{
    return !target.entry.draining && !target.hasShutdownNotice && !target.replaced && !target.isDisplaced
        && !target.isOverwritten && (!target.expiresAt || now < *target.expiresAt);
}

bool target_tracker::isUsable(const state& target, instant now)
{
    return isInService(target, now) && now >= target.pausedUntil;
}

bool target_tracker::isExcluded(const target_query& query, const target_name& name, const target_entry& entry)
{
    const auto contains = [&name](const std::vector<target_name>& names) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    return contains(query.excluded) || (!query.only.empty() && !contains(query.only))
        || (query.version && !query.version->allows(entry.version));
}

target_tracker::target_map::iterator target_tracker::erase(target_map::iterator target)
{
    withdrawClaim(target->second.entry.address, target->first);
    return m_targets.erase(target);
}

void target_tracker::removeExpired(instant now)
{
    admitHeld(now);
    for (auto removal = m_removals.begin(); removal != m_removals.end();)
        removal
            = now >= removal->second.at + m_settings.removalRetention ? m_removals.erase(removal) : std::next(removal);
    for (auto candidate = m_targets.begin(); candidate != m_targets.end();) {
        const auto& target = candidate->second;
        const bool removal = target.expiresAt && now >= *target.expiresAt && !target.inFlight;
        candidate = removal ? erase(candidate) : std::next(candidate);
    }
}

std::optional<double> target_tracker::scoreOf(
    const target_query& query, const target_name& name, const state& target, instant now)
{
    if (target.entry.service != query.service || !isUsable(target, now) || now < target.limitedUntil
        || isExcluded(query, name, target.entry))
        return std::nullopt;
    double score = (target.inFlight + 0.5 * m_random.unit()) / std::max<std::uint32_t>(target.entry.slots, 1);
    if (query.zone && target.entry.zone != *query.zone)
        score += m_settings.crossZonePenalty;
    if (query.avoidedZone && target.entry.zone == *query.avoidedZone)
        score += AvoidedZonePenalty;
    const auto& lossy = query.lossyZones;
    if (std::find(lossy.begin(), lossy.end(), target.entry.zone) != lossy.end())
        score += LossyPathPenalty;
    if (now < target.backoffUntil)
        score += BackoffPenalty;
    return score;
}

std::vector<target_entry> target_tracker::candidates(const target_query& query, std::size_t count, instant now)
{
    removeExpired(now);
    std::vector<std::pair<double, const state*>> scored;
    for (const auto& [name, target] : m_targets) {
        if (const auto score = scoreOf(query, name, target, now))
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

std::optional<target_entry> target_tracker::choose(const target_query& query, instant now)
{
    auto best = candidates(query, 1, now);
    if (best.empty())
        return std::nullopt;
    return std::move(best.front());
}

std::uint32_t target_tracker::attemptsSince(const target_name& target, instant since) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return 0;
    const auto& recentStarts = found->second.recentStarts;
    return static_cast<std::uint32_t>(
        std::count_if(recentStarts.begin(), recentStarts.end(), [since](instant start) { return start > since; }));
}

bool target_tracker::takesRequests(const target_name& target, instant now) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && isUsable(found->second, now);
}

bool target_tracker::leavesAsPlanned(const target_name& target, instant now) const
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()
        && (found->second.entry.draining || found->second.hasShutdownNotice || found->second.replaced
            || found->second.isDisplaced || found->second.isOverwritten))
        return true;
    if (found != m_targets.end() && !found->second.expiresAt)
        return false;
    const auto removal = m_removals.find(target);
    return removal == m_removals.end() || now >= removal->second.at + m_settings.minServiceAfterRemoval;
}

bool target_tracker::isPaused(const target_name& target, instant now) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && now < found->second.pausedUntil;
}

std::optional<service_outlook> target_tracker::allUnavailable(
    const service_name& service, instant now, const std::optional<version_condition>& condition) const
{
    std::optional<service_outlook> outlook;
    for (const auto& [name, target] : m_targets) {
        if (target.entry.service != service || !isInService(target, now)
            || (condition && !condition->allows(target.entry.version)))
            continue;
        const auto until = std::max(target.pausedUntil, target.limitedUntil);
        if (now >= until)
            return std::nullopt;
        if (!outlook)
            outlook = service_outlook { until };
        outlook->next = std::min(outlook->next, until);
        if (now >= target.limitedUntil)
            continue;
        outlook->limited = true;
        outlook->spread = std::max(outlook->spread, target.limitSpread);
    }
    return outlook;
}

std::vector<target_name> target_tracker::limitedTargets(const service_name& service, instant now) const
{
    std::vector<target_name> limited;
    for (const auto& [name, target] : m_targets) {
        if (target.entry.service == service && isInService(target, now) && now < target.limitedUntil)
            limited.push_back(name);
    }
    return limited;
}

bool target_tracker::canResumeAt(const target_entry& target, instant now) const
{
    const auto found = m_targets.find(target.name);
    return found != m_targets.end() && found->second.entry.startedAt == target.startedAt && !found->second.expiresAt
        && !found->second.consecutiveFaults && isUsable(found->second, now);
}

const target_entry* target_tracker::find(const target_name& target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second.entry;
}

void target_tracker::visit(
    const std::function<void(const target_entry& entry, bool isAvailable)>& visitor, instant now) const
{
    for (const auto& [name, target] : m_targets)
        visitor(target.entry, isUsable(target, now) && now >= target.limitedUntil && now >= target.backoffUntil);
}

std::size_t target_tracker::usableTargets(const service_name& service, instant now) const
{
    std::size_t count = 0;
    for (const auto& [name, target] : m_targets)
        count += target.entry.service == service && isUsable(target, now);
    return count;
}

std::set<service_name> target_tracker::services() const
{
    std::set<service_name> services;
    for (const auto& [name, target] : m_targets)
        services.insert(target.entry.service);
    return services;
}

std::vector<target_entry> target_tracker::registeredTargets(const service_name& service, instant now) const
{
    std::vector<target_entry> registered;
    for (const auto& [name, target] : m_targets) {
        if (target.entry.service == service && (!target.expiresAt || now < *target.expiresAt))
            registered.push_back(target.entry);
    }
    return registered;
}

std::uint32_t target_tracker::ownInFlight(const target_name& target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.inFlight;
}

} // namespace oriolepick
