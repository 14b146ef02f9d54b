#include "core/load_view.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::size_t MaxUnreportedChanges = 1024; ///< Bounds memory for a target that never reports.

    struct scored_target {
        std::uint64_t score = 0;
        const target_id* target = nullptr;
    };

    // Rendezvous hashing within each zone, then one target of each zone in turn. A zone that runs out leaves its share
    // to the others.
    std::vector<target_id> selectBalancedOverZones(
        std::map<availability_zone, std::vector<scored_target>>& zones, std::size_t count)
    {
        for (auto& [zone, targets] : zones)
            std::sort(targets.begin(), targets.end(), [](const auto& left, const auto& right) {
                return left.score != right.score ? left.score > right.score : *left.target < *right.target;
            });
        std::vector<target_id> chosen;
        for (std::size_t rank = 0; chosen.size() < count; ++rank) {
            std::vector<scored_target> sameRankTargets;
            for (const auto& [zone, targets] : zones) {
                if (rank < targets.size())
                    sameRankTargets.push_back(targets[rank]);
            }
            if (sameRankTargets.empty())
                break;
            // The last row may not fit completely: the scores decide which zones it covers.
            std::sort(sameRankTargets.begin(), sameRankTargets.end(),
                [](const auto& left, const auto& right) { return left.score > right.score; });
            for (std::size_t index = 0; index < sameRankTargets.size() && chosen.size() < count; ++index)
                chosen.push_back(*sameRankTargets[index].target);
        }
        return chosen;
    }

} // namespace

load_view::load_view(node_id self, availability_zone zone, region_name region, load_view_settings settings)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_region(std::move(region))
    , m_settings(settings)
{
}

void load_view::setTarget(const target_profile& profile)
{
    auto [position, inserted] = m_targets.try_emplace(profile.target);
    auto& entry = position->second;
    if (inserted || entry.profile.cacheBlocks != profile.cacheBlocks)
        entry.sketch = prefix_sketch(profile.cacheBlocks);
    if (!inserted) {
        if (entry.profile.model != profile.model)
            entry.sketch.clear();
        removeFromGroup(entry.profile);
    }
    entry.profile = profile;
    if (const auto key = keyOf(profile)) {
        auto& group = m_groups[*key];
        group.members.push_back(profile.target);
        group.stale = true;
    }
}

void load_view::removeTarget(const target_id& target)
{
    const auto position = m_targets.find(target);
    if (position == m_targets.end())
        return;
    removeFromGroup(position->second.profile);
    m_targets.erase(position);
}

void load_view::markLeaving(const target_id& target, leaving_source source)
{
    if (auto* entry = find(target)) {
        entry->leaving |= static_cast<std::uint8_t>(source);
        invalidateGroup(entry->profile);
    }
}

void load_view::clearLeaving(const target_id& target, leaving_source source)
{
    if (auto* entry = find(target)) {
        entry->leaving &= static_cast<std::uint8_t>(~static_cast<unsigned>(source));
        invalidateGroup(entry->profile);
    }
}

void load_view::setSuspected(const target_id& target, bool suspected)
{
    if (auto* entry = find(target))
        entry->suspected = suspected;
}

void load_view::setEjected(const target_id& target, bool ejected)
{
    if (auto* entry = find(target))
        entry->ejected = ejected;
}

void load_view::recordReport(const target_id& target, const load_report& report, instant reflectsUntil)
{
    auto* entry = find(target);
    if (!entry || (entry->reflectsUntil && reflectsUntil < *entry->reflectsUntil))
        return;
    entry->report = report;
    entry->reflectsUntil = reflectsUntil;
    while (!entry->unreportedChanges.empty() && entry->unreportedChanges.front().at <= reflectsUntil)
        entry->unreportedChanges.pop_front();
}

void load_view::recordDispatch(
    const target_id& target, const std::vector<block_hash>& prefixBlocks, std::uint32_t uncachedTokens, instant now)
{
    auto* entry = find(target);
    if (!entry)
        return;
    if (entry->unreportedChanges.size() < MaxUnreportedChanges)
        entry->unreportedChanges.push_back({ now, 1 });
    ++entry->ownInFlight;
    entry->pendingPrefillTokens += uncachedTokens;
    entry->sketch.add(prefixBlocks);
}

void load_view::recordFirstToken(const target_id& target, std::uint32_t uncachedTokens)
{
    if (auto* entry = find(target))
        entry->pendingPrefillTokens = std::max(0.0, entry->pendingPrefillTokens - uncachedTokens);
}

