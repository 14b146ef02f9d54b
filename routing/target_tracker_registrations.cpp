/// \file
/// Registrations of targets: their order, removals, and the owners of addresses.
#include "routing/target_tracker.h"

#include "routing/target_departure.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace oriolepick {

bool target_tracker::isUpdate(const target_entry& entry) const
{
    if (isOutdated(entry))
        return false;
    const auto found = m_targets.find(entry.name);
    if (found == m_targets.end() || found->second.expiresAt || found->second.isOverwritten || found->second.isDisplaced)
        return true;
    const auto& known = found->second.entry;
    if (entry.registrationVersion().renews(known.registrationVersion()) && m_claims.isContested(known.address))
        return true;
    const bool wasUnregistered = !known.renewalCount && entry.renewalCount; // found without the registry
    return wasUnregistered || known.service != entry.service || known.address != entry.address
        || known.zone != entry.zone || known.slots != entry.slots || (entry.draining && !known.draining)
        || known.startedAt != entry.startedAt || known.version != entry.version;
}

bool target_tracker::isOutdated(const target_entry& entry) const
{
    const auto known = m_targets.find(entry.name);
    const bool isRemoved = known != m_targets.end() && known->second.expiresAt && wasRemovedForGood(entry.name);
    if (known != m_targets.end() && !isRemoved)
        return entry.registrationVersion() < known->second.entry.registrationVersion();
    const auto removal = m_removals.find(entry.name);
    if (removal == m_removals.end() || !removal->second.last)
        return false;
    return entry.registrationVersion()
        <= removal->second.last->after(removal->second.mayReturn ? 0 : m_settings.maxUnseenRenewals);
}

bool target_tracker::isRegistered(const target_name& target) const
{
    const auto known = m_targets.find(target);
    return known != m_targets.end() && !(known->second.expiresAt && wasRemovedForGood(target));
}

// Returns the removal that the entry may have been written before, or null. A node that has just started does not know
// the last removals.
target_tracker::removal_record* target_tracker::removalBefore(const target_entry& entry, instant now)
{
    const auto removal = m_removals.find(entry.name);
    if (removal != m_removals.end()) {
        const auto& last = removal->second.last;
        const bool mayBeLate = !last || (!removal->second.mayReturn && entry.startedAt == last->incarnation);
        return mayBeLate ? &removal->second : nullptr;
    }
    const bool isUnexplained = m_loadedAt && !isInGrace(now) && entry.renewalCount > m_settings.maxFirstRenewals;
    if (!isUnexplained || now >= *m_loadedAt + m_settings.removalHold)
        return nullptr;
    return &m_removals.try_emplace(entry.name, removal_record { {}, *m_loadedAt, false, {} }).first->second;
}

// Returns whether the entry is not used yet, because it may be a late renewal of a removed target.
bool target_tracker::holdBack(const target_entry& entry, instant now)
{
    if (isRegistered(entry.name))
        return false;
    auto* const removal = removalBefore(entry, now);
    if (!removal || now >= removal->at + m_settings.removalHold)
        return false;
    removal->held = entry;
    return true;
}

// Nodes that do not read the registry receive no further renewals of a target that was held back. No late renewal can
// have kept it registered for so long, whatever its number is.
void target_tracker::admitHeld(instant now)
{
    std::vector<target_entry> admitted;
    for (auto& [name, removal] : m_removals) {
        if (removal.held && now >= removal.at + m_settings.removalHold)
            admitted.push_back(*removal.held);
    }
    for (const auto& entry : admitted) {
        m_removals.erase(entry.name);
        admit(entry);
    }
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
        && entry.registrationVersion().renews(earlier->second.entry.registrationVersion());
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
    if (!isOutdated(entry) && !holdBack(entry, now))
        admit(entry);
}

void target_tracker::admit(const target_entry& entry)
{
    const auto removal = m_removals.find(entry.name);
    if (removal != m_removals.end())
        removal->second.held.reset(); // of an earlier incarnation
    if (holdUnconfirmed(entry))
        return;
    auto& target = m_targets[entry.name];
    const bool isNewStart = target.entry.startedAt != entry.startedAt || target.entry.address != entry.address;
    const bool isRenewal
        = !isNewStart && !target.expiresAt && entry.registrationVersion().renews(target.entry.registrationVersion());
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
    recordRemoval(target, now, last).isReported = true;
}

