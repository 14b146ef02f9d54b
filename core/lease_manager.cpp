#include "core/lease_manager.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace oriolepick {

namespace {

    /// The upper bits of a fencing number are the store's epoch in which it was granted, so that a number grows even
    /// when a restored row goes back. Targets read numbers as JSON, which keeps 53 bits.
    constexpr unsigned FencingBits = 32;

} // namespace

lease_manager::lease_manager(const std::string& group, std::string holder, lease_settings settings)
    : m_key("lease/" + group)
    , m_holder(std::move(holder))
    , m_settings(settings)
{
}

std::optional<lease_manager::lease_value> lease_manager::parseValue(const std::string& text)
{
    const auto space = text.find(' ');
    lease_value value;
    if (space == std::string::npos || !absl::SimpleAtoi(text.substr(space + 1), &value.fencing))
        return std::nullopt;
    value.holder = text.substr(0, space);
    return value;
}

std::optional<std::uint64_t> lease_manager::fencing(instant now) const
{
    if (now >= m_heldUntil)
        return std::nullopt;
    return m_value.fencing;
}

std::optional<lease_manager::action> lease_manager::wake(instant now)
{
    if (m_operationPending && now < m_operationExpiresAt)
        return std::nullopt;
    m_operationPending = true;
    m_operationExpiresAt = now + m_settings.renewEvery;
    // After a lost answer, the row shows whether the commit took effect.
    if (!m_rowKnown || m_mustRead)
        return read_row { m_key };
    // A restored table may have forgotten a lease that still runs, or show one that has passed to another node.
    const bool certain = (m_row ? m_value.fencing >> FencingBits : 0) == m_epoch;
    if (!m_row && certain)
        return makeCommit(now, 1);
    if (m_value.holder == m_holder && certain) {
        if (now < m_lastConfirmed + m_settings.renewEvery) {
            m_operationPending = false;
            return std::nullopt;
        }
        return makeCommit(now, m_value.fencing);
    }
    if (now >= m_unchangedSince + m_settings.duration)
        return makeCommit(now, std::max(m_value.fencing, m_epoch << FencingBits) + 1);
    return read_row { m_key };
}

lease_manager::action lease_manager::makeCommit(instant now, std::uint64_t fencing)
{
    if (!m_commitSentAt)
        m_commitSentAt = now;
    m_lastSentAt = now;
    m_commitFencing = fencing;
    table_transaction transaction;
    transaction.conditions.push_back({ m_key, m_row ? std::optional(m_row->version) : std::nullopt });
    transaction.writes.push_back({ m_key, m_holder + " " + std::to_string(fencing) });
    return commit_rows { std::move(transaction) };
}

void lease_manager::rowRead(instant now, const result<std::optional<table_row>>& answer, store_epoch epoch)
{
    m_operationPending = false;
    if (!answer)
        return;
    const auto& row = answer.value();
    const auto rowEpoch = row ? row->version.epoch() : epoch;
    const bool changed = !m_rowKnown || rowEpoch != m_epoch || row.has_value() != m_row.has_value()
        || (row && row->version != m_row->version);
    const auto value = row ? parseValue(row->value) : std::nullopt;
    if (row && !value)
        return; // malformed lease: must not be taken over
    const bool ownRow = value && value->holder == m_holder && value->fencing >> FencingBits == rowEpoch;
    if (changed) {
        m_unchangedSince = now;
        if (!ownRow)
            m_heldUntil = {};
        else if (m_commitSentAt) {
            // One of the unanswered commits took effect; assuming the earliest gives a safe end of the lease.
            m_lastConfirmed = *m_commitSentAt;
            m_heldUntil = m_lastConfirmed + m_settings.duration - m_settings.safetyMargin;
        }
        m_commitSentAt.reset();
    }
    m_mustRead = false;
    m_rowKnown = true;
    m_row = row;
    m_epoch = rowEpoch;
    m_value = value.value_or(lease_value {});
}

void lease_manager::committed(instant now, const result<table_outcome>& answer)
{
    m_operationPending = false;
    const bool earlierCommitUnresolved = m_commitSentAt != m_lastSentAt;
    if (!answer) {
        m_mustRead = true; // the row shows whether the commit took effect; an error without effect costs one extra read
        return;
    }
    if (!answer.value().committed) {
        // The row was written by another node, or by an earlier commit of this node whose answer was lost. Only the
        // latter counts as a write of this node.
        if (!earlierCommitUnresolved)
            m_commitSentAt.reset();
        m_mustRead = true;
        return;
    }
    const auto& versions = answer.value().versions;
    if (!versions.empty() && versions.front().epoch() != m_epoch) {
        m_mustRead = true; // an insertion has no version as its condition and took effect after a restore
        return;
    }
    const bool inserted = !m_row;
    m_row = table_row { m_key, m_holder + " " + std::to_string(m_commitFencing),
        m_row ? m_row->version.next() : store_version(m_epoch, 1) };
    m_value = { m_holder, m_commitFencing };
    m_unchangedSince = now;
    m_lastConfirmed = *m_commitSentAt;
    m_heldUntil = m_lastConfirmed + m_settings.duration - m_settings.safetyMargin;
    m_commitSentAt.reset();
    m_mustRead = inserted; // the table chooses the first version of a row
}

} // namespace oriolepick
