#include "tool/burn_report.h"

#include "tool/event_timeline.h"

#include <algorithm>
#include <set>

namespace oriolepick {

namespace {

    constexpr double BudgetTolerance = 1e-9; ///< below it a share such as 1 - 0.999999999999 counts as no budget

    using step_list = std::vector<const event_step*>;

    double badOf(const event_totals& events, const service_objective& objective)
    {
        if (isShare(objective.metric) || objective.metric == objective_metric::TicketDelayMs)
            return events.bad;
        return events.badBeyond(objective.limitMs);
    }

    double burnRate(const event_range& range, const service_objective& objective)
    {
        if (range.bad <= 0 || range.total + range.bad <= 0)
            return 0;
        const double budget = 1 - objective.share;
        if (budget < BudgetTolerance || range.total <= 0)
            return BurnWithoutBudget;
        return std::min(BurnWithoutBudget, range.bad / range.total / budget);
    }

    event_range eventsWithin(const step_list& steps, const service_objective& objective, wall_time begin, wall_time end)
    {
        event_range range;
        for (const auto* step : steps) {
            const double share = step->shareWithin(begin, end);
            if (share <= 0)
                continue;
            range.total += share * step->events.total;
            range.bad += share * badOf(step->events, objective);
        }
        range.burn = burnRate(range, objective);
        return range;
    }

    double burnOver(const burn_row& row, std::chrono::seconds window)
    {
        const auto found = std::find(BurnWindows.begin(), BurnWindows.end(), window);
        return row.windows.at(static_cast<std::size_t>(found - BurnWindows.begin())).burn;
    }

    /// Sums up steps by priority and over all priorities of a deployment, and calculates the rows.
    class report_builder {
    public:
        report_builder(burn_report& report, const std::vector<service_objective>& declared)
            : m_report(report)
            , m_declared(declared)
        {
        }

        void addCounters(const event_timeline& timeline)
        {
            std::map<event_series, step_list> sums;
            for (const auto& [series, steps] : timeline.steps) {
                auto whole = series;
                whole.priority = AllLabel;
                for (auto* list : { &sums[series], series.priority == AllLabel ? nullptr : &sums[whole] }) {
                    for (const auto& step : steps) {
                        if (list)
                            list->push_back(&step);
                    }
                }
            }
            for (const auto& [series, steps] : sums) {
                for (const auto& objective : objectivesFor(series.metric, series.fleet, series.deployment, m_declared))
                    addRow(series, objective, steps);
            }
        }

        /// Ticket numbers belong to all fleets, so the objectives of all fleets measure the same events.
        void addTickets(const std::vector<node_scrape>& scrapes)
        {
            std::vector<service_objective> objectives;
            for (const auto& objective : m_declared) {
                if (objective.metric == objective_metric::TicketDelayMs)
                    objectives.push_back(objective);
            }
            if (objectives.empty())
                objectives = objectivesFor(objective_metric::TicketDelayMs, AllLabel, AllLabel, {});
            for (const auto& objective : objectives) {
                const auto steps
                    = ticketSteps(scrapes, std::chrono::milliseconds(static_cast<std::int64_t>(objective.limitMs)));
                if (steps.empty())
                    continue;
                step_list list;
                for (const auto& step : steps)
                    list.push_back(&step);
                event_series series { objective_metric::TicketDelayMs };
                if (!objective.fleet.empty())
                    series.fleet = objective.fleet;
                addRow(series, objective, list);
            }
        }

    private:
        void addRow(const event_series& series, const service_objective& objective, const step_list& steps)
        {
            burn_row row { objective, series.fleet, series.deployment, series.priority, {}, 1, {}, {}, {} };
            const auto end = m_report.to;
            row.period = eventsWithin(steps, objective, end - m_report.period, end);
            row.budgetLeft = 1 - row.period.burn;
            for (std::size_t index = 0; index < BurnWindows.size(); ++index)
                row.windows.at(index) = eventsWithin(steps, objective, end - BurnWindows.at(index), end);
            const auto part = (end - m_report.from) / static_cast<int>(HistoryParts);
            for (std::size_t index = 0; index < HistoryParts; ++index) {
                const auto begin = m_report.from + part * static_cast<int>(index);
                row.history.at(index) = eventsWithin(steps, objective, begin, begin + part).burn;
            }
            for (const auto& rule : AlertRules) {
                if (burnOver(row, rule.shortWindow) > rule.factor && burnOver(row, rule.longWindow) > rule.factor)
                    row.firing.push_back(rule);
            }
            m_report.rows.push_back(std::move(row));
        }

        burn_report& m_report;
        const std::vector<service_objective>& m_declared;
    };

} // namespace

bool burn_report::firing() const
{
    return std::any_of(rows.begin(), rows.end(), [](const burn_row& row) { return !row.firing.empty(); });
}

burn_report calculateBurn(
    std::vector<node_scrape> scrapes, const std::vector<service_objective>& declared, std::chrono::seconds period)
{
    std::stable_sort(scrapes.begin(), scrapes.end(),
        [](const node_scrape& left, const node_scrape& right) { return left.at < right.at; });
    burn_report report;
    report.period = period;
    report.scrapes = scrapes.size();
    if (scrapes.empty())
        return report;
    report.from = scrapes.front().at;
    report.to = scrapes.back().at;
    std::set<std::string> nodes;
    for (const auto& scrape : scrapes)
        nodes.insert(scrape.node);
    report.nodes = nodes.size();
    const auto timeline = timelineOf(scrapes);
    report.restarts = timeline.restarts;
    report_builder builder(report, declared);
    builder.addCounters(timeline);
    builder.addTickets(scrapes);
    return report;
}

} // namespace oriolepick
