#include "core/ticket_compaction.h"

#include "core/ticket_log.h"

#include <absl/strings/str_cat.h>

namespace oriolepick {

std::optional<snapshot_pointer> snapshot_pointer::parse(std::string_view text)
{
    const auto space = text.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    const auto last = parseTicketNumber(text.substr(0, space));
    const auto previous = parseTicketNumber(text.substr(space + 1));
    if (!last || !previous || *previous >= *last)
        return std::nullopt;
    return snapshot_pointer { *last, *previous };
}

std::string snapshotObjectName(ticket_number number)
{
    return absl::StrCat("snapshot/", absl::Dec(number, absl::kZeroPad12));
}

ticket_compaction::ticket_compaction(ticket_number number, std::string bytes, ticket_number ticketsPerSnapshot)
    : m_number(number)
    , m_bytes(std::move(bytes))
    , m_ticketsPerSnapshot(ticketsPerSnapshot)
    , m_action(read_pointer {})
{
}

void ticket_compaction::pointerRead(const result<std::optional<table_row>>& answer)
{
    if (!answer)
        return finish(answer.error());
    m_pointerRow = answer.value();
    if (m_pointerRow) {
        const auto parsed = snapshot_pointer::parse(m_pointerRow->value);
        if (!parsed)
            return finish(error { error_kind::Internal, "row snapshot-head holds '" + m_pointerRow->value + "'" });
        m_previousPointer = *parsed;
    }
    if (m_number < m_previousPointer.last + m_ticketsPerSnapshot)
        return finish(std::nullopt);
    m_action = put_snapshot { snapshotObjectName(m_number), std::move(m_bytes) };
}

void ticket_compaction::objectWritten(const result<void>& answer)
{
    if (!answer)
        return finish(answer.error());
    table_transaction transaction;
    const std::string key(SnapshotHeadKey);
    transaction.conditions.push_back({ key, m_pointerRow ? std::optional(m_pointerRow->version) : std::nullopt });
    transaction.writes.push_back({ key, snapshot_pointer { m_number, m_previousPointer.last }.text() });
    m_action = commit_rows { std::move(transaction) };
}

void ticket_compaction::committed(const result<table_outcome>& answer)
{
    if (!answer)
        return finish(answer.error());
    if (m_written) {
        m_action = list_rows {}; // a page of rows is gone; look for more
        return;
    }
    if (!answer.value().committed)
        return finish(std::nullopt); // another node moved the pointer first
    m_written = true;
    m_action = list_rows {};
}

void ticket_compaction::rowsListed(const result<std::vector<table_row>>& answer)
{
    if (!answer)
        return finish(answer.error());
    table_transaction removal;
    for (const auto& row : answer.value()) {
        const auto number = parseTicketNumber(std::string_view(row.key).substr(TicketRowPrefix.size()));
        if (number && *number <= m_previousPointer.last)
            removal.writes.push_back({ row.key, std::nullopt });
    }
    if (!removal.writes.empty())
        m_action = commit_rows { std::move(removal) };
    else if (m_previousPointer.previous)
        m_action = remove_snapshot { snapshotObjectName(m_previousPointer.previous) };
    else
        finish(std::nullopt);
}

void ticket_compaction::objectRemoved(const result<void>& answer)
{
    finish(answer ? std::nullopt : std::optional(answer.error()));
}

} // namespace oriolepick
