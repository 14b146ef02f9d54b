/// \file
/// Good and bad events of one scrape of one node, by what objectives measure.
#pragma once

#include "core/instant.h"
#include "core/ticket.h"
#include "tool/metrics_text.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace oriolepick {

/// Stands in a series for a label that the metric does not have.
inline constexpr const char* AllLabel = "all";

/// What a counter of events belongs to.
struct event_series {
    objective_metric metric = objective_metric::FirstTokenMs;
    std::string fleet = AllLabel;
    std::string deployment = AllLabel; ///< a service for AtMostOnceShare
    std::string priority = AllLabel;

    friend bool operator<(const event_series& left, const event_series& right)
    {
        return std::tie(left.metric, left.fleet, left.deployment, left.priority)
            < std::tie(right.metric, right.fleet, right.deployment, right.priority);
    }
};

/// Counters of one series since the node's start.
struct event_totals {
    double total = 0;
    double bad = 0; ///< of shares
    std::map<double, double> within; ///< of latencies: events up to each bucket's bound in milliseconds

    /// Events that missed a time limit. Without a bucket at the limit the next lower one counts, so that no late event
    /// passes as good.
    double badBeyond(double milliseconds) const;
};

/// One scrape of one node, reduced to what objectives need.
struct node_scrape {
    std::string node;
    wall_time at;
    std::map<event_series, event_totals> series;
    std::optional<double> ticket; ///< number in force
    std::optional<double> processSeconds {}; ///< processor time, which only a new process lowers
};

node_scrape summarizeScrape(const std::string& node, wall_time at, const std::vector<metric_sample>& samples);

} // namespace oriolepick
