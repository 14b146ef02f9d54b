#include "core/ticket_log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolepick {

std::optional<ticket_number> parseTicketNumber(std::string_view text)
{
    ticket_number number = 0;
    const bool digits
        = std::all_of(text.begin(), text.end(), [](char letter) { return letter >= '0' && letter <= '9'; });
    if (text.empty() || !digits || !absl::SimpleAtoi(std::string(text), &number))
        return std::nullopt;
    return number;
}

ticket_submission::ticket_submission(ticket_number number, std::string content, int maxFailures)
    : m_number(number)
    , m_content(std::move(content))
    , m_failuresLeft(maxFailures)
{
    requestTicketRow();
}

void ticket_submission::rowRead(const result<std::optional<table_row>>& answer)
{
    if (!answer)
        return handleFailure(answer.error());
    if (m_readingHead)
        headRowRead(answer.value());
    else
        ticketRowRead(answer.value());
}

void ticket_submission::ticketRowRead(const std::optional<table_row>& row)
{
    if (row && row->value == m_content) {
        m_action = submission_done { std::nullopt, !m_outcomeUnknown };
        return;
    }
    if (row) {
        m_numberTaken = true;
        return requestHeadRow();
    }
    if (m_headNumber && *m_headNumber >= m_number) {
        // The head is past the number and the row is absent: a snapshot covers it. Its content can't be compared.
        return fail(error_kind::TicketNumberTaken,
            absl::StrCat("ticket ", m_number, ": the number is old and its row is compacted; the next number is ",
                *m_nextNumber));
    }
    requestHeadRow();
}

void ticket_submission::headRowRead(const std::optional<table_row>& row)
{
    const auto parsed = row ? parseTicketNumber(row->value) : std::optional<ticket_number>(0);
    if (!parsed)
        return fail(error_kind::Internal, absl::StrCat("row ticket-head holds '", row->value, "', not a number"));
    m_head = row;
    m_headNumber = parsed;
    m_nextNumber = *parsed + 1;
    if (m_numberTaken)
        return fail(error_kind::TicketNumberTaken,
            absl::StrCat("ticket ", m_number, ": another ticket was accepted under this number; the next number is ",
                *m_nextNumber));
    if (m_number > *m_nextNumber)
        return fail(error_kind::TicketNumberGap,
            absl::StrCat("ticket ", m_number, ": the number is not the next one; the next number is ", *m_nextNumber));
    if (m_number < *m_nextNumber)
        return requestTicketRow(); // accepted between the two reads, or compacted: the row decides
    if (m_validatedAt == m_headNumber)
        return requestCommit();
    m_action = validate_against { *m_headNumber };
}

void ticket_submission::validated(const std::vector<field_error>& errors)
{
    if (!errors.empty())
        return fail(error_kind::TicketInvalid, absl::StrCat("ticket ", m_number, ": ", toString(errors)));
    m_validatedAt = m_headNumber;
    requestCommit();
}

void ticket_submission::committed(const result<table_outcome>& answer)
{
    if (!answer) {
        m_outcomeUnknown = m_outcomeUnknown || answer.error().kind != error_kind::PlatformUnavailable;
        handleFailure(answer.error());
        // The row tells whether a lost commit took effect. A commit still in flight is met by the conditional commit
        // that follows an absent row: one of the two fails.
        if (!std::holds_alternative<submission_done>(m_action))
            requestTicketRow();
        return;
    }
    if (answer.value().committed)
        m_action = submission_done {};
    else
        requestTicketRow();
}

void ticket_submission::handleFailure(const error& failure)
{
    if (m_failuresLeft-- > 0)
        return;
    if (m_outcomeUnknown)
        return fail(error_kind::PlatformUnknown,
            absl::StrCat("ticket ", m_number,
                ": the platform's answer was lost and the ticket may be accepted; submit ", "the same ticket again (",
                failure.message, ")"));
    fail(error_kind::PlatformUnavailable,
        absl::StrCat("ticket ", m_number,
            ": the platform cannot be reached and this submission had no effect; submit the same ticket again later (",
            failure.message, ")"));
}

void ticket_submission::requestTicketRow()
{
    m_readingHead = false;
    m_action = read_row { ticketRowKey(m_number) };
}

void ticket_submission::requestHeadRow()
{
    m_readingHead = true;
    m_action = read_row { std::string(TicketHeadKey) };
}

void ticket_submission::requestCommit()
{
    table_transaction transaction;
    transaction.conditions.push_back({ ticketRowKey(m_number), std::nullopt });
    transaction.conditions.push_back(
        { std::string(TicketHeadKey), m_head ? std::optional(m_head->version) : std::nullopt });
    transaction.writes.push_back({ ticketRowKey(m_number), m_content });
    transaction.writes.push_back({ std::string(TicketHeadKey), std::to_string(m_number) });
    m_action = commit_rows { std::move(transaction) };
}

void ticket_submission::fail(error_kind kind, std::string message)
{
    m_action = submission_done { error { kind, std::move(message) }, false };
}

} // namespace oriolepick
