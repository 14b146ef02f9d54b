#include "routing/place_targets.h"

#include "routing/engine_admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolepick {

namespace {

    using milliseconds = std::chrono::duration<double, std::milli>;

    /// Longer than any message is on its way; then nothing is left whose order must be known.
    constexpr std::chrono::milliseconds NodeRetention { 30'000 };
    /// Cost of a target in another zone, as load in slots, as in target_tracker.
    constexpr double CrossZonePenalty = 0.02;
    constexpr double BusyPenalty = 1'000; ///< a target without a free slot comes after all others

    /// The longest requests of a plain service take about this many times their mean.
    constexpr double DurationMargin = 1.5;

    generation_demand demandOf(const place_request& request)
    {
        return { request.promptTokens, request.outputTokens, request.prefillTime, request.latestStart };
    }

} // namespace

place_targets::place_targets(const place_targets_settings& settings)
    : m_settings(settings)
    , m_meanMs(static_cast<double>(settings.initialDuration.count()))
{
}

void place_targets::setTargets(const place_service& service, const std::vector<place_target>& targets, instant now)
{
    m_engines = service.engines;
    m_memoryTokens = service.memoryTokens;
    std::map<target_hash, target_state> previous;
    previous.swap(m_targets);
    for (const auto& target : targets) {
        const auto hash = hashOf(target.name);
        const auto known = previous.find(hash);
        auto& state = m_targets[hash];
        if (known != previous.end()) {
            state = std::move(known->second);
        } else {
            state.meanMs = m_meanMs;
            state.measuredAt = now;
        }
        state.target = target;
        state.engine.target.slots = target.slots;
        state.sum = {};
    }
    // Sums are built anew, since uses of a target may have been reported before the target was known.
    for (const auto& [id, node] : m_nodes) {
        for (const auto& [hash, use] : node.uses)
            add(hash, { use.inFlight, use.unreadTokens, use.heldTokens });
        for (const auto& [number, grant] : node.grants)
            add(grant.target, { 1, grant.promptTokens, 0 });
    }
    for (auto& [hash, target] : m_targets)
        updateEngine(target);
}

void place_targets::updateEngine(target_state& target) const
{
    if (!m_engines)
        return;
    if (!target.engine.report)
        target.engine.report.emplace();
    auto& report = *target.engine.report;
    report.admitted = target.sum.inFlight;
    report.usedTokens = target.sum.heldTokens + target.sum.unreadTokens;
    report.totalTokens = m_memoryTokens;
    const auto prompt = std::max<std::uint64_t>(m_lastDemand.promptTokens, 1);
    const auto unread = std::min<std::uint64_t>((target.sum.unreadTokens + prompt / 2) / prompt, report.admitted);
    report.runs.resize(report.admitted - unread, running_generation { {}, 1 });
}

void place_targets::add(target_hash target, const load& amount)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& sum = found->second.sum;
    sum.inFlight += amount.inFlight;
    sum.unreadTokens += amount.unreadTokens;
    sum.heldTokens += amount.heldTokens;
    updateEngine(found->second);
}

void place_targets::subtract(target_hash target, const load& amount)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& sum = found->second.sum;
    sum.inFlight -= std::min(sum.inFlight, amount.inFlight);
    sum.unreadTokens -= std::min(sum.unreadTokens, amount.unreadTokens);
    sum.heldTokens -= std::min(sum.heldTokens, amount.heldTokens);
    updateEngine(found->second);
}

void place_targets::measure(target_state& target, const target_use* before, const target_use& after, instant now)
{
    const bool continues = before && before->completed <= after.completed && before->busy <= after.busy;
    const auto count = after.completed - (continues ? before->completed : 0);
    if (!count)
        return;
    const milliseconds busy = after.busy - (continues ? before->busy : std::chrono::milliseconds(0));
    const auto sample = std::max(1.0, busy.count() / static_cast<double>(count));
    const auto weight = 1 - std::pow(1 - m_settings.durationWeight, static_cast<double>(count));
    const auto known = meanOf(target, now);
    target.meanMs = known + weight * (sample - known);
    target.measuredAt = now;
    const auto commonWeight = weight / static_cast<double>(std::max<std::size_t>(m_targets.size(), 1));
    m_meanMs += commonWeight * (sample - m_meanMs);
}

void place_targets::applyTrouble(target_state& target, const target_use& use, instant now)
{
    if (use.refusedAgo)
        target.refusedUntil = std::max(target.refusedUntil, now - *use.refusedAgo + m_settings.refusalHold);
    if (use.faultAgo)
        target.faultUntil = std::max(target.faultUntil, now - *use.faultAgo + m_settings.faultHold);
}

void place_targets::dropUses(node_record& node)
{
    for (const auto& [hash, use] : node.uses)
        subtract(hash, { use.inFlight, use.unreadTokens, use.heldTokens });
    node.uses.clear();
}

