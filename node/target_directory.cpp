#include "node/target_directory.h"

#include "core/fleet_state.h"

#include <algorithm>
#include <set>

namespace oriolepick {

namespace {

    const std::map<target_state, std::string>& stateNames()
    {
        static const std::map<target_state, std::string> names { { target_state::Live, "live" },
            { target_state::Suspected, "suspected" }, { target_state::Ejected, "ejected" },
            { target_state::Leaving, "leaving" } };
        return names;
    }

} // namespace

target_directory::target_directory(node_id self, availability_zone zone, region_name region,
    std::unique_ptr<placement_strategy> strategy, std::uint64_t seed)
    : m_strategy(std::move(strategy))
    , m_random(seed)
    , m_region(region)
    , m_view(std::move(self), std::move(zone), std::move(region))
{
}

void target_directory::applyState(const std::shared_ptr<const fleet_state>& state)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<target_id> removed;
    for (const auto& [target, record] : m_records) {
        if (!state->target(target))
            removed.push_back(target);
    }
    for (const auto& target : removed) {
        m_view.removeTarget(target);
        m_paces.forget(target);
        m_records.erase(target);
    }
    for (const auto& [target, settings] : state->targets()) {
        auto& record = m_records[target];
        record.address = settings->address;
        record.engine = settings->kind == target_kind::Engine;
        record.profile.target = target;
        record.profile.zone = settings->zone;
        record.profile.region = m_region;
        record.profile.batchLimit = static_cast<std::uint32_t>(std::max(1, settings->capacity));
        m_view.setTarget(record.profile);
        if (settings->leaving)
            m_view.markLeaving(target, leaving_source::Ticket);
        else
            m_view.clearLeaving(target, leaving_source::Ticket);
    }
    for (const auto& [service, settings] : state->services()) {
        for (const auto& target : settings->targets) {
            const auto record = m_records.find(target);
            if (record == m_records.end())
                continue;
            record->second.profile.service = service;
            m_view.setTarget(record->second.profile);
        }
    }
}

void target_directory::recordEngineState(const target_id& target, const engine_state& state)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto record = m_records.find(target);
    if (record == m_records.end())
        return;
    const auto& loaded = state.loaded;
    record->second.observed = state;
    record->second.incarnation = state.incarnation;
    record->second.loaded = loaded;
    auto& profile = record->second.profile;
    profile.model.reset();
    profile.adapters.clear();
    if (!loaded.empty()) {
        profile.model = model_ref { loaded.front().model, loaded.front().version, adapter_name() };
        for (const auto& model : loaded) {
            if (!model.adapter.empty())
                profile.adapters.push_back(model.adapter);
        }
    }
    m_view.setTarget(profile);
    m_view.setSuspected(target, false);
    if (state.draining)
        m_view.markLeaving(target, leaving_source::Target);
    else
        m_view.clearLeaving(target, leaving_source::Target);
}

void target_directory::recordUnreachable(const target_id& target)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto record = m_records.find(target);
    if (record != m_records.end())
        record->second.observed.reset();
    m_view.setSuspected(target, true);
}

std::optional<engine_state> target_directory::observed(const target_id& target) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto record = m_records.find(target);
    return record == m_records.end() ? std::nullopt : record->second.observed;
}

void target_directory::setLeavingAddresses(const std::vector<std::string>& addresses)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [target, record] : m_records) {
        record.leavingByList = std::find(addresses.begin(), addresses.end(), record.address) != addresses.end();
        if (record.leavingByList)
            m_view.markLeaving(target, leaving_source::InstanceList);
        else
            m_view.clearLeaving(target, leaving_source::InstanceList);
    }
}

void target_directory::recordLoad(const target_id& target, const load_report& report, instant reflectsUntil)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.recordReport(target, report, reflectsUntil);
}

std::variant<placed_target, placement_failure> target_directory::choose(
    const placement_query& query, const std::vector<target_id>& allowed, std::uint32_t promptTokens, instant now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto candidates = m_view.candidates(query.work, query.prefixBlocks, now);
    const auto* model = std::get_if<model_ref>(&query.work);
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                         [&](const target_candidate& candidate) {
                             return std::find(allowed.begin(), allowed.end(), candidate.target) == allowed.end()
                                 || (model && !hasLoaded(candidate.target, *model));
                         }),
        candidates.end());
    const auto decision = m_strategy->choose(query, candidates, m_random);
    if (const auto* none = std::get_if<placement_failure>(&decision))
        return *none;
    const auto& choice = std::get<target_choice>(decision);
    const auto& record = m_records.at(choice.target);
    const auto cached = std::min(choice.cachedTokens, promptTokens);
    m_view.recordDispatch(choice.target, query.prefixBlocks, promptTokens - cached, now);
    return placed_target { choice.target, record.address, model ? *model : model_ref {}, cached };
}