void load_view::recordFinished(const target_id& target, std::uint32_t uncachedTokens, bool started, instant now)
{
    auto* entry = find(target);
    if (!entry)
        return;
    if (entry->unreportedChanges.size() < MaxUnreportedChanges)
        entry->unreportedChanges.push_back({ now, -1 });
    if (entry->ownInFlight)
        --entry->ownInFlight;
    if (!started)
        entry->pendingPrefillTokens = std::max(0.0, entry->pendingPrefillTokens - uncachedTokens);
}

void load_view::recordCacheEvent(const target_id& target, std::uint64_t sequence, const std::vector<block_hash>& added,
    const std::vector<block_hash>& evicted)
{
    auto* entry = find(target);
    if (!entry || !entry->sketch.acceptSequence(sequence))
        return;
    for (const block_hash block : evicted)
        entry->sketch.remove(block);
    entry->sketch.add(added);
}

void load_view::recordRestart(const target_id& target)
{
    auto* entry = find(target);
    if (!entry)
        return;
    entry->sketch.clear();
    entry->unreportedChanges.clear();
    entry->report = {};
    entry->reflectsUntil.reset();
    entry->ownInFlight = 0;
    entry->pendingPrefillTokens = 0;
}

std::vector<target_candidate> load_view::candidates(
    const work_ref& work, const std::vector<block_hash>& prefixBlocks, instant now) const
{
    std::vector<target_candidate> result;
    const auto position = m_groups.find(keyOf(work));
    if (position == m_groups.end())
        return result;
    const auto collect = [&](const std::vector<target_id>& targets) {
        result.clear();
        result.reserve(targets.size());
        for (const auto& target : targets)
            result.push_back(candidateFor(m_targets.at(target), work, prefixBlocks, now));
    };
    const auto& subset = subsetOf(position->second);
    collect(subset);
    const bool usable = std::any_of(result.begin(), result.end(),
        [](const target_candidate& candidate) { return candidate.state == target_state::Live; });
    if (!usable && subset.size() < position->second.members.size())
        collect(position->second.members);
    estimateLoad(result, now);
    return result;
}

// Own requests are known exactly. What the others had in flight is known from the report; where that is less than the
// mean of the targets, it moves towards the mean with the report's age.
void load_view::estimateLoad(std::vector<target_candidate>& candidates, instant now) const
{
    std::vector<double> othersInFlight;
    othersInFlight.reserve(candidates.size());
    double sum = 0;
    std::size_t reported = 0;
    for (const auto& candidate : candidates) {
        const auto& entry = m_targets.at(candidate.target);
        double ownAtReport = entry.ownInFlight;
        for (const auto& change : entry.unreportedChanges)
            ownAtReport -= change.delta;
        othersInFlight.push_back(
            std::max(0.0, entry.report.running + entry.report.waiting - std::max(0.0, ownAtReport)));
        if (entry.reflectsUntil) {
            sum += othersInFlight.back();
            ++reported;
        }
    }
    const double mean = reported ? sum / static_cast<double>(reported) : 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto& candidate = candidates[index];
        const auto& reflectsUntil = m_targets.at(candidate.target).reflectsUntil;
        double reportWeight = 0;
        if (reflectsUntil) {
            const std::chrono::duration<double> age = std::max(now - *reflectsUntil, instant::duration::zero());
            const std::chrono::duration<double> half = m_settings.reportHalfWeightAge;
            reportWeight = half / (half + age);
        }
        const double deviation = othersInFlight[index] - mean;
        const double load = candidate.ownInFlight + mean + (deviation > 0 ? deviation : reportWeight * deviation);
        candidate.running = std::min<double>(load, candidate.batchLimit);
        candidate.waiting = load - candidate.running;
    }
}

std::vector<target_id> load_view::subset(const work_ref& work) const
{
    const auto position = m_groups.find(keyOf(work));
    return position == m_groups.end() ? std::vector<target_id> {} : subsetOf(position->second);
}

std::vector<target_id> load_view::targetsToPoll(instant now) const
{
    std::vector<target_id> overdueTargets;
    for (const auto& [key, group] : m_groups) {
        for (const auto& target : subsetOf(group)) {
            const auto& entry = m_targets.at(target);
            if (!entry.reflectsUntil || now - *entry.reflectsUntil >= m_settings.pollAfter)
                overdueTargets.push_back(target);
        }
    }
    return overdueTargets;
}