bool place_targets::apply(const node_id& id, const place_report& report, instant now)
{
    auto& node = m_nodes[id];
    if (report.startedAt < node.startedAt || (report.startedAt == node.startedAt && report.sequence <= node.sequence))
        return false;
    node.seenAt = now;
    if (report.startedAt != node.startedAt) {
        dropUses(node);
        for (const auto& [number, grant] : node.grants)
            subtract(grant.target, { 1, grant.promptTokens, 0 });
        node.grants.clear();
    }
    const auto previous = std::exchange(node.uses, {});
    for (const auto& [hash, use] : previous)
        subtract(hash, { use.inFlight, use.unreadTokens, use.heldTokens });
    for (const auto& use : report.uses) {
        if (!node.uses.emplace(use.target, use).second)
            continue;
        add(use.target, { use.inFlight, use.unreadTokens, use.heldTokens });
        const auto target = m_targets.find(use.target);
        if (target == m_targets.end())
            continue;
        const auto before = previous.find(use.target);
        measure(target->second, before == previous.end() ? nullptr : &before->second, use, now);
        applyTrouble(target->second, use, now);
    }
    node.startedAt = report.startedAt;
    node.sequence = report.sequence;
    node.newest = report.newest;
    node.open = report.open;
    for (auto grant = node.grants.begin(); grant != node.grants.end() && grant->first <= node.newest;) {
        if (std::binary_search(node.open.begin(), node.open.end(), grant->first)) {
            ++grant;
            continue;
        }
        subtract(grant->second.target, { 1, grant->second.promptTokens, 0 });
        grant = node.grants.erase(grant);
    }
    return true;
}

void place_targets::recordGrant(
    const node_id& node, std::uint64_t number, const target_name& target, std::uint64_t promptTokens, instant now)
{
    auto& record = m_nodes[node];
    record.seenAt = std::max(record.seenAt, now);
    if (record.grants.emplace(number, grant_record { hashOf(target), promptTokens, now }).second)
        add(hashOf(target), { 1, promptTokens, 0 });
}

void place_targets::removeDeadNodes(const place_directory& directory)
{
    for (auto& [id, node] : m_nodes) {
        if (directory.isAlive(id))
            continue;
        dropUses(node);
        for (const auto& [number, grant] : node.grants)
            subtract(grant.target, { 1, grant.promptTokens, 0 });
        node.grants.clear();
    }
}

void place_targets::removeGrant(const node_id& node, std::uint64_t number)
{
    const auto found = m_nodes.find(node);
    if (found == m_nodes.end())
        return;
    const auto grant = found->second.grants.find(number);
    if (grant == found->second.grants.end())
        return;
    subtract(grant->second.target, { 1, grant->second.promptTokens, 0 });
    found->second.grants.erase(grant);
}

bool place_targets::isDecided(const node_id& node, std::uint64_t number) const
{
    const auto found = m_nodes.find(node);
    return found != m_nodes.end() && number <= found->second.newest
        && !std::binary_search(found->second.open.begin(), found->second.open.end(), number);
}

bool place_targets::expire(instant now)
{
    bool expired = false;
    const auto nodeTimeout = m_engines ? m_settings.nodeTimeout : m_settings.plainTimeout;
    const auto grantTimeout = m_engines ? m_settings.grantTimeout : m_settings.plainTimeout;
    for (auto entry = m_nodes.begin(); entry != m_nodes.end();) {
        auto& node = entry->second;
        if (now - node.seenAt > nodeTimeout && !node.uses.empty()) {
            dropUses(node);
            expired = true;
        }
        for (auto grant = node.grants.begin(); grant != node.grants.end();) {
            if (now - grant->second.at <= grantTimeout) {
                ++grant;
                continue;
            }
            subtract(grant->second.target, { 1, grant->second.promptTokens, 0 });
            grant = node.grants.erase(grant);
            expired = true;
        }
        const bool isForgotten = node.uses.empty() && node.grants.empty() && now - node.seenAt > NodeRetention;
        entry = isForgotten ? m_nodes.erase(entry) : std::next(entry);
    }
    return expired;
}

bool place_targets::isIdle() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
        [](const auto& node) { return node.second.uses.empty() && node.second.grants.empty(); });
}

double place_targets::meanOf(const target_state& target, instant now) const
{
    const milliseconds elapsed = now - target.measuredAt;
    const milliseconds memory = m_settings.durationMemory;
    const auto weight = std::exp(-std::max(0.0, elapsed.count()) / memory.count());
    return m_meanMs + weight * (target.meanMs - m_meanMs);
}

bool place_targets::allAtFault(instant now) const
{
    return std::all_of(m_targets.begin(), m_targets.end(),
        [now](const auto& entry) { return !entry.second.target.available || now < entry.second.faultUntil; });
}

bool place_targets::isInService(const target_state& target, instant now) const
{
    return target.target.available && now >= target.faultUntil;
}

