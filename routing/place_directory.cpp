#include "routing/place_directory.h"

#include "core/rendezvous.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    // The number of shards changes seldom, so the many moves of a plain modulus at a change matter little.
    std::uint32_t shardIndex(const target_name& target, std::uint32_t count)
    {
        return static_cast<std::uint32_t>(hashOf(target) % count);
    }

    bool contains(const std::vector<place_shard>& shards, const place_shard& shard)
    {
        return std::find(shards.begin(), shards.end(), shard) != shards.end();
    }

} // namespace

place_directory::place_directory(place_node self, const place_directory_settings& settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
    setNodes({});
}

void place_directory::setNodes(const std::vector<place_node>& others)
{
    m_zones.clear();
    m_nodes.clear();
    m_nodesIn.clear();
    m_allocators.clear();
    m_zones[m_self.node] = m_self.zone;
    for (const auto& other : others)
        m_zones[other.node] = other.zone;
    for (const auto& [node, zone] : m_zones) {
        m_nodes.push_back(node);
        m_nodesIn[zone].push_back(node);
    }
    ++m_revision;
}

void place_directory::setService(place_service service)
{
    service_entry entry;
    const bool isCommon = service.targets.size() <= m_settings.maxShardTargets;
    std::map<availability_zone, std::vector<const place_target*>> byZone;
    for (const auto& target : service.targets)
        byZone[isCommon ? availability_zone() : target.zone].push_back(&target);
    for (const auto& [zone, targets] : byZone) {
        const auto count = static_cast<std::uint32_t>(
            (targets.size() + m_settings.maxShardTargets - 1) / m_settings.maxShardTargets);
        const auto first = entry.shards.size();
        for (std::uint32_t index = 0; index < count; ++index)
            entry.shards.push_back({ { service.name, zone, index, count }, {} });
        for (const auto* target : targets) {
            const auto position = first + shardIndex(target->name, count);
            entry.shards[position].targets.push_back(*target);
            entry.shardOfTarget[target->name] = position;
        }
    }
    const auto name = service.name;
    entry.service = std::move(service);
    m_services.insert_or_assign(name, std::move(entry));
    ++m_revision;
}

void place_directory::removeService(const service_name& service)
{
    m_services.erase(service);
    const auto isOfService = [&service](const auto& entry) { return entry.first.service == service; };
    for (auto room = m_rooms.begin(); room != m_rooms.end();)
        room = isOfService(*room) ? m_rooms.erase(room) : std::next(room);
    for (auto entry = m_allocators.begin(); entry != m_allocators.end();)
        entry = isOfService(*entry) ? m_allocators.erase(entry) : std::next(entry);
    ++m_revision;
}

availability_zone place_directory::zoneOf(const node_id& node) const
{
    const auto found = m_zones.find(node);
    return found == m_zones.end() ? availability_zone() : found->second;
}

const place_service* place_directory::find(const service_name& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.service;
}

std::vector<place_shard> place_directory::shardsOf(const service_name& service) const
{
    std::vector<place_shard> shards;
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        for (const auto& entry : found->second.shards)
            shards.push_back(entry.shard);
    }
    return shards;
}

std::optional<place_shard> place_directory::shardOf(const service_name& service, const target_name& target) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    const auto position = found->second.shardOfTarget.find(target);
    if (position == found->second.shardOfTarget.end())
        return std::nullopt;
    return found->second.shards[position->second].shard;
}

std::vector<place_target> place_directory::targetsIn(const place_shard& shard) const
{
    std::vector<place_target> targets;
    const auto found = m_services.find(shard.service);
    if (found == m_services.end() || !shard.count)
        return targets;
    for (const auto& target : found->second.service.targets) {
        if ((shard.zone.empty() || target.zone == shard.zone) && shardIndex(target.name, shard.count) == shard.index)
            targets.push_back(target);
    }
    return targets;
}

const node_id& place_directory::allocatorOf(const place_shard& shard) const
{
    const auto known = m_allocators.find(shard);
    if (known != m_allocators.end())
        return known->second;
    const auto local = m_nodesIn.find(shard.zone);
    const auto& nodes = shard.zone.empty() || local == m_nodesIn.end() ? m_nodes : local->second;
    const auto key = stableHash(shard.service.value(), stableHash(shard.zone.value(), shard.index));
    return m_allocators.emplace(shard, responsibleNodes(key, nodes, 1).front()).first->second;
}

void place_directory::recordRoom(const place_shard& shard, const place_room& room, instant now)
{
    m_rooms.insert_or_assign(shard, room_record { room, 0, now });
}

void place_directory::recordRequested(const place_shard& shard)
{
    const auto found = m_rooms.find(shard);
    if (found != m_rooms.end())
        ++found->second.requested;
}

std::optional<std::uint32_t> place_directory::freeIn(const place_shard& shard, instant now) const
{
    const auto found = m_rooms.find(shard);
    if (found == m_rooms.end() || now - found->second.at > m_settings.roomValidity)
        return std::nullopt;
    return found->second.room.free - std::min(found->second.room.free, found->second.requested);
}

void place_directory::keepShortestWaits(std::vector<const shard_entry*>& shards, instant now) const
{
    const auto waitIn = [&](const shard_entry* entry) {
        const auto found = m_rooms.find(entry->shard);
        const bool isKnown = found != m_rooms.end() && now - found->second.at <= m_settings.roomValidity;
        return isKnown ? found->second.room.wait : std::chrono::milliseconds(0);
    };
    auto shortest = std::chrono::milliseconds::max();
    for (const auto* entry : shards)
        shortest = std::min(shortest, waitIn(entry));
    shards.erase(std::remove_if(
                     shards.begin(), shards.end(), [&](const shard_entry* entry) { return waitIn(entry) > shortest; }),
        shards.end());
}

std::optional<place_shard> place_directory::chooseShard(
    const service_name& service, const std::vector<place_shard>& excluded, seeded_random& random, instant now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    std::vector<const shard_entry*> local;
    std::vector<const shard_entry*> all;
    const shard_entry* best = nullptr;
    std::uint32_t bestFree = 0;
    for (const auto& entry : found->second.shards) {
        const bool isAvailable = std::any_of(
            entry.targets.begin(), entry.targets.end(), [](const place_target& target) { return target.available; });
        if (!isAvailable || contains(excluded, entry.shard))
            continue;
        all.push_back(&entry);
        const auto free = freeIn(entry.shard, now);
        if (entry.shard.zone == m_self.zone && free.value_or(1))
            local.push_back(&entry);
        if (free.value_or(0) > bestFree) {
            best = &entry;
            bestFree = *free;
        }
    }
    if (local.empty() && best)
        return best->shard;
    if (local.empty())
        keepShortestWaits(all, now);
    const auto& choices = local.empty() ? all : local;
    std::uint64_t total = 0;
    for (const auto* entry : choices)
        total += entry->targets.size();
    if (!total)
        return std::nullopt;
    auto number = random.below(total);
    for (const auto* entry : choices) {
        if (number < entry->targets.size())
            return entry->shard;
        number -= entry->targets.size();
    }
    return std::nullopt;
}

} // namespace oriolepick
