/// \file
/// Registrations of targets: their order, removals, and the owners of addresses.
#include "routing/target_tracker.h"

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
    if (isOutdated(entry) || holdBack(entry, now) || holdUnconfirmed(entry))
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
        remove(name, now);
}

} // namespace oriolepick
