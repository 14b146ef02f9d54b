#include "tool/event_timeline.h"

#include <algorithm>

namespace oriolepick {

namespace {

    bool fell(const event_totals& before, const event_totals& after)
    {
        if (after.total < before.total || after.bad < before.bad)
            return true;
        return std::any_of(before.within.begin(), before.within.end(), [&](const auto& bucket) {
            const auto found = after.within.find(bucket.first);
            return found != after.within.end() && found->second < bucket.second;
        });
    }

    bool restarted(const node_scrape& before, const node_scrape& after)
    {
        static const event_totals none;
        if (before.processSeconds && after.processSeconds && *after.processSeconds < *before.processSeconds)
            return true;
        return std::any_of(before.series.begin(), before.series.end(), [&](const auto& entry) {
            const auto found = after.series.find(entry.first);
            return fell(entry.second, found == after.series.end() ? none : found->second);
        });
    }

    event_totals difference(const event_totals& after, const event_totals& before)
    {
        event_totals events { after.total - before.total, after.bad - before.bad, after.within };
        for (auto& [bound, count] : events.within) {
            const auto found = before.within.find(bound);
            if (found != before.within.end())
                count -= found->second;
        }
        return events;
    }

} // namespace

double event_step::shareWithin(wall_time begin, wall_time end) const
{
    if (from >= to)
        return to > begin && to <= end ? 1 : 0;
    const auto overlap = std::min(to, end) - std::max(from, begin);
    if (overlap <= wall_time::duration::zero())
        return 0;
    return std::chrono::duration<double>(overlap) / std::chrono::duration<double>(to - from);
}

event_timeline timelineOf(const std::vector<node_scrape>& scrapes)
{
    event_timeline timeline;
    std::map<std::string, const node_scrape*> last;
    for (const auto& scrape : scrapes) {
        const auto* before = std::exchange(last[scrape.node], &scrape);
        if (!before) {
            // Makes the series known, so that a report lists them even when nothing happened since.
            for (const auto& entry : scrape.series)
                timeline.steps[entry.first];
            continue;
        }
        const bool restart = restarted(*before, scrape);
        timeline.restarts += restart ? 1 : 0;
        for (const auto& [series, totals] : scrape.series) {
            const auto known = before->series.find(series);
            const bool fromZero = restart || known == before->series.end();
            timeline.steps[series].push_back(
                { before->at, scrape.at, fromZero ? totals : difference(totals, known->second) });
        }
    }
    return timeline;
}

std::vector<event_step> ticketSteps(const std::vector<node_scrape>& scrapes, std::chrono::milliseconds limit)
{
    std::vector<event_step> steps;
    auto due = scrapes.begin();
    double wanted = 0;
    for (const auto& scrape : scrapes) {
        for (; due != scrapes.end() && due->at <= scrape.at - limit; ++due)
            wanted = std::max(wanted, due->ticket.value_or(0));
        if (scrape.ticket)
            steps.push_back({ scrape.at, scrape.at, { 1, *scrape.ticket < wanted ? 1.0 : 0.0, {} } });
    }
    return steps;
}

} // namespace oriolepick
