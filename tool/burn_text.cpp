#include "tool/burn_text.h"

#include "tool/burn_report.h"

#include <absl/strings/str_format.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    using nlohmann::json;

    constexpr double Percent = 100;

    long unixSeconds(wall_time at)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
    }

    json rangeJson(const event_range& range)
    {
        return { { "total", range.total }, { "bad", range.bad }, { "good", range.total - range.bad },
            { "burn", range.burn } };
    }

    json rowJson(const burn_row& row)
    {
        json shown { { "objective", objectiveTitle(row.objective.metric) }, { "declared_by", row.objective.name },
            { "goal", { { "share", row.objective.share } } }, { "fleet", row.fleet }, { "deployment", row.deployment },
            { "priority", row.priority }, { "period", rangeJson(row.period) }, { "budget_left", row.budgetLeft },
            { "alerts", json::array() } };
        if (row.objective.limitMs > 0)
            shown["goal"]["limit_ms"] = row.objective.limitMs;
        for (std::size_t index = 0; index < BurnWindows.size(); ++index) {
            auto window = rangeJson(row.windows.at(index));
            window["seconds"] = BurnWindows.at(index).count();
            shown["windows"].push_back(std::move(window));
        }
        for (const auto& rule : row.firing)
            shown["alerts"].push_back(rule.name);
        return shown;
    }

} // namespace

std::string goalText(const service_objective& objective)
{
    auto share = absl::StrFormat("%.6g%%", objective.share * Percent);
    if (objective.limitMs > 0)
        return share + absl::StrFormat(" within %.6g ms", objective.limitMs);
    return share;
}

std::string burnText(double burn)
{
    if (burn >= BurnWithoutBudget)
        return "no budget";
    return burn >= Percent ? absl::StrFormat("%.0f", burn) : absl::StrFormat("%.2f", burn);
}

std::string windowText(long seconds)
{
    constexpr long Minute = 60;
    constexpr long Hour = 3600;
    constexpr long Day = 86'400;
    if (seconds >= Day && seconds % Day == 0)
        return std::to_string(seconds / Day) + " d";
    if (seconds >= Hour && seconds % Hour == 0)
        return std::to_string(seconds / Hour) + " h";
    return seconds >= Minute ? std::to_string(seconds / Minute) + " min" : std::to_string(seconds) + " s";
}

std::string timeText(long unixSeconds)
{
    return absl::FormatTime("%Y-%m-%d %H:%M:%S UTC", absl::FromUnixSeconds(unixSeconds), absl::UTCTimeZone());
}

std::string burnTable(const burn_report& report)
{
    std::string text = absl::StrFormat("%d scrapes of %d nodes, %s to %s, %d restarts seen\n", report.scrapes,
        report.nodes, timeText(unixSeconds(report.from)), timeText(unixSeconds(report.to)), report.restarts);
    for (const auto& row : report.rows) {
        for (const auto& rule : row.firing)
            text += absl::StrFormat("PAGE %s: %s, %s/%s, priority %s: above %g times over %s and %s\n", rule.name,
                objectiveTitle(row.objective.metric), row.fleet, row.deployment, row.priority, rule.factor,
                windowText(rule.shortWindow.count()), windowText(rule.longWindow.count()));
    }
    if (!report.firing())
        text += "no alert\n";
    text += absl::StrFormat("\n%-18s %-26s %-8s %-21s %12s %10s %9s", "objective", "fleet/deployment", "priority",
        "goal", "events", "bad", "budget");
    for (const auto& window : BurnWindows)
        text += absl::StrFormat(" %9s", windowText(window.count()));
    text += "\n";
    for (const auto& row : report.rows) {
        text += absl::StrFormat("%-18s %-26s %-8s %-21s %12.0f %10.1f %9s", objectiveTitle(row.objective.metric),
            row.fleet + "/" + row.deployment, row.priority, goalText(row.objective), row.period.total, row.period.bad,
            row.budgetLeft <= -Percent ? "overdrawn" : absl::StrFormat("%.1f%%", row.budgetLeft * Percent));
        for (const auto& window : row.windows)
            text += absl::StrFormat(" %9s", window.total > 0 || window.bad > 0 ? burnText(window.burn) : "-");
        text += "\n";
    }
    return text;
}

std::string burnJson(const burn_report& report)
{
    json shown { { "from", unixSeconds(report.from) }, { "to", unixSeconds(report.to) },
        { "period_seconds", report.period.count() }, { "nodes", report.nodes }, { "scrapes", report.scrapes },
        { "restarts", report.restarts }, { "firing", report.firing() }, { "rules", json::array() },
        { "rows", json::array() } };
    for (const auto& rule : AlertRules)
        shown["rules"].push_back({ { "name", rule.name }, { "factor", rule.factor },
            { "short_seconds", rule.shortWindow.count() }, { "long_seconds", rule.longWindow.count() } });
    for (const auto& row : report.rows)
        shown["rows"].push_back(rowJson(row));
    return shown.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace oriolepick
