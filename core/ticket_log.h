/// \file
/// Submission of tickets to the log in the platform's table. At most one content is accepted for each number, and
/// submitting the same content again succeeds even if the first response was lost.
#pragma once

#include "core/error.h"
#include "core/table_transaction.h"
#include "core/ticket.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolepick {

constexpr std::string_view TicketRowPrefix = "ticket/";
constexpr std::string_view TicketHeadKey = "ticket-head"; ///< value: the last accepted number

/// Parses a ticket number from decimal digits, as stored in the head rows.
std::optional<ticket_number> parseTicketNumber(std::string_view text);

/// State machine that submits one ticket. It requests one action at a time: run the action from next(), pass the result
/// to the method that the action names, and repeat until the action is submission_done.
class ticket_submission {
public:
    /// Read the row, then call rowRead().
    struct read_row {
        std::string key;
    };
    /// Validate the ticket against the state after ticket \c number, then call validated().
    struct validate_against {
        ticket_number number;
    };
    /// Commit the transaction, then call committed().
    struct commit_rows {
        table_transaction transaction;
    };
    /// The submission has ended. Without a failure the ticket is accepted, by this or an earlier submission.
    struct submission_done {
        std::optional<error> failure; ///< TicketInvalid, TicketNumberTaken, TicketNumberGap, Internal,
                                      ///< PlatformUnavailable or PlatformUnknown
        bool acceptedEarlier = false; ///< whether an earlier submission of the same content was accepted
    };
    using action = std::variant<read_row, validate_against, commit_rows, submission_done>;

    /// \param number the ticket's number
    /// \param content the ticket's canonical text
    /// \param maxFailures failed or lost table operations that are retried before the submission fails
    ticket_submission(ticket_number number, std::string content, int maxFailures = 8);

    /// \return the action to run; it stays the same until its result is passed in
    const action& next() const { return m_action; }

    void rowRead(const result<std::optional<table_row>>& answer);
    void validated(const std::vector<field_error>& errors);
    void committed(const result<table_outcome>& answer);

    /// \return the number of the next ticket, if the submission has read the head row
    std::optional<ticket_number> nextNumber() const { return m_nextNumber; }

private:
    void ticketRowRead(const std::optional<table_row>& row);
    void headRowRead(const std::optional<table_row>& row);
    void handleFailure(const error& failure);
    void requestTicketRow();
    void requestHeadRow();
    void requestCommit();
    void fail(error_kind kind, std::string message);

    ticket_number m_number;
    std::string m_content;
    int m_failuresLeft;
    action m_action;
    bool m_readingHead = false;
    bool m_numberTaken = false; ///< another ticket has this number
    bool m_outcomeUnknown = false; ///< the response to a commit was lost
    std::optional<table_row> m_head;
    std::optional<ticket_number> m_headNumber; ///< empty until the head row is read
    std::optional<ticket_number> m_validatedAt;
    std::optional<ticket_number> m_nextNumber;
};

} // namespace oriolepick
