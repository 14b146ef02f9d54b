#include "routing/target_tracker.h"

#include "core/seeded_random.h"

#include <algorithm>
#include <set>
#include <tuple>
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

bool target_tracker::isUpdate(const target_entry& entry) const
{
    if (isOutdated(entry))
        return false;
    const auto found = m_targets.find(entry.name);
    if (found == m_targets.end() || found->second.expiresAt || found->second.isOverwritten || found->second.isDisplaced)
        return true;
    const auto& known = found->second.entry;
    if (entry.version().renews(known.version()) && m_claims.isContested(known.address))
        return true;
    const bool wasUnregistered = !known.renewalCount && entry.renewalCount; // found without the registry
    return wasUnregistered || known.service != entry.service || known.address != entry.address
        || known.zone != entry.zone || known.slots != entry.slots || (entry.draining && !known.draining)
        || known.startedAt != entry.startedAt;
}

bool target_tracker::isOutdated(const target_entry& entry) const
{
    const auto known = m_targets.find(entry.name);
    const bool isRemoved = known != m_targets.end() && known->second.expiresAt && wasRemovedForGood(entry.name);
    if (known != m_targets.end() && !isRemoved)
        return entry.version() < known->second.entry.version();
    const auto removal = m_removals.find(entry.name);
    if (removal == m_removals.end() || !removal->second.last)
        return false;
    return entry.version() <= removal->second.last->after(removal->second.mayReturn ? 0 : m_settings.maxUnseenRenewals);
}

// Returns whether a target that was removed before this node knew it is not added yet: the entry may be a late renewal.
bool target_tracker::holdBack(const target_entry& entry, instant now)
{
    const auto removal = m_removals.find(entry.name);
    if (m_targets.count(entry.name) || removal == m_removals.end() || removal->second.last
        || now >= removal->second.at + m_settings.unknownRemovalHold)
        return false;
    removal->second.held = entry;
    return true;
}

// Nodes that do not read the registry receive no further renewals of a target that was held back.
void target_tracker::admitHeld(instant now)
{
    std::vector<target_entry> admitted;
    for (auto& [name, removal] : m_removals) {
        if (removal.held && now >= removal.at + m_settings.unknownRemovalHold)
            admitted.push_back(*std::exchange(removal.held, std::nullopt));
    }
    for (const auto& entry : admitted)
        put(entry, now);
}

// Returns whether the entry moves its target, or the address of another target, to another service. A target keeps its
// service, and its address from start to end.
bool target_tracker::contradicts(const target_entry& entry) const
{
    const auto found = m_targets.find(entry.name);
    if (found != m_targets.end() && !found->second.expiresAt) {
        const auto& known = found->second.entry;
        const bool isSameStart = known.startedAt == entry.startedAt;
        if (known.service != entry.service || (isSameStart && known.address != entry.address))
            return true;
        if (isSameStart)
            return false;
    }
    const auto* owner = m_claims.ownerOf(entry.address);
    return owner && *owner != entry.name && ownsAddress(*owner)
        && m_targets.find(*owner)->second.entry.service != entry.service;
}

// Returns whether the entry is not used yet: it contradicts what is known, and was not renewed since it was first seen.
bool target_tracker::holdUnconfirmed(const target_entry& entry)
{
    const auto earlier = m_unconfirmed.find(entry.name);
    const bool isConfirmed = earlier != m_unconfirmed.end() && !earlier->second.isRefuted
        && earlier->second.entry.service == entry.service && earlier->second.entry.address == entry.address
        && entry.version().renews(earlier->second.entry.version());
    const bool isHeld = contradicts(entry) && !isConfirmed;
    dropUnconfirmed(entry.name);
    if (!isHeld)
        return false;
    recordOverwritten(entry.name);
    m_claims.add(entry.address, entry.name);
    m_unconfirmed[entry.name] = { entry };
    return true;
}