target_state load_view::state(const target_id& target) const
{
    const auto* entry = find(target);
    return entry ? stateOf(*entry) : target_state::Leaving;
}

const target_profile* load_view::profile(const target_id& target) const
{
    const auto* entry = find(target);
    return entry ? &entry->profile : nullptr;
}

std::size_t load_view::memoryBytes() const
{
    std::size_t bytes = m_targets.capacity() * (sizeof(entry) + sizeof(target_id) + 1);
    for (const auto& [target, entry] : m_targets)
        bytes += entry.sketch.memoryBytes() + entry.unreportedChanges.size() * sizeof(in_flight_change);
    for (const auto& [key, group] : m_groups)
        bytes += (group.members.capacity() + group.subset.capacity()) * sizeof(target_id);
    return bytes;
}

load_view::group_key load_view::keyOf(const work_ref& work)
{
    if (const auto* model = std::get_if<model_ref>(&work))
        return std::make_pair(model->model, model->version);
    return std::get<service_id>(work);
}

std::optional<load_view::group_key> load_view::keyOf(const target_profile& profile)
{
    if (profile.model)
        return std::make_pair(profile.model->model, profile.model->version);
    if (!profile.service.empty())
        return profile.service;
    return std::nullopt;
}

target_state load_view::stateOf(const entry& entry)
{
    if (entry.leaving)
        return target_state::Leaving;
    if (entry.ejected)
        return target_state::Ejected;
    return entry.suspected ? target_state::Suspected : target_state::Live;
}

load_view::entry* load_view::find(const target_id& target)
{
    const auto position = m_targets.find(target);
    return position == m_targets.end() ? nullptr : &position->second;
}

const load_view::entry* load_view::find(const target_id& target) const
{
    const auto position = m_targets.find(target);
    return position == m_targets.end() ? nullptr : &position->second;
}

void load_view::removeFromGroup(const target_profile& profile)
{
    const auto key = keyOf(profile);
    if (!key)
        return;
    const auto position = m_groups.find(*key);
    if (position == m_groups.end())
        return;
    auto& members = position->second.members;
    members.erase(std::remove(members.begin(), members.end(), profile.target), members.end());
    position->second.stale = true;
    if (members.empty())
        m_groups.erase(position);
}

void load_view::invalidateGroup(const target_profile& profile)
{
    const auto key = keyOf(profile);
    const auto position = key ? m_groups.find(*key) : m_groups.end();
    if (position != m_groups.end())
        position->second.stale = true;
}

const std::vector<target_id>& load_view::subsetOf(const group& group) const
{
    if (!group.stale)
        return group.subset;
    std::map<availability_zone, std::vector<scored_target>> zones;
    const std::uint64_t seed = stableHash(m_self.value());
    for (const auto& target : group.members) {
        const auto& entry = m_targets.at(target);
        if (!entry.leaving)
            zones[entry.profile.zone].push_back({ stableHash(target.text(), seed), &entry.profile.target });
    }
    group.subset = selectBalancedOverZones(zones, m_settings.subsetSize);
    group.stale = false;
    return group.subset;
}

target_candidate load_view::candidateFor(
    const entry& entry, const work_ref& work, const std::vector<block_hash>& prefixBlocks, instant now) const
{
    target_candidate candidate;
    candidate.target = entry.profile.target;
    candidate.zone = entry.profile.zone;
    candidate.state = stateOf(entry);
    candidate.sameZone = entry.profile.zone == m_zone;
    candidate.sameRegion = entry.profile.region == m_region;
    if (const auto* model = std::get_if<model_ref>(&work); model && !model->adapter.empty()) {
        const auto& adapters = entry.profile.adapters;
        candidate.adapterLoaded = std::find(adapters.begin(), adapters.end(), model->adapter) != adapters.end();
        // An engine that cannot load the adapter on first use would answer not_loaded.
        if (!candidate.adapterLoaded && !entry.profile.loadsAdapters)
            candidate.state = target_state::Leaving;
    }
    candidate.batchLimit
        = std::max<std::uint32_t>(1, entry.report.batch ? entry.report.batch : entry.profile.batchLimit);
    candidate.ownInFlight = entry.ownInFlight;
    candidate.pendingPrefillTokens = entry.pendingPrefillTokens;
    if (entry.reflectsUntil)
        candidate.reportAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - *entry.reflectsUntil);
    candidate.cachedTokens = static_cast<std::uint32_t>(entry.sketch.prefixHits(prefixBlocks)) * m_settings.blockTokens;
    return candidate;
}

} // namespace oriolepick
