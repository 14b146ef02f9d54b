#include "routing/target_board.h"

#include "core/seeded_random.h"

#include <algorithm>
#include <set>

namespace oriolepick {

target_board::target_board(board_settings settings, seeded_random& random)
    : m_settings(settings)
    , m_random(random)
{
}

void target_board::put(const target_entry& entry, instant)
{
    auto& target = m_targets[entry.name];
    if (target.entry.startedAt != entry.startedAt || target.entry.address != entry.address) {
        target.faultsInRow = 0;
        target.avoidedUntil = {};
    }
    target.entry = entry;
    target.lapsesAt.reset();
}

void target_board::remove(const target_name& target, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    const bool inGrace = m_registryReturnedAt && now < *m_registryReturnedAt + m_settings.lapseGrace;
    if (!inGrace && !found->second.inFlight) {
        m_targets.erase(found);
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

void target_board::attemptStarted(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        ++found->second.inFlight;
}

void target_board::attemptEnded(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end() && found->second.inFlight)
        --found->second.inFlight;
}

void target_board::recordFault(const target_name& target, target_fault fault, instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& state = found->second;
    if (fault == target_fault::Full) {
        // A full target is healthy: it only gets nothing until a place may be free again.
        state.avoidedUntil = std::max(state.avoidedUntil, now + m_settings.firstAvoidance / 10);
        return;
    }
    const auto factor = 1 << std::min<std::uint32_t>(state.faultsInRow, 8);
    state.avoidedUntil = now + std::min(m_settings.firstAvoidance * factor, m_settings.longestAvoidance);
    ++state.faultsInRow;
}

void target_board::recordSuccess(const target_name& target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.faultsInRow = 0;
    found->second.avoidedUntil = {};
}

bool target_board::isUsable(const state& target, instant now) const
{
    return !target.entry.draining && (!target.lapsesAt || now < *target.lapsesAt);
}

bool target_board::isExcluded(const target_wish& wish, const target_name& name)
{
    return std::find(wish.excluded.begin(), wish.excluded.end(), name) != wish.excluded.end();
}

std::optional<target_entry> target_board::choose(const target_wish& wish, instant now)
{
    const state* best = nullptr;
    double bestScore = 0;
    for (auto candidate = m_targets.begin(); candidate != m_targets.end();) {
        const auto& [name, target] = *candidate;
        if (target.lapsesAt && now >= *target.lapsesAt && !target.inFlight) {
            candidate = m_targets.erase(candidate);
            continue;
        }
        ++candidate;
        if (target.entry.service != wish.service || !isUsable(target, now) || isExcluded(wish, name))
            continue;
        double score = (target.inFlight + 0.5 * m_random.unit()) / std::max<std::uint32_t>(target.entry.slots, 1);
        if (target.entry.zone != wish.zone)
            score += m_settings.zoneBonus;
        if (wish.avoidedZone && target.entry.zone == *wish.avoidedZone)
            score += 1'000; // after all targets of other zones
        if (now < target.avoidedUntil)
            score += 1'000'000; // after all healthy ones, but before a refusal
        if (!best || score < bestScore) {
            best = &target;
            bestScore = score;
        }
    }
    if (!best)
        return std::nullopt;
    return best->entry;
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
