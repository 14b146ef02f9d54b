/// \file
/// Events over time, summed over nodes, from counters that restart at 0 with their node.
#pragma once

#include "tool/event_counts.h"

#include <map>
#include <vector>

namespace oriolepick {

/// Events that happened after \p from and not after \p to; equal times for events that have one moment.
struct event_step {
    wall_time from;
    wall_time to;
    event_totals events;

    /// \return the share of the step that lies after \p begin and not after \p end
    double shareWithin(wall_time begin, wall_time end) const;
};

/// The steps of every series.
struct event_timeline {
    std::map<event_series, std::vector<event_step>> steps;
    std::size_t restarts = 0;
};

/// Builds the timeline from the counters.
/// The first scrape of a node gives no events, because it is unknown when they happened. When any counter of a node or
/// its processor time fell or vanished, the node was restarted, and all of its counters count from 0. Events between
/// the last scrape of a process and its end are lost. \param scrapes sorted by time
event_timeline timelineOf(const std::vector<node_scrape>& scrapes);

/// Builds one event for each scrape of a node that reports a number in force: bad when another node had a higher number
/// \p limit earlier.
/// \param scrapes sorted by time
std::vector<event_step> ticketSteps(const std::vector<node_scrape>& scrapes, std::chrono::milliseconds limit);

} // namespace oriolepick