void target_tracker::dropUnconfirmed(const target_name& target)
{
    const auto unconfirmed = m_unconfirmed.extract(target);
    if (!unconfirmed)
        return;
    const auto known = m_targets.find(target);
    if (known == m_targets.end() || known->second.entry.address != unconfirmed.mapped().entry.address)
        m_claims.remove(unconfirmed.mapped().entry.address, target);
}

void target_tracker::refuteOthers(const target_entry& renewed)
{
    for (const auto& other : m_claims.othersOf(renewed.address)) {
        const auto unconfirmed = m_unconfirmed.find(other);
        if (unconfirmed != m_unconfirmed.end())
            unconfirmed->second.isRefuted = true;
    }
}

// Returns whether an owner of an address still holds it against others.
bool target_tracker::ownsAddress(const target_name& target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && !found->second.expiresAt && !found->second.replaced;
}

void target_tracker::settleOwner(const target_name& target, bool isRenewal)
{
    auto& claimant = m_targets[target];
    const auto& address = claimant.entry.address;
    m_claims.add(address, target);
    if (claimant.replaced)
        return;
    const auto* owner = m_claims.ownerOf(address);
    if (owner && *owner != target && ownsAddress(*owner)) {
        auto& other = m_targets[*owner];
        // Both may have ended without notice, and their registrations expire only later.
        const bool takesOver = isRenewal
            || std::tie(other.entry.startedAt, *owner) < std::tie(claimant.entry.startedAt, claimant.entry.name);
        (takesOver ? other : claimant).isDisplaced = true;
        if (!takesOver)
            return;
    }
    claimant.isDisplaced = false;
    m_claims.setOwner(address, target);
}

// Another process than the owner responds at the address.
void target_tracker::passOnAddress(const target_entry& former)
{
    const auto* owner = m_claims.ownerOf(former.address);
    if (owner && *owner == former.name)
        settleOthers(former.address);
}

// The renewals of a target that the owner has displaced do not reach all nodes once the address has one target.
void target_tracker::withdrawClaim(const std::string& address, const target_name& target)
{
    m_claims.remove(address, target);
    if (!m_claims.ownerOf(address))
        settleOthers(address);
}

void target_tracker::settleOthers(const std::string& address)
{
    for (const auto& other : m_claims.othersOf(address)) {
        const auto found = m_targets.find(other);
        if (found != m_targets.end() && found->second.entry.address == address && ownsAddress(other))
            settleOwner(other, false);
    }
}

void target_tracker::put(const target_entry& entry, instant now)
{
    if (isOutdated(entry) || holdBack(entry, now) || holdUnconfirmed(entry))
        return;
    auto& target = m_targets[entry.name];
    const bool isNewStart = target.entry.startedAt != entry.startedAt || target.entry.address != entry.address;
    const bool isRenewal = !isNewStart && !target.expiresAt && entry.version().renews(target.entry.version());
    if (isNewStart) {
        withdrawClaim(target.entry.address, entry.name);
        target.consecutiveFaults = 0;
        target.backoffUntil = {};
        target.replaced = false;
        target.hasShutdownNotice = false;
        target.pausedUntil = {};
        target.limitedUntil = {};
    }
    const bool drains = target.entry.draining && target.entry.startedAt == entry.startedAt;
    target.entry = entry;
    target.entry.draining = entry.draining || drains;
    target.isOverwritten = false;
    target.expiresAt.reset();
    settleOwner(entry.name, isRenewal);
    if (isRenewal)
        refuteOthers(entry);
}

