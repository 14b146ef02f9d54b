/// \file
/// The order of tickets in the platform's table: one accepted content for each number, and a resubmission of the same
/// content succeeds whatever happened to the first answer.
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

/// Parses a number written in decimal digits, as in the head rows.
std::optional<ticket_number> parseTicketNumber(std::string_view text);

/// The submission of one ticket as a state machine. It asks for one table operation at a time; run the operation, hand
/// the answer in and ask again until the action is submission_done.
class ticket_submission {
public:
    /// Read a row, then call rowRead().
    struct read_row {
        std::string key;
    };
    /// Validate the ticket against the fold of all tickets up to \c number, then call validated().
    struct validate_against {
        ticket_number number;
    };
    /// Commit, then call committed().
    struct commit_rows {
        table_transaction transaction;
    };
    /// The end. Accepted also if an earlier submission of the same content was.
    struct submission_done {
        std::optional<error> failure; ///< TicketInvalid, TicketNumberTaken, TicketNumberGap, or Platform…
        bool acceptedEarlier = false;
    };
    using action = std::variant<read_row, validate_against, commit_rows, submission_done>;

    /// \param number the ticket's number
    /// \param content its canonical text
    /// \param maxFailures unavailable or lost answers after which the submission gives up
    ticket_submission(ticket_number number, std::string content, int maxFailures = 8);

    /// \return what to do now; the same until an answer is handed in
    const action& next() const { return m_action; }

    void rowRead(const result<std::optional<table_row>>& answer);
    void validated(const std::vector<field_error>& errors);
    void committed(const result<table_outcome>& answer);

    /// \return the number that the next ticket must have, when the submission learned it
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
    bool m_numberTaken = false; ///< the row holds other content
    bool m_outcomeUnknown = false; ///< the answer to a commit was lost
    std::optional<table_row> m_head;
    std::optional<ticket_number> m_headNumber; ///< nothing before the head was read
    std::optional<ticket_number> m_validatedAt;
    std::optional<ticket_number> m_nextNumber;
};

} // namespace oriolepick