target_tracker::removal_record& target_tracker::recordRemoval(
    const target_name& target, instant now, const std::optional<target_entry>& last)
{
    const bool inGrace = isInGrace(now);
    const auto found = m_targets.find(target);
    auto newest = last ? std::make_optional(last->registrationVersion()) : std::nullopt;
    if (found != m_targets.end())
        newest = std::max(newest, std::make_optional(found->second.entry.registrationVersion()));
    auto& removal = m_removals.try_emplace(target, removal_record { {}, now, false, {} }).first->second;
    removal.held.reset();
    dropUnconfirmed(target);
    if (newest > removal.last)
        removal = { newest, now, inGrace, {} };
    if (found == m_targets.end())
        return removal;
    if (!inGrace && !found->second.inFlight) {
        erase(found);
        return removal;
    }
    if (!inGrace)
        withdrawClaim(found->second.entry.address, target);
    found->second.expiresAt = inGrace ? *m_registryRecoveredAt + m_settings.expiryGrace : now;
    return removal;
}

void target_tracker::recordFormerRemoval(const target_entry& last, instant now)
{
    if (!m_targets.count(last.name))
        m_removals.try_emplace(
            last.name, removal_record { last.registrationVersion(), now - m_settings.removalHold, false, {} });
}

std::vector<target_departure> target_tracker::departures(instant now) const
{
    std::vector<target_departure> known;
    for (const auto& [name, removal] : m_removals) {
        if (removal.last && removal.isReported && !removal.mayReturn && now < removal.at + m_settings.removalHold)
            known.push_back(
                { name, *removal.last, std::chrono::duration_cast<std::chrono::milliseconds>(now - removal.at) });
    }
    for (const auto& [name, target] : m_targets) {
        if (target.entry.draining && !target.expiresAt)
            known.push_back({ name, target.entry.registrationVersion(), std::nullopt });
    }
    return known;
}

void target_tracker::mergeDepartures(const std::vector<target_departure>& departures, instant now)
{
    for (const auto& departure : departures) {
        const auto found = m_targets.find(departure.target);
        if (!departure.sinceRemoval) {
            if (found != m_targets.end() && found->second.entry.startedAt <= departure.last.incarnation)
                found->second.entry.draining = true;
        } else if (*departure.sinceRemoval < m_settings.removalHold) {
            mergeRemoval(departure, now - *departure.sinceRemoval);
        }
    }
}

void target_tracker::mergeRemoval(const target_departure& departure, instant at)
{
    const auto found = m_targets.find(departure.target);
    const bool isKnown = found != m_targets.end();
    if (isKnown && found->second.entry.startedAt > departure.last.incarnation)
        return; // the target has started again
    auto& removal = m_removals.try_emplace(departure.target, removal_record { {}, at, false, {} }).first->second;
    const bool isSameIncarnation = removal.last && removal.last->incarnation == departure.last.incarnation;
    if (removal.last && !isSameIncarnation && departure.last < *removal.last)
        return;
    removal.at = isSameIncarnation || !removal.last ? std::max(removal.at, at) : at;
    removal.last = isSameIncarnation ? std::max(*removal.last, departure.last) : departure.last;
    removal.mayReturn = false;
    removal.isReported = true;
    if (!isKnown || found->second.expiresAt)
        return;
    if (found->second.entry.startedAt == departure.last.incarnation)
        removal.held = found->second.entry; // otherwise a late renewal of an earlier start
    if (found->second.inFlight) {
        withdrawClaim(found->second.entry.address, departure.target);
        found->second.expiresAt = at;
    } else {
        erase(found);
    }
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
        if (!isRegistered && wasRemovedForGood(entry.name) && entry.registrationVersion().renews(*removal->second.last))
            removal->second.last = entry.registrationVersion();
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
        recordRemoval(name, now, {});
    m_loadedAt = m_loadedAt.value_or(now);
}

} // namespace oriolepick
