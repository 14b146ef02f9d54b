/// \file
/// Detects network paths that lose packets, from the times at which events of streams arrive.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <cstddef>
#include <map>
#include <vector>

namespace oriolepick {

/// Thresholds of path_monitor.
struct path_monitor_settings {
    /// Shortest pause that counts as a retransmission; TCP waits at least 200 ms for an acknowledgement.
    std::chrono::milliseconds minPause { 150 };
    /// Events that arrive together after a retransmission. An engine that pauses sends one event when it goes on.
    std::size_t minEvents = 3;
    /// Retransmissions in the last one to two windows until a path counts as lossy, as a number and as a share of all
    /// groups of events: a node with many streams sees some at a loss that harms few of them.
    std::size_t minRetransmissions = 2;
    double minShare = 0.01;
    std::chrono::milliseconds window { 2'000 };
    /// How long a path is avoided after the last retransmission. Without streams on it, nothing else shows that it has
    /// recovered.
    std::chrono::milliseconds initialHold { 4'000 };
    std::chrono::milliseconds maxHold { 16'000 }; ///< the hold doubles while the path is found lossy again
};

/// Knows the zones whose network path to this node loses packets. TCP delivers in order, so the events behind a lost
/// packet arrive together with it, one retransmission later; an engine that pauses, or is busy with a prompt, sends its
/// events one at a time. Pure, and not synchronized: one instance per event loop.
class path_monitor {
public:
    explicit path_monitor(const path_monitor_settings& settings);

    /// Records that events of one stream were read at once.
    /// \param zone zone of the target that sent them
    /// \param pause time since the event before them, without the time in which this node did not read
    /// \param count number of events
    /// \return whether \p zone counts as lossy since this call
    bool recordEvents(const availability_zone& zone, std::chrono::milliseconds pause, std::size_t count, instant now);

    /// \return the zones whose path loses packets
    std::vector<availability_zone> lossyZones(instant now) const;

private:
    struct counts {
        std::size_t groups = 0;
        std::size_t retransmissions = 0;
    };

    struct path {
        instant windowStart;
        counts current;
        counts previous;
        std::chrono::milliseconds hold { 0 };
        instant lossyUntil;
    };

    void advanceWindow(path& path, instant now) const;
    bool losesPackets(const path& path) const;

    path_monitor_settings m_settings;
    std::map<availability_zone, path> m_paths; // by the zone of the target
};

} // namespace oriolepick