void target_directory::recordFirstToken(const target_id& target, std::uint32_t uncachedTokens)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.recordFirstToken(target, uncachedTokens);
}

void target_directory::recordFinished(const target_id& target, std::uint32_t uncachedTokens, bool started, instant now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.recordFinished(target, uncachedTokens, started, now);
}

void target_directory::recordGap(const target_id& target, std::chrono::microseconds gap, instant now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_paces.recordGap(target, gap, now);
}

std::optional<target_pace> target_directory::paceOf(const target_id& target) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_paces.paceOf(target);
}

bool target_directory::isListedAsLeaving(const target_id& target) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto record = m_records.find(target);
    return record != m_records.end() && record->second.leavingByList;
}

std::optional<std::string> target_directory::addressOf(const target_id& target) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto record = m_records.find(target);
    if (record == m_records.end())
        return std::nullopt;
    return record->second.address;
}

std::vector<std::string> target_directory::addressesOf(const std::vector<target_id>& targets) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> addresses;
    for (const auto& target : targets) {
        const auto found = m_records.find(target);
        if (found != m_records.end())
            addresses.push_back(found->second.address);
    }
    return addresses;
}

std::vector<target_id> target_directory::inZonesOf(const std::vector<target_id>& targets) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::set<availability_zone> zones;
    for (const auto& target : targets) {
        const auto record = m_records.find(target);
        if (record != m_records.end())
            zones.insert(record->second.profile.zone);
    }
    std::vector<target_id> found;
    for (const auto& [target, record] : m_records) {
        if (zones.count(record.profile.zone))
            found.push_back(target);
    }
    return found;
}

bool target_directory::hasLoaded(const target_id& target, const model_ref& model) const
{
    const auto record = m_records.find(target);
    return record != m_records.end()
        && std::find(record->second.loaded.begin(), record->second.loaded.end(), model) != record->second.loaded.end();
}

bool target_directory::anyLoaded(const model_ref& model, const std::vector<target_id>& allowed) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return std::any_of(
        allowed.begin(), allowed.end(), [&](const target_id& target) { return hasLoaded(target, model); });
}

std::vector<polled_target> target_directory::engines() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<polled_target> list;
    for (const auto& [target, record] : m_records) {
        if (record.engine)
            list.push_back({ target, record.address });
    }
    return list;
}

std::uint64_t target_directory::incarnationOf(const target_id& target) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto record = m_records.find(target);
    return record == m_records.end() ? 0 : record->second.incarnation;
}

target_directory::room target_directory::capacityOf(const std::vector<target_id>& targets) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    room found;
    for (const auto& target : targets) {
        const auto record = m_records.find(target);
        if (record == m_records.end() || m_view.state(target) != target_state::Live)
            continue;
        ++found.targets;
        found.places += record->second.profile.batchLimit;
    }
    return found;
}

std::vector<target_directory::loaded_version> target_directory::versionsOf(
    const model_ref& wanted, const std::vector<target_id>& targets) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::map<model_ref, std::size_t> places;
    for (const auto& target : targets) {
        const auto record = m_records.find(target);
        if (record == m_records.end() || m_view.state(target) != target_state::Live)
            continue;
        for (const auto& loaded : record->second.loaded) {
            if (loaded.model == wanted.model && loaded.adapter == wanted.adapter)
                places[loaded] += record->second.profile.batchLimit;
        }
    }
    std::vector<loaded_version> versions;
    for (const auto& [model, count] : places)
        versions.push_back({ model, count });
    return versions;
}

std::size_t target_directory::reportingEngines() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(
        m_records.begin(), m_records.end(), [](const auto& entry) { return entry.second.observed.has_value(); }));
}

std::map<std::string, std::size_t> target_directory::stateCounts() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, std::size_t> counts;
    for (const auto& [state, name] : stateNames())
        counts[name] = 0;
    for (const auto& [target, record] : m_records)
        ++counts[stateNames().at(m_view.state(target))];
    return counts;
}

std::vector<target_directory::target_view> target_directory::targetStates() const
{
    std::vector<target_view> views;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& [target, record] : m_records)
            views.push_back({ target, stateNames().at(m_view.state(target)),
                record.engine ? std::optional(record.observed.has_value()) : std::nullopt });
    }
    std::sort(views.begin(), views.end(),
        [](const target_view& left, const target_view& right) { return left.target < right.target; });
    return views;
}

} // namespace oriolepick
