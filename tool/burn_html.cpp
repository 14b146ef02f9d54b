#include "tool/burn_html.h"

#include "tool/burn_report.h"
#include "tool/burn_text.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace oriolepick {

namespace {

    constexpr double Percent = 100;
    constexpr int PlotWidth = 240;
    constexpr int PlotHeight = 44;
    constexpr double PlottedBurn = 30; ///< top of the plot; above the highest rule, so that all rules can be seen

    constexpr const char* Style = R"(<style>
:root{color-scheme:light dark;--page:#fff;--text:#1b1f24;--muted:#57606a;--line:#d0d7de;--card:#f6f8fa;--good:#1a7f37;--warn:#9a6700;--bad:#cf222e;--badback:#ffebe9;--plot:#0969da}
@media(prefers-color-scheme:dark){:root{--page:#0d1117;--text:#e6edf3;--muted:#9198a1;--line:#3d444d;--card:#151b23;--good:#3fb950;--warn:#d29922;--bad:#ff7b72;--badback:#3a1618;--plot:#58a6ff}}
body{background:var(--page);color:var(--text);font:15px/1.45 system-ui,sans-serif;margin:24px auto;max-width:1480px;padding:0 16px}
h1{font-size:24px;margin:0 0 4px}h2{font-size:18px;margin:28px 0 8px}p{margin:4px 0}.muted{color:var(--muted)}
.banner{border:1px solid var(--line);border-left:6px solid var(--good);background:var(--card);padding:10px 14px;margin:14px 0;border-radius:4px}
.banner.bad{border-left-color:var(--bad);background:var(--badback)}.banner ul{margin:6px 0 0;padding-left:20px}
.wide{overflow-x:auto}table{border-collapse:collapse;width:100%}th,td{padding:5px 6px;border-bottom:1px solid var(--line);text-align:right;white-space:nowrap;font-variant-numeric:tabular-nums}
th{color:var(--muted);font-weight:600;font-size:13px}th:first-child,td:first-child{text-align:left}tr.sum td{font-weight:600}
.good{color:var(--good)}.warn{color:var(--warn)}.bad{color:var(--bad);font-weight:700}svg{display:block;margin-left:auto}
.bar{fill:var(--line)}.left{fill:var(--good)}.left.warn{fill:var(--warn)}.left.bad{fill:var(--bad)}
.curve{fill:none;stroke:var(--plot);stroke-width:1.6}.rule{stroke:var(--line);stroke-width:1}.mark{fill:var(--muted);font-size:9px}
</style>)";

    std::string escaped(const std::string& text)
    {
        return absl::StrReplaceAll(
            text, { { "&", "&amp;" }, { "<", "&lt;" }, { ">", "&gt;" }, { "\"", "&quot;" }, { "'", "&#39;" } });
    }

    std::string timeOf(wall_time at)
    {
        return timeText(std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count());
    }

    /// The square root keeps rates around 1 apart from 0 on a scale that ends at 30.
    double heightOf(double burn)
    {
        return PlotHeight - 2 - (PlotHeight - 4) * std::sqrt(std::min(burn, PlottedBurn) / PlottedBurn);
    }

    std::string plot(const burn_row& row)
    {
        std::string svg = absl::StrFormat("<svg role=\"img\" aria-label=\"burn rate over time\" width=\"%d\" "
                                          "height=\"%d\" viewBox=\"0 0 %d %d\">",
            PlotWidth, PlotHeight, PlotWidth, PlotHeight);
        constexpr int Margin = 24; // room for the numbers of the rules
        for (const auto& rule : AlertRules)
            svg += absl::StrFormat(
                R"(<line class="rule" x1="0" x2="%d" y1="%.1f" y2="%.1f"/><text class="mark" x="%d" y="%.1f">%g</text>)",
                PlotWidth - Margin, heightOf(rule.factor), heightOf(rule.factor), PlotWidth - Margin + 3,
                heightOf(rule.factor) + 3, rule.factor);
        svg += "<polyline class=\"curve\" points=\"";
        for (std::size_t index = 0; index < row.history.size(); ++index)
            svg += absl::StrFormat("%.1f,%.1f ",
                static_cast<double>(index) * (PlotWidth - Margin) / static_cast<double>(row.history.size() - 1),
                heightOf(row.history.at(index)));
        return svg + "\"/></svg>";
    }

    const char* budgetClass(double left)
    {
        constexpr double Low = 0.25;
        if (left <= 0)
            return "bad";
        return left < Low ? "warn" : "good";
    }

    std::string budget(const burn_row& row)
    {
        constexpr int Width = 90;
        const double shown = std::clamp(row.budgetLeft, 0.0, 1.0);
        const auto* style = budgetClass(row.budgetLeft);
        const auto number = row.budgetLeft <= -Percent ? std::string("overdrawn")
                                                       : absl::StrFormat("%.1f%%", row.budgetLeft * Percent);
        return absl::StrFormat("<td class=\"%s\">%s<svg width=\"%d\" height=\"6\"><rect class=\"bar\" width=\"%d\" "
                               "height=\"6\"/><rect class=\"left %s\" width=\"%.1f\" height=\"6\"/></svg></td>",
            style, number, Width, Width, style, shown * Width);
    }

    std::string burnCell(const event_range& range, bool alarming)
    {
        if (range.total <= 0 && range.bad <= 0)
            return "<td class=\"muted\">no events</td>";
        const auto* style = range.burn > 1 ? "warn" : "good";
        return absl::StrFormat("<td class=\"%s\">%s</td>", alarming ? "bad" : style, burnText(range.burn));
    }

    std::string tableRow(const burn_row& row)
    {
        std::string html = absl::StrFormat("<tr%s><td>%s</td><td>%s</td><td>%s</td><td>%.0f</td><td>%.1f</td>",
            row.priority == AllLabel ? " class=\"sum\"" : "", escaped(row.fleet + "/" + row.deployment),
            escaped(row.priority), escaped(goalText(row.objective)), row.period.total, row.period.bad);
        html += budget(row);
        for (std::size_t index = 0; index < BurnWindows.size(); ++index) {
            const auto window = BurnWindows.at(index);
            const bool alarming = std::any_of(row.firing.begin(), row.firing.end(),
                [&](const alert_rule& rule) { return rule.shortWindow == window || rule.longWindow == window; });
            html += burnCell(row.windows.at(index), alarming);
        }
        return html + "<td>" + plot(row) + "</td></tr>\n";
    }

    std::string banner(const burn_report& report)
    {
        if (!report.firing())
            return "<div class=\"banner\"><strong class=\"good\">No alert.</strong> All burn rates are within the "
                   "rules.</div>\n";
        std::string html = "<div class=\"banner bad\"><strong class=\"bad\">Paging:</strong><ul>\n";
        for (const auto& row : report.rows) {
            for (const auto& rule : row.firing)
                html += absl::StrFormat("<li><strong>%s</strong>: %s, %s, priority %s (above %g times over %s and "
                                        "%s)</li>\n",
                    rule.name, objectiveTitle(row.objective.metric), escaped(row.fleet + "/" + row.deployment),
                    escaped(row.priority), rule.factor, windowText(rule.shortWindow.count()),
                    windowText(rule.longWindow.count()));
        }
        return html + "</ul></div>\n";
    }

    std::string tableHead(const burn_report& report)
    {
        std::string html = "<div class=\"wide\"><table><thead><tr><th>fleet/deployment</th><th>priority</th>"
                           "<th>goal</th><th>events</th><th>bad</th><th>budget left of "
            + windowText(report.period.count()) + "</th>";
        for (const auto& window : BurnWindows)
            html += "<th>" + windowText(window.count()) + "</th>";
        return html + "<th>burn rate over the scrapes' time</th></tr></thead><tbody>\n";
    }

} // namespace

std::string burnHtml(const burn_report& report)
{
    std::string html = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" "
                       "content=\"width=device-width\"><title>Service-level burn</title>\n";
    html += Style;
    html += "</head><body><h1>Service-level burn</h1>\n";
    html += absl::StrFormat("<p class=\"muted\">%d scrapes of %d nodes, %s to %s; %d restarts seen. Windows end at "
                            "the newest scrape and hold what was scraped.</p>\n",
        report.scrapes, report.nodes, timeOf(report.from), timeOf(report.to), report.restarts);
    html += banner(report);
    std::map<objective_metric, std::string> sections;
    for (const auto& row : report.rows)
        sections[row.objective.metric] += tableRow(row);
    for (const auto& [metric, rows] : sections)
        html += std::string("<h2>") + objectiveTitle(metric) + "</h2>\n" + tableHead(report) + rows
            + "</tbody></table></div>\n";
    html += "<p class=\"muted\">A burn rate of 1 uses up exactly the error budget. A rule pages when the rate is "
            "above its factor over both windows:";
    for (const auto& rule : AlertRules)
        html += absl::StrFormat(" %s %g times (%s and %s);", rule.name, rule.factor,
            windowText(rule.shortWindow.count()), windowText(rule.longWindow.count()));
    return html + " lines in the plots mark the factors.</p></body></html>\n";
}

} // namespace oriolepick
