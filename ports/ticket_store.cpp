#include "ports/ticket_store.h"

#include "core/ticket_compaction.h"
#include "core/ticket_log.h"
#include "ports/object_store.h"
#include "ports/table_service.h"

#include <algorithm>

namespace oriolepick {

namespace {

    constexpr std::size_t RowsPerRead = 500;
    constexpr std::size_t RowsPerRestore = 100;
    // A compaction may replace the snapshot between the read of the pointer and of the object.
    constexpr int SnapshotReadAttempts = 3;

} // namespace

ticket_store::ticket_store(table_service& table, object_store& objects, std::chrono::milliseconds timeout)
    : m_table(table)
    , m_objects(objects)
    , m_timeout(timeout)
{
}

result<store_version> ticket_store::readHead() const
{
    const auto epoch = m_table.epoch(); // an absent row has none; a lower one than the row's is safe
    const auto row = m_table.read(std::string(TicketHeadKey), m_timeout);
    if (!row)
        return row.error();
    if (!row.value())
        return store_version(epoch, 0);
    const auto number = parseTicketNumber(row.value()->value);
    if (!number)
        return error { error_kind::Internal, "row ticket-head holds '" + row.value()->value + "', not a number" };
    return store_version(row.value()->version.epoch(), *number);
}

result<ticket_batch> ticket_store::readRows(ticket_number after) const
{
    const auto rows = m_table.scan(std::string(TicketRowPrefix), ticketRowKey(after), RowsPerRead, m_timeout);
    if (!rows)
        return rows.error();
    ticket_batch batch;
    batch.first = after + 1;
    for (const auto& row : rows.value()) {
        if (row.key != ticketRowKey(batch.first + batch.tickets.size()))
            break;
        batch.tickets.push_back(row.value);
        batch.epoch = row.version.epoch();
    }
    return batch;
}

result<ticket_batch> ticket_store::readTail(ticket_number after, ticket_number upTo) const
{
    auto batch = readConsistently(after, upTo);
    // Rows that were read before and after a restore belong to two histories.
    if (batch && batch.value().epoch != m_table.epoch())
        batch = readConsistently(after, upTo);
    if (batch && batch.value().epoch < m_table.epoch())
        return error { error_kind::PlatformUnavailable, "the table came back from a copy during the read" };
    return batch;
}

result<ticket_batch> ticket_store::readConsistently(ticket_number after, ticket_number upTo) const
{
    const auto head = readHead();
    if (!head)
        return head.error();
    auto batch = readRows(after);
    if (batch && batch.value().tickets.empty() && head.value().number() > after)
        batch = readSnapshotAndRows(after, upTo);
    if (!batch)
        return batch;
    const bool mixed = !batch.value().tickets.empty() && batch.value().epoch != head.value().epoch();
    batch.value().headNumber
        = mixed ? head.value().number() : std::max(head.value().number(), batch.value().lastNumber());
    // An epoch below the table's makes the caller read again.
    batch.value().epoch = std::min(head.value().epoch(), mixed ? batch.value().epoch : head.value().epoch());
    return batch;
}

result<ticket_batch> ticket_store::readWhole() const
{
    auto batch = readTail(0);
    while (batch && batch.value().lastNumber() < batch.value().headNumber) {
        auto next = readTail(batch.value().lastNumber());
        if (!next)
            return next;
        if (next.value().epoch != batch.value().epoch || next.value().snapshotNumber || next.value().tickets.empty())
            return error { error_kind::PlatformUnavailable, "the ticket rows changed during the read; try again" };
        const auto& rows = next.value().tickets;
        batch.value().tickets.insert(batch.value().tickets.end(), rows.begin(), rows.end());
        batch.value().headNumber = next.value().headNumber;
    }
    if (batch)
        batch.value().replaces = true;
    return batch;
}

result<bool> ticket_store::restore(const store_version& head, const std::vector<std::string>& tickets)
{
    const auto row = m_table.read(std::string(TicketHeadKey), m_timeout);
    if (!row)
        return row.error();
    const auto number = row.value() ? parseTicketNumber(row.value()->value) : std::optional<ticket_number>(0);
    if (!number || *number != head.number() || (row.value() && row.value()->version.epoch() != head.epoch()))
        return false;
    std::optional<store_version> version;
    if (row.value())
        version = row.value()->version;
    for (std::size_t done = 0; done < tickets.size();) {
        table_transaction transaction;
        transaction.conditions.push_back({ std::string(TicketHeadKey), version });
        const auto end = std::min(done + RowsPerRestore, tickets.size());
        for (; done < end; ++done) {
            const auto key = ticketRowKey(head.number() + done + 1);
            transaction.conditions.push_back({ key, std::nullopt });
            transaction.writes.push_back({ key, tickets[done] });
        }
        transaction.writes.push_back({ std::string(TicketHeadKey), std::to_string(head.number() + done) });
        const auto outcome = m_table.commit(transaction, m_timeout);
        if (!outcome)
            return outcome.error();
        if (!outcome.value().committed || outcome.value().versions.empty())
            return outcome.value().committed && done == tickets.size();
        version = outcome.value().versions.back();
    }
    return true;
}

result<ticket_batch> ticket_store::readSnapshotAndRows(ticket_number after, ticket_number upTo) const
{
    for (int attempt = 0; attempt < SnapshotReadAttempts; ++attempt) {
        const auto row = m_table.read(std::string(SnapshotHeadKey), m_timeout);
        if (!row)
            return row.error();
        const auto pointer = row.value() ? snapshot_pointer::parse(row.value()->value) : std::nullopt;
        if (!pointer || pointer->last <= after)
            return error { error_kind::Internal, "ticket rows are missing and no snapshot covers them" };
        const auto number = pointer->last <= upTo ? pointer->last : pointer->previous;
        if (!number || number > upTo)
            return error { error_kind::BadRequest,
                "the state at " + std::to_string(upTo) + " is compacted; the oldest kept is "
                    + std::to_string(pointer->previous ? pointer->previous : pointer->last) };
        const auto object = m_objects.get(snapshotObjectName(number), m_timeout);
        if (!object)
            return object.error();
        if (!object.value())
            continue;
        auto batch = readRows(number);
        if (!batch)
            return batch;
        batch.value().snapshotNumber = number;
        batch.value().snapshot = *object.value();
        return batch;
    }
    return error { error_kind::PlatformUnavailable, "the snapshot is being replaced; try again" };
}

result<std::optional<std::string>> ticket_store::readTicket(ticket_number number) const
{
    const auto row = m_table.read(ticketRowKey(number), m_timeout);
    if (!row)
        return row.error();
    return row.value() ? std::optional(row.value()->value) : std::nullopt;
}

result<submission_report> ticket_store::submit(
    ticket_number number, const std::string& content, const validator& validate, const std::function<void()>& pause)
{
    ticket_submission submission(number, content);
    for (;;) {
        const auto& action = submission.next();
        if (const auto* done = std::get_if<ticket_submission::submission_done>(&action)) {
            if (done->failure)
                return *done->failure;
            return submission_report { done->acceptedEarlier };
        }
        if (const auto* read = std::get_if<ticket_submission::read_row>(&action)) {
            const auto row = m_table.read(read->key, m_timeout);
            if (!row)
                pause();
            submission.rowRead(row);
        } else if (const auto* commit = std::get_if<ticket_submission::commit_rows>(&action)) {
            const auto outcome = m_table.commit(commit->transaction, m_timeout);
            if (!outcome)
                pause();
            submission.committed(outcome);
        } else {
            const auto errors = validate(std::get<ticket_submission::validate_against>(action).number);
            if (!errors)
                return errors.error();
            submission.validated(errors.value());
        }
    }
}

result<bool> ticket_store::compact(ticket_number number, const std::string& snapshot, store_epoch epoch)
{
    const auto head = readHead();
    if (!head)
        return head.error();
    if (head.value().epoch() != epoch || head.value().number() < number)
        return false;
    ticket_compaction compaction(number, snapshot);
    for (;;) {
        const auto& action = compaction.next();
        if (const auto* done = std::get_if<ticket_compaction::compaction_done>(&action)) {
            if (done->failure)
                return *done->failure;
            return done->written;
        }
        if (std::holds_alternative<ticket_compaction::read_pointer>(action))
            compaction.pointerRead(m_table.read(std::string(SnapshotHeadKey), m_timeout));
        else if (const auto* put = std::get_if<ticket_compaction::put_snapshot>(&action))
            compaction.objectWritten(m_objects.put(put->name, put->bytes, m_timeout));
        else if (const auto* commit = std::get_if<ticket_compaction::commit_rows>(&action))
            compaction.committed(m_table.commit(commit->transaction, m_timeout));
        else if (std::holds_alternative<ticket_compaction::list_rows>(action))
            compaction.rowsListed(
                m_table.scan(std::string(TicketRowPrefix), "", ticket_compaction::RowsPerDeletion, m_timeout));
        else if (const auto* removal = std::get_if<ticket_compaction::remove_snapshot>(&action))
            compaction.objectRemoved(m_objects.remove(removal->name, m_timeout));
    }
}

} // namespace oriolepick
