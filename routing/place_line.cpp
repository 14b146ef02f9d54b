#include "routing/place_line.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace oriolepick {

namespace {

    /// Requests that are offered for one grant. Requests differ little in what they need, so the next ones would fail
    /// as well.
    constexpr std::size_t MaxOffers = 4;

} // namespace

place_line::place_line(const place_line_settings& settings)
    : m_settings(settings)
{
}

std::vector<std::size_t> place_line::order(std::size_t count) const
{
    const auto keyOf = [this](std::size_t index) {
        const auto& waiting = m_entries[index];
        const auto& request = waiting.request;
        if (waiting.isLate)
            return std::make_tuple(
                true, request.rank, false, std::chrono::milliseconds(0), std::uint64_t(0), waiting.latestStart, index);
        const auto served = m_served.find(request.team);
        return std::make_tuple(false, request.rank, !request.waited.count(), -request.waited,
            served == m_served.end() ? 0 : served->second, waiting.goodStart, index);
    };
    std::vector<decltype(keyOf(0))> keys;
    keys.reserve(m_entries.size());
    for (std::size_t index = 0; index < m_entries.size(); ++index)
        keys.push_back(keyOf(index));
    count = std::min(count, keys.size());
    std::partial_sort(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(count), keys.end());
    keys.resize(count);
    std::vector<std::size_t> indexes;
    indexes.reserve(keys.size());
    for (const auto& key : keys)
        indexes.push_back(std::get<6>(key));
    return indexes;
}

std::size_t place_line::firstLate(const std::vector<std::size_t>& indexes) const
{
    const auto found
        = std::find_if(indexes.begin(), indexes.end(), [this](std::size_t index) { return m_entries[index].isLate; });
    return static_cast<std::size_t>(found - indexes.begin());
}

// A request that was accepted before stays as long as there is any chance.
bool place_line::isTooLate(
    const waiting_place& waiting, std::size_t position, bool isNew, const place_pace& pace, instant now) const
{
    const auto newShare = waiting.isLate ? m_settings.usableLateShare : m_settings.usableShare;
    const auto usable = isNew ? newShare : 1.0;
    const auto share = waiting.isLate ? pace.spareShare + 1.0 / m_settings.lateInterval : 1.0;
    const std::chrono::duration<double> left = (waiting.isLate ? waiting.latestStart : waiting.goodStart) - now;
    return pace.interval * static_cast<double>(position + 1) > left * usable * share;
}

std::vector<waiting_place> place_line::add(waiting_place waiting, const place_pace& pace, instant now)
{
    std::vector<waiting_place> removed;
    if (m_entries.empty())
        m_served.clear();
    const auto team = waiting.request.team;
    const bool isTeamWaiting = std::any_of(
        m_entries.begin(), m_entries.end(), [team](const waiting_place& other) { return other.request.team == team; });
    if (!isTeamWaiting && !m_entries.empty()) {
        // A team that was away gains no lead over the teams that wait.
        auto least = m_served[m_entries.front().request.team];
        for (const auto& other : m_entries)
            least = std::min(least, m_served[other.request.team]);
        auto& served = m_served[team];
        served = std::max(served, least);
    }
    if (m_entries.size() >= m_settings.capacity) {
        removed.push_back(std::move(waiting));
        return removed;
    }
    m_entries.push_back(std::move(waiting));
    const auto added = m_entries.size() - 1;
    std::size_t position = 0;
    for (const auto index : order(m_entries.size())) {
        auto& entry = m_entries[index];
        if (entry.isLate)
            break;
        entry.isLate = isTooLate(entry, position, index == added, pace, now);
        entry.noticed &= !entry.isLate; // the sender is told the new limit
        position += !entry.isLate;
    }
    std::vector<std::size_t> refused;
    const auto indexes = order(m_entries.size());
    position = 0;
    for (auto late = firstLate(indexes); late < indexes.size(); ++late) {
        if (isTooLate(m_entries[indexes[late]], position, indexes[late] == added, pace, now))
            refused.push_back(indexes[late]);
        else
            ++position;
    }
    std::sort(refused.rbegin(), refused.rend());
    for (const auto index : refused) {
        removed.push_back(std::move(m_entries[index]));
        m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return removed;
}

// Puts the oldest request, of those that are late or of those that are not, before the others.
void place_line::prefer(std::vector<std::size_t>& indexes, bool isLate) const
{
    std::optional<std::size_t> oldest;
    const auto since = [this](std::size_t index) { return m_entries[index].arrived - m_entries[index].request.waited; };
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_entries[index].isLate == isLate && (!oldest || since(index) < since(*oldest)))
            oldest = index;
    }
    if (!oldest)
        return;
    indexes.erase(std::remove(indexes.begin(), indexes.end(), *oldest), indexes.end());
    indexes.insert(indexes.begin(), *oldest);
}

std::optional<waiting_place> place_line::take(const std::function<bool(const waiting_place&)>& accepts, instant now)
{
    if (m_entries.empty())
        return std::nullopt;
    for (auto& entry : m_entries) {
        if (!entry.isLate && entry.goodStart <= now) {
            entry.isLate = true;
            entry.noticed = false;
        }
    }
    auto indexes = order(MaxOffers);
    if ((m_grants + 1) % m_settings.lateInterval == 0)
        prefer(indexes, true);
    else if ((m_grants + 1) % m_settings.oldestFirstInterval == 0)
        prefer(indexes, false);
    for (const auto index : indexes) {
        if (!accepts(m_entries[index]))
            continue;
        auto taken = std::move(m_entries[index]);
        m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(index));
        ++m_served[taken.request.team];
        ++m_grants;
        return taken;
    }
    return std::nullopt;
}

waiting_place* place_line::find(const node_id& from, std::uint64_t number)
{
    for (auto& waiting : m_entries) {
        if (waiting.request.number == number && waiting.from == from)
            return &waiting;
    }
    return nullptr;
}

bool place_line::remove(const node_id& from, std::uint64_t number)
{
    const auto* found = find(from, number);
    if (found)
        m_entries.erase(m_entries.begin() + (found - m_entries.data()));
    return found;
}

std::vector<waiting_place> place_line::expire(instant now)
{
    std::vector<waiting_place> expired;
    const auto end = std::stable_partition(
        m_entries.begin(), m_entries.end(), [now](const waiting_place& waiting) { return waiting.latestStart > now; });
    std::move(end, m_entries.end(), std::back_inserter(expired));
    m_entries.erase(end, m_entries.end());
    return expired;
}

void place_line::removeSilent(instant since)
{
    m_entries.erase(std::remove_if(m_entries.begin(), m_entries.end(),
                        [since](const waiting_place& waiting) { return waiting.heardAt < since; }),
        m_entries.end());
}

} // namespace oriolepick
