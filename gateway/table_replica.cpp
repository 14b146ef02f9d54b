#include "gateway/table_replica.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <string_view>

namespace oriolepick {

namespace {

    // Returns the last row of each key, so that a row that was removed and added again counts as one change.
    std::vector<stored_row> lastOfEachKey(std::vector<stored_row> rows)
    {
        if (rows.size() < 2)
            return rows;
        std::set<std::string_view> seen;
        std::vector<stored_row> last;
        for (auto row = rows.rbegin(); row != rows.rend(); ++row) {
            if (seen.insert(row->key).second)
                last.push_back(*row);
        }
        std::reverse(last.begin(), last.end());
        return last;
    }

} // namespace

table_replica::table_replica(row_classifier classify, row_version versionOf, revision_condition keepsRevision)
    : m_classify(std::move(classify))
    , m_versionOf(std::move(versionOf))
    , m_keepsRevision(std::move(keepsRevision))
{
}

row_effect table_replica::effectOf(const stored_row& row, const std::optional<std::uint64_t>& version) const
{
    if (const auto held = heldVersionOf(row.key)) {
        if (row.removed || (version && *version < *held))
            return row_effect::Outdated;
    } else if (m_classify && m_loaded) {
        return m_classify(row);
    }
    return hasChanged(row) ? row_effect::Update : row_effect::Renewal;
}

// A row read from the store. One that follows an outdated row in its place is an update, so that nodes which know the
// outdated one only receive it. Versions order rows with versions at all nodes.
row_effect table_replica::effectOfRead(const stored_row& row, const std::optional<std::uint64_t>& version)
{
    const auto effect = effectOf(row, version);
    if (effect == row_effect::Outdated) {
        if (m_rows.count(row.key) && !heldVersionOf(row.key))
            m_overwritten.insert(row.key);
        return effect;
    }
    const bool follows = m_overwritten.erase(row.key) != 0;
    return follows && effect == row_effect::Renewal ? row_effect::Update : effect;
}

bool table_replica::isOutdatedHere(const stored_row& row) const
{
    return m_loaded && m_classify && !row.removed && m_classify(row) == row_effect::Outdated;
}

// An update of another node is one here too, although this node may see no difference: it may know less than the nodes
// that pull the row from here.
row_effect table_replica::effectOfPulled(
    const stored_row& row, const std::optional<std::uint64_t>& version, bool mayBeOutdated)
{
    const bool isVersioned = heldVersionOf(row.key).has_value();
    if ((isVersioned || mayBeOutdated) && effectOf(row, version) == row_effect::Outdated)
        return row_effect::Outdated;
    if (!isVersioned && isOutdatedHere(row))
        m_overwritten.insert(row.key);
    else
        m_overwritten.erase(row.key);
    return row_effect::Update;
}

std::optional<std::uint64_t> table_replica::versionOf(const stored_row& row) const
{
    if (!m_versionOf)
        return std::nullopt;
    const auto held = m_rows.find(row.key);
    return held != m_rows.end() && held->second.value == row.value ? held->second.version : m_versionOf(row);
}

std::optional<std::uint64_t> table_replica::heldVersionOf(const std::string& key) const
{
    const auto held = m_rows.find(key);
    return held == m_rows.end() ? std::nullopt : held->second.version;
}

bool table_replica::hasChanged(const stored_row& row) const
{
    const auto known = m_rows.find(row.key);
    return known == m_rows.end() || row.removed || known->second.value != row.value
        || known->second.revision != keptRevision(row);
}

std::vector<stored_row> table_replica::replaceAll(const std::vector<stored_row>& rows,
    const store_version& readRevision, const std::optional<content_revision>& pulledRevision)
{
    const bool first = !m_loaded;
    const bool restored = !first && readRevision.epoch() > m_readRevision.epoch();
    std::set<std::string> present;
    std::vector<stored_row> updates;
    std::vector<std::optional<std::uint64_t>> versions; // of the updates
    for (const auto& row : rows) {
        if (row.removed && !m_rows.count(row.key)) {
            store(kept(row), std::nullopt, readRevision);
            continue;
        }
        if (row.removed)
            continue;
        present.insert(row.key);
        const auto version = versionOf(row);
        const auto effect = pulledRevision ? effectOfPulled(row, version, restored) : effectOfRead(row, version);
        if (effect == row_effect::Update && (!pulledRevision || hasChanged(row))) {
            updates.push_back(kept(row));
            versions.push_back(version);
        } else if (effect == row_effect::Renewal) {
            store(row, version, readRevision);
        }
    }
    for (const auto& [key, held] : m_rows) {
        if (!present.count(key) && !held.version)
            updates.push_back({ key, held.value, true, held.revision });
    }
    versions.resize(updates.size());
    for (std::size_t index = 0; index < updates.size(); ++index)
        store(updates[index], versions[index], readRevision);
    m_loaded = true;
    const auto lastKnown = m_readRevision;
    m_readRevision = std::max(m_readRevision, readRevision);
    if (first || restored) {
        startHistory(revisionOf(updates, pulledRevision));
    } else {
        appendIfAny(updates, pulledRevision);
        recordGap(lastKnown);
    }
    return updates;
}

std::vector<stored_row> table_replica::applyChanges(const std::vector<stored_row>& rows,
    const store_version& readRevision, const std::optional<content_revision>& pulledRevision, const row_listener& apply)
{
    std::vector<stored_row> updates;
    for (const auto& row : rows) {
        if (!pulledRevision && isFormerRemoval(row, readRevision))
            continue;
        const auto version = row.removed ? std::nullopt : versionOf(row);
        const auto effect = pulledRevision ? effectOfPulled(row, version, false) : effectOfRead(row, version);
        if (effect == row_effect::Outdated)
            continue;
        const auto applied = kept(row);
        store(applied, version,
            pulledRevision ? pulledRevision->stored : store_version { readRevision.epoch(), row.revision });
        if (effect == row_effect::Update)
            updates.push_back(applied);
        if (apply)
            apply(applied);
    }
    updates = lastOfEachKey(std::move(updates));
    m_readRevision = std::max(m_readRevision, readRevision);
    appendIfAny(updates, pulledRevision);
    return updates;
}

// Returns whether the removal came before the row that this node holds, which another node has sent while the changes
// were read: the target has started again since.
bool table_replica::isFormerRemoval(const stored_row& row, const store_version& readRevision) const
{
    const auto held = m_rows.find(row.key);
    return row.removed && row.revision && held != m_rows.end()
        && store_version { readRevision.epoch(), row.revision } <= held->second.seenAt;
}

std::uint64_t table_replica::keptRevision(const stored_row& row) const
{
    return m_keepsRevision && m_keepsRevision(row) ? row.revision : 0;
}

// Returns the row as it is kept: a removed row with the last value that is known.
stored_row table_replica::kept(const stored_row& row) const
{
    const auto known = m_rows.find(row.key);
    const bool lacksValue = row.removed && row.value.empty() && known != m_rows.end();
    return { row.key, lacksValue ? known->second.value : row.value, row.removed, keptRevision(row) };
}

// \param seenAt revision of the store as of which the row is known
void table_replica::store(
    const stored_row& row, const std::optional<std::uint64_t>& version, const store_version& seenAt)
{
    m_removals.erase(std::remove_if(m_removals.begin(), m_removals.end(),
                         [&row](const stored_row& removal) { return removal.key == row.key; }),
        m_removals.end());
    if (row.removed) {
        m_rows.erase(row.key);
        m_overwritten.erase(row.key);
        recordRemoval(row);
    } else {
        m_rows[row.key] = { row.value, version, keptRevision(row), seenAt };
    }
}

void table_replica::recordRemoval(const stored_row& row)
{
    m_removals.push_back(row);
    if (m_removals.size() > MaxRemovals)
        m_removals.pop_front();
}

content_revision table_replica::revisionOf(
    const std::vector<stored_row>& updates, const std::optional<content_revision>& pulledRevision) const
{
    auto revision = pulledRevision.value_or(content_revision { m_changeRevision.version, m_readRevision });
    for (const auto& row : updates)
        revision.version = std::max(revision.version, versionOf(row).value_or(0));
    return revision;
}

void table_replica::appendIfAny(
    const std::vector<stored_row>& updates, const std::optional<content_revision>& pulledRevision)
{
    if (!updates.empty())
        append(updates, revisionOf(updates, pulledRevision));
    else if (pulledRevision)
        m_changeRevision = std::max(m_changeRevision, *pulledRevision); // the same updates, read at another revision
}

void table_replica::adoptRevision(const content_revision& changeRevision)
{
    m_changeRevision = std::max(m_changeRevision, changeRevision);
    m_readRevision = std::max(m_readRevision, changeRevision.stored);
}

// Discards the history: nodes that hold an earlier state need the whole table.
void table_replica::startHistory(const content_revision& revision)
{
    m_changeRevision = std::max(m_changeRevision, revision);
    m_historyFrom = m_changeRevision;
    m_history.clear();
    m_historyRows = 0;
    m_gap.reset();
    ++m_updates;
}

// The updates of a replaced table are what differs from the last known state. A node that knows a state in between may
// hold a row that came and went since.
void table_replica::recordGap(const store_version& lastKnown)
{
    const auto end = m_changeRevision.stored;
    if (lastKnown >= end)
        return;
    const bool isOpen = m_gap && m_gap->second > m_historyFrom.stored;
    m_gap = { isOpen ? std::min(m_gap->first, lastKnown) : lastKnown, end };
}

bool table_replica::hasUpdatesAfter(const content_revision& revision) const
{
    const bool isInGap = m_gap && revision.stored > m_gap->first && revision.stored < m_gap->second;
    return revision >= m_historyFrom && !isInGap;
}

void table_replica::append(std::vector<stored_row> rows, const content_revision& revision)
{
    m_changeRevision = std::max(m_changeRevision, revision);
    m_historyRows += rows.size();
    ++m_updates;
    if (m_versionOf)
        releaseReplaced(rows);
    const auto changes = rows.size();
    m_history.push_back({ m_changeRevision, changes, std::move(rows) });
    while (m_historyRows > std::max(m_rows.size(), MinHistoryRows)) {
        m_historyFrom = m_history.front().revision;
        m_historyRows -= m_history.front().changes;
        m_history.pop_front();
    }
}

// Nodes get only the last row of each key.
void table_replica::releaseReplaced(const std::vector<stored_row>& rows)
{
    const auto isReplaced = [&rows](const stored_row& earlier) {
        return std::any_of(
            rows.begin(), rows.end(), [&earlier](const stored_row& row) { return row.key == earlier.key; });
    };
    for (auto& batch : m_history)
        batch.rows.erase(std::remove_if(batch.rows.begin(), batch.rows.end(), isReplaced), batch.rows.end());
}

std::size_t table_replica::valueBytes() const
{
    const auto bytesOf = [](const auto& rows) {
        return std::accumulate(rows.begin(), rows.end(), std::size_t { 0 },
            [](std::size_t bytes, const stored_row& row) { return bytes + row.value.size(); });
    };
    auto bytes = bytesOf(m_removals);
    for (const auto& [key, held] : m_rows)
        bytes += held.value.size();
    for (const auto& batch : m_history)
        bytes += bytesOf(batch.rows);
    return bytes;
}

news_batch table_replica::changesAfter(const std::optional<content_revision>& changeRevision) const
{
    news_batch answer;
    answer.changeRevision = m_changeRevision;
    answer.readRevision = m_readRevision;
    if (changeRevision && hasUpdatesAfter(*changeRevision)) {
        for (const auto& batch : m_history) {
            if (batch.revision > *changeRevision)
                answer.rows.insert(answer.rows.end(), batch.rows.begin(), batch.rows.end());
        }
        answer.rows = lastOfEachKey(std::move(answer.rows));
        return answer;
    }
    answer.whole = true;
    for (const auto& [key, held] : m_rows)
        answer.rows.push_back({ key, held.value, false, held.revision });
    answer.rows.insert(answer.rows.end(), m_removals.begin(), m_removals.end());
    return answer;
}

} // namespace oriolepick
