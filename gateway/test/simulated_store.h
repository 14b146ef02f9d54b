/// \file
/// Simulated store of the platform in virtual time, which may be unavailable and may be restored from an older copy.
#pragma once

#include "core/instant.h"
#include "gateway/row_source.h"
#include "routing/news_digest.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <string>
#include <utility>

namespace oriolepick {

/// Revision as the simulated nodes know it.
using known_revision = decltype(row_answer::revision);

/// \return the revision in a response of the store
inline known_revision responseRevision(std::uint64_t epoch, std::uint64_t number)
{
    return { epoch, number };
}

/// \return the number that a request for later changes contains
inline std::uint64_t numberOf(const known_revision& revision)
{
    return revision.number();
}

/// One table of the simulated store. Its feed contains each change, or only the last one of each row.
class simulated_table {
public:
    using ms = std::chrono::milliseconds;

    void put(const std::string& key, const std::string& value, std::uint64_t revision, instant now)
    {
        m_rows[key] = value;
        m_log.push_back({ revision, now, { key, value, false, revision } });
    }

    void remove(const std::string& key, std::uint64_t revision, instant now)
    {
        if (m_rows.erase(key))
            m_log.push_back({ revision, now, { key, {}, true, revision } });
    }

    bool contains(const std::string& key) const { return m_rows.count(key); }
    const std::map<std::string, std::string>& rows() const { return m_rows; }

    row_answer all() const
    {
        row_answer answer;
        answer.status = row_status::Done;
        for (const auto& [key, value] : m_rows)
            answer.rows.push_back({ key, value, false });
        return answer;
    }

    row_answer changesAfter(std::uint64_t after, std::uint64_t revision, bool lastOfEachRow) const
    {
        row_answer answer;
        if (after < m_forgottenUpTo || after > revision) {
            answer.status = row_status::HistoryLost;
            return answer;
        }
        answer.status = row_status::Done;
        std::map<std::string, std::uint64_t> last;
        for (const auto& change : m_log)
            last[change.row.key] = change.revision;
        for (const auto& change : m_log) {
            if (change.revision > after && change.revision <= revision
                && (!lastOfEachRow || last[change.row.key] == change.revision))
                answer.rows.push_back(change.row);
        }
        return answer;
    }

    void forgetBefore(instant time)
    {
        while (!m_log.empty() && m_log.front().at < time) {
            m_forgottenUpTo = m_log.front().revision;
            m_log.pop_front();
        }
    }

private:
    struct change {
        std::uint64_t revision;
        instant at;
        stored_row row;
    };

    std::map<std::string, std::string> m_rows;
    std::deque<change> m_log;
    std::uint64_t m_forgottenUpTo = 0;
};

/// What happens to requests while the store is unavailable.
enum class outage_kind {
    Rejecting, ///< they are refused at once
    Silent, ///< they are lost, and their connections deliver nothing more
    Slow, ///< they are answered after seconds
};

/// All tables with their common revision counter. Reads and writes fail while the store is unavailable.
class simulated_store {
public:
    using ms = std::chrono::milliseconds;

    bool isAvailable(instant now) const { return now >= m_unavailableUntil; }
    outage_kind outageKind() const { return m_outageKind; }
    std::uint64_t epoch() const { return m_epoch; }
    const simulated_table& table(store_topic topic) const { return m_state.tables[static_cast<std::size_t>(topic)]; }

    /// \return whether the row was written
    bool put(store_topic topic, const std::string& key, const std::string& value, instant now)
    {
        if (!isAvailable(now))
            return false;
        tableOf(topic).put(key, value, ++m_state.revision, now);
        keepCopy(now);
        return true;
    }

    void remove(store_topic topic, const std::string& key, instant now)
    {
        if (!isAvailable(now))
            return;
        tableOf(topic).remove(key, ++m_state.revision, now);
        keepCopy(now);
    }

    row_answer readAll(store_topic topic) const { return withRevision(table(topic).all()); }

    row_answer readChanges(
        store_topic topic, const known_revision& after, bool lastOfEachRow, ms historyLength, instant now)
    {
        auto& table = tableOf(topic);
        table.forgetBefore(now - historyLength);
        return withRevision(table.changesAfter(numberOf(after), m_state.revision, lastOfEachRow));
    }

    void fail(instant until, outage_kind kind)
    {
        m_unavailableUntil = until;
        m_outageKind = kind;
    }

    /// Returns to the state of \p time, in a new epoch.
    void restore(instant time, instant now)
    {
        const auto isLater = [time](const auto& copy) { return copy.first > time; };
        const auto later = std::find_if(m_copies.begin(), m_copies.end(), isLater);
        if (later != m_copies.begin())
            m_state = std::prev(later)->second;
        ++m_epoch;
        keepCopy(now);
    }

private:
    struct state {
        std::array<simulated_table, StoreTopicCount> tables;
        std::uint64_t revision = 1;
    };

    static constexpr ms CopyRetention { 15'000 };

    simulated_table& tableOf(store_topic topic) { return m_state.tables[static_cast<std::size_t>(topic)]; }

    row_answer withRevision(row_answer answer) const
    {
        answer.revision = responseRevision(m_epoch, m_state.revision);
        return answer;
    }

    void keepCopy(instant now)
    {
        m_copies.emplace_back(now, m_state);
        while (m_copies.front().first < now - CopyRetention)
            m_copies.pop_front();
    }

    state m_state;
    std::deque<std::pair<instant, state>> m_copies; // oldest first
    std::uint64_t m_epoch = 1;
    instant m_unavailableUntil;
    outage_kind m_outageKind = outage_kind::Rejecting;
};

} // namespace oriolepick
