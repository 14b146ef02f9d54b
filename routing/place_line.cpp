#include "routing/place_line.h"

#include <algorithm>
#include <numeric>
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

std::vector<std::size_t> place_line::order() const
{
    std::vector<std::size_t> indexes(m_entries.size());
    std::iota(indexes.begin(), indexes.end(), 0);
    const auto keyOf = [this](const waiting_place& waiting) {
        const auto served = m_served.find(waiting.request.team);
        return std::make_tuple(waiting.request.rank, waiting.request.waited.count() == 0, -waiting.request.waited,
            served == m_served.end() ? 0 : served->second, waiting.latestStart);
    };
    std::stable_sort(indexes.begin(), indexes.end(),
        [&](std::size_t left, std::size_t right) { return keyOf(m_entries[left]) < keyOf(m_entries[right]); });
    return indexes;
}

std::vector<waiting_place> place_line::add(waiting_place waiting, std::chrono::duration<double> interval, instant now)
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
    std::vector<bool> late(m_entries.size());
    std::size_t position = 0;
    for (const auto index : order()) {
        const std::chrono::duration<double> left = m_entries[index].latestStart - now;
        const auto usable = index == added ? left * m_settings.usableShare : left;
        late[index] = interval * static_cast<double>(position + 1) > usable;
        position += !late[index];
    }
    for (auto index = m_entries.size(); index-- > 0;) {
        if (late[index]) {
            removed.push_back(std::move(m_entries[index]));
            m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return removed;
}

std::optional<waiting_place> place_line::take(const std::function<bool(const waiting_place&)>& accepts)
{
    if (m_entries.empty())
        return std::nullopt;
    auto indexes = order();
    if ((m_grants + 1) % m_settings.oldestFirstInterval == 0) {
        const auto since
            = [this](std::size_t index) { return m_entries[index].arrived - m_entries[index].request.waited; };
        const auto oldest = std::min_element(indexes.begin(), indexes.end(),
            [&](std::size_t left, std::size_t right) { return since(left) < since(right); });
        std::rotate(indexes.begin(), oldest, oldest + 1);
    }
    indexes.resize(std::min(indexes.size(), MaxOffers));
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