std::uint32_t place_targets::limitOf(const target_state& target, std::chrono::milliseconds objective, instant now) const
{
    if (now < target.refusedUntil)
        return std::max<std::uint32_t>(1, target.target.slots / 2);
    if (m_engines)
        return target.target.slots;
    auto wait = m_settings.turnaround;
    if (objective.count())
        wait = std::min(wait, objective / m_settings.objectiveDivisor);
    const auto ahead = target.target.slots * static_cast<double>(wait.count()) / std::max(1.0, meanOf(target, now));
    return target.target.slots + std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(ahead)));
}

bool place_targets::hasRoom(const target_state& target, const place_request& request, instant now) const
{
    auto limit = limitOf(target, request.objective, now);
    const bool isLower = m_highestRank && request.rank > *m_highestRank;
    if (isLower)
        limit -= std::min(limit, std::max<std::uint32_t>(1, limit / m_settings.reserveDivisor));
    if (target.sum.inFlight >= limit)
        return false;
    if (!m_engines)
        return true;
    const auto ahead = target.engine.report->prefilling();
    return ahead <= m_settings.maxPromptsAhead && canAdmit(target.engine, demandOf(request));
}

double place_targets::scoreOf(const target_state& target, const place_request& request, instant now) const
{
    if (m_engines)
        return loadScore(target.engine, demandOf(request).total(), {});
    const auto slots = std::max<std::uint32_t>(target.target.slots, 1);
    const auto load = (target.sum.inFlight + 1.0) / slots * meanOf(target, now) / std::max(1.0, m_meanMs);
    return target.sum.inFlight < slots ? load : load + BusyPenalty;
}

std::optional<target_name> place_targets::choose(
    const place_request& request, const availability_zone& zone, seeded_random& random, instant now)
{
    if (!m_highestRank || request.rank <= *m_highestRank || now - m_highestRankAt > m_settings.rankMemory) {
        m_highestRank = request.rank;
        m_highestRankAt = now;
    }
    m_lastDemand = request;
    m_lastDemand.report.reset();
    m_lastDemand.excluded.clear();
    const bool ignoreFaults = allAtFault(now);
    const target_state* best = nullptr;
    double bestScore = 0;
    for (const auto& [hash, target] : m_targets) {
        const bool isExcluded
            = std::find(request.excluded.begin(), request.excluded.end(), hash) != request.excluded.end();
        if (isExcluded || !target.target.available || (!ignoreFaults && now < target.faultUntil)
            || !hasRoom(target, request, now))
            continue;
        auto score = scoreOf(target, request, now) + 0.5 * random.unit() / std::max(target.target.slots, 1U);
        if (target.target.zone != zone)
            score += CrossZonePenalty;
        if (!best || score < bestScore) {
            best = &target;
            bestScore = score;
        }
    }
    if (!best)
        return std::nullopt;
    return best->target.name;
}

std::uint32_t place_targets::freePlaces(instant now) const
{
    std::uint32_t free = 0;
    for (const auto& [hash, target] : m_targets) {
        if (!isInService(target, now) || !hasRoom(target, m_lastDemand, now))
            continue;
        // An engine reads prompts one after another, so it has one place at a time.
        const auto limit = limitOf(target, m_lastDemand.objective, now);
        free += m_engines ? 1 : limit - std::min(limit, target.sum.inFlight);
    }
    return free;
}

std::chrono::duration<double> place_targets::grantInterval(instant now) const
{
    double perMs = 0;
    for (const auto& [hash, target] : m_targets) {
        if (!isInService(target, now))
            continue;
        // Requests in flight divided by their mean duration is the throughput (Little's law).
        double inFlight = limitOf(target, m_lastDemand.objective, now);
        const auto tokens = demandOf(m_lastDemand).total();
        if (m_engines && m_memoryTokens && tokens)
            inFlight = std::min(inFlight, static_cast<double>(m_memoryTokens) / static_cast<double>(tokens));
        auto rate = inFlight / std::max(1.0, meanOf(target, now));
        if (m_engines && m_lastDemand.prefillTime.count())
            rate = std::min(rate, 1.0 / static_cast<double>(m_lastDemand.prefillTime.count()));
        perMs += rate;
    }
    return milliseconds(perMs > 0 ? 1 / perMs : milliseconds(m_settings.nodeTimeout).count());
}

std::chrono::milliseconds place_targets::expectedDuration(const place_request& request, instant now) const
{
    if (m_engines)
        return request.prefillTime;
    double greatest = 0;
    for (const auto& [hash, target] : m_targets) {
        if (isInService(target, now))
            greatest = std::max(greatest, meanOf(target, now));
    }
    return std::chrono::milliseconds(std::lround(DurationMargin * greatest));
}

std::uint32_t place_targets::inFlight(const target_name& target) const
{
    const auto found = m_targets.find(hashOf(target));
    return found == m_targets.end() ? 0 : found->second.sum.inFlight;
}

} // namespace oriolepick