void target_tracker::remove(const target_name& target, instant now, const std::optional<target_entry>& last)
{
    const bool inGrace = isInGrace(now);
    const auto found = m_targets.find(target);
    auto newest = last ? std::make_optional(last->version()) : std::nullopt;
    if (found != m_targets.end())
        newest = std::max(newest, std::make_optional(found->second.entry.version()));
    auto& removal = m_removals.try_emplace(target, removal_record { {}, now, false, {} }).first->second;
    removal.held.reset();
    dropUnconfirmed(target);
    if (newest > removal.last)
        removal = { newest, now, inGrace, {} };
    if (found == m_targets.end())
        return;
    if (!inGrace && !found->second.inFlight) {
        erase(found);
        return;
    }
    if (!inGrace)
        withdrawClaim(found->second.entry.address, target);
    found->second.expiresAt = inGrace ? *m_registryRecoveredAt + m_settings.expiryGrace : now;
}

bool target_tracker::isInGrace(instant now) const
{
    return m_registryRecoveredAt && now < *m_registryRecoveredAt + m_settings.expiryGrace;
}

// Returns whether a target was removed other than by the expiry of its registration in an outage of the registry. It
// may still have attempts in flight.
bool target_tracker::wasRemovedForGood(const target_name& target) const
{
    const auto removal = m_removals.find(target);
    return removal != m_removals.end() && removal->second.last && !removal->second.mayReturn;
}

// A restored registry contains targets that were removed after the copy was made. The copy may have more renewals than
// this node knew at the removal, so only renewals after the copy are signs of life.
void target_tracker::recordForgottenRemovals(const std::vector<target_entry>& entries)
{
    for (const auto& entry : entries) {
        const auto removal = m_removals.find(entry.name);
        const auto target = m_targets.find(entry.name);
        const bool isRegistered = target != m_targets.end() && !target->second.expiresAt;
        if (!isRegistered && wasRemovedForGood(entry.name) && entry.version().renews(*removal->second.last))
            removal->second.last = entry.version();
    }
}

void target_tracker::recordOverwritten(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.isOverwritten = true;
}

void target_tracker::registryRecovered(instant now)
{
    m_registryRecoveredAt = now;
}

void target_tracker::replaceAll(
    const std::vector<target_entry>& entries, instant now, const std::vector<target_name>& overwritten)
{
    if (isInGrace(now))
        recordForgottenRemovals(entries);
    std::set<target_name> present(overwritten.begin(), overwritten.end());
    for (const auto& name : overwritten)
        recordOverwritten(name);
    // In one order at all nodes: of two targets with one address, the earlier one is known first.
    std::vector<const target_entry*> ordered;
    for (const auto& entry : entries)
        ordered.push_back(&entry);
    std::sort(ordered.begin(), ordered.end(), [](const auto* left, const auto* right) {
        return std::tie(left->startedAt, left->name) < std::tie(right->startedAt, right->name);
    });
    for (const auto* entry : ordered) {
        present.insert(entry->name);
        put(*entry, now);
    }
    for (auto& [name, removal] : m_removals) {
        if (!present.count(name))
            removal.held.reset();
    }
    std::vector<target_name> missing;
    for (const auto& [name, target] : m_targets) {
        if (!present.count(name) && !target.expiresAt)
            missing.push_back(name);
    }
    for (const auto& [name, unconfirmed] : m_unconfirmed) {
        if (!present.count(name))
            missing.push_back(name);
    }
    for (const auto& name : missing)
        remove(name, now);
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

bool target_tracker::isExcluded(const target_query& query, const target_name& name)
{
    return std::find(query.excluded.begin(), query.excluded.end(), name) != query.excluded.end();
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
        || isExcluded(query, name))
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

std::optional<service_outlook> target_tracker::allUnavailable(const service_name& service, instant now) const
{
    std::optional<service_outlook> outlook;
    for (const auto& [name, target] : m_targets) {
        if (target.entry.service != service || !isInService(target, now))
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

std::size_t target_tracker::usableTargets(const service_name& service, instant now) const
{
    std::size_t count = 0;
    for (const auto& [name, target] : m_targets)
        count += target.entry.service == service && isUsable(target, now);
    return count;
}

std::uint32_t target_tracker::ownInFlight(const target_name& target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.inFlight;
}

} // namespace oriolepick
