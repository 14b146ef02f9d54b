/// \file
/// Operators that race for ticket numbers, for ticket_world: each submission advances by single table operations.
#pragma once

#include "config/ticket_json.h"
#include "core/fleet_state.h"
#include "core/ticket_log.h"
#include "core/ticket_validation.h"
#include "standins/fake_table.h"

#include <rapidcheck.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolepick {

class racing_operators {
public:
    static constexpr unsigned Count = 3;
    static constexpr unsigned HealthyAnswer = 7;

    explicit racing_operators(fake_table& table)
        : m_table(table)
    {
    }

    bool busy(unsigned index) const { return m_operators[index % Count].submission.has_value(); }
    const std::map<ticket_number, std::string>& acknowledged() const { return m_acknowledged; }
    /// Tickets that a definite refusal promised never to accept.
    const std::vector<std::pair<ticket_number, std::string>>& refused() const { return m_refused; }

    /// \param next the number that follows the accepted tickets
    void start(unsigned first, unsigned second, ticket_number next)
    {
        auto& who = m_operators[first % Count];
        if (who.submission)
            return;
        if (!who.resubmit) {
            // Mostly the next number as this operator sees it, sometimes an old one or one with a gap.
            who.number = second % 8 == 0 ? 1 + second % (next + 2) : next;
            who.content = contentFor(who.number, second);
            who.mayBeAccepted = false;
        }
        who.resubmit = false;
        who.submission.emplace(who.number, who.content, 4);
    }

    /// Runs one operation of a submission; \p second chooses a fault.
    void advance(unsigned first, unsigned second, bool platformDown,
        const std::vector<std::shared_ptr<const fleet_state>>& folds)
    {
        auto& who = m_operators[first % Count];
        if (!who.submission)
            return;
        auto& submission = *who.submission;
        const auto& action = submission.next();
        if (const auto* read = std::get_if<ticket_submission::read_row>(&action)) {
            platform_faults faults;
            faults.down = platformDown || second % 7 == 1;
            m_table.setFaults(faults);
            submission.rowRead(m_table.read(read->key, Timeout));
        } else if (const auto* commit = std::get_if<ticket_submission::commit_rows>(&action)) {
            platform_faults faults;
            faults.down = platformDown || second % 7 == 1;
            faults.loseResponses = second % 7 == 2 ? 1 : 0;
            if (second % 7 == 3)
                faults.delayBefore = std::chrono::milliseconds(1);
            m_table.setFaults(faults);
            submission.committed(m_table.commit(commit->transaction, Timeout));
        } else if (const auto* validation = std::get_if<ticket_submission::validate_against>(&action))
            submission.validated(validate(*parseTicket(who.content).value, *folds.at(validation->number)));
        m_table.setFaults({});
        if (const auto* done = std::get_if<ticket_submission::submission_done>(&submission.next()))
            finish(who, done->failure);
    }

private:
    static constexpr std::chrono::milliseconds Timeout { 1000 };

    struct world_operator {
        std::optional<ticket_submission> submission;
        ticket_number number = 0;
        std::string content;
        bool resubmit = false; ///< the last answer was unknown: the operator files the same ticket again
        bool mayBeAccepted = false; ///< an earlier submission of this content ended unknown
    };

    // Tickets: several policies of two fleets change together, so that a partly applied ticket shows.
    std::string contentFor(ticket_number number, unsigned chance)
    {
        ticket change;
        change.number = number;
        change.operatorName = "operator";
        change.note = "submission " + std::to_string(++m_submissions); // makes every content unique
        if (number == 1) {
            for (const auto* fleet : { "one", "two" })
                change.objects.push_back({ { object_kind::Fleet, fleet_name(fleet), fleet },
                    fleet_settings { fleet, { availability_zone("a") }, 6 } });
        }
        const unsigned count = 2 + chance % 2;
        for (unsigned index = 0; index < count; ++index) {
            ticket_object object { { object_kind::Policy, fleet_name((chance + index) % 2 ? "one" : "two"),
                                       "p" + std::to_string((chance / 2 + index) % 3) },
                std::nullopt };
            if ((chance >> (4 + index)) % 4 || number == 1)
                object.state = policy_settings { resume_strategy::Waiting, std::chrono::milliseconds(1 + chance % 50),
                    std::chrono::milliseconds(1000), static_cast<double>(m_submissions % 100), 0.1 };
            change.objects.push_back(std::move(object));
        }
        return encodeTicket(change);
    }

    void finish(world_operator& who, const std::optional<error>& failure)
    {
        if (!failure) {
            const auto [entry, added] = m_acknowledged.emplace(who.number, who.content);
            RC_ASSERT((added || entry->second == who.content));
        } else if (errorResponseFor(failure->kind).run != run_state::NotRun) {
            who.resubmit = true;
            who.mayBeAccepted = true;
        } else if (failure->kind == error_kind::PlatformUnavailable && who.mayBeAccepted) {
            who.resubmit = true; // this submission had no effect, but the earlier one may have had
        } else
            m_refused.emplace_back(who.number, who.content);
        who.submission.reset();
    }

    fake_table& m_table;
    std::array<world_operator, Count> m_operators;
    unsigned m_submissions = 0;
    std::map<ticket_number, std::string> m_acknowledged;
    std::vector<std::pair<ticket_number, std::string>> m_refused;
};

} // namespace oriolepick
