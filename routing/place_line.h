/// \file
/// Line of requests that wait for a place.
#pragma once

#include "core/instant.h"
#include "routing/place_messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace oriolepick {

/// A request in the line.
struct waiting_place {
    node_id from;
    availability_zone zone;
    place_request request;
    instant arrived;
    instant goodStart; ///< latest start that meets the objective
    instant latestStart;
    instant heardAt; ///< last news of the sender
    bool noticed = false; ///< the sender was told that the request waits
    bool isLate = false; ///< the objective can't be met any more, but the request is still worth an answer
};

/// Settings of place_line.
struct place_line_settings {
    std::size_t capacity = 1'024; ///< bound of the memory
    std::uint32_t oldestFirstInterval = 4; ///< every n-th grant takes the oldest request of any rank
    /// A request is accepted if it is expected to wait for at most this part of its time: the durations of the
    /// requests ahead vary, and a start at the last moment would often end late.
    double usableShare = 0.6;
    double usableLateShare = 0.9; ///< the same for late requests
    /// Every n-th grant takes a late request while others wait that can still meet their objective. Late requests are
    /// accepted only as far as they are served by that and by the spare capacity.
    std::uint32_t lateInterval = 16;
};

/// How fast a line moves.
struct place_pace {
    std::chrono::duration<double> interval { 0 }; ///< mean time between two grants when all places are in use
    double spareShare = 0; ///< part of the capacity that new requests do not need
};

/// Orders requests by rank; in a rank, callers that return after a refusal come first, the one that has waited longest
/// foremost, then the teams in turn, then the earliest latest start. Every n-th grant takes the oldest request of any
/// rank, so that none is starved. Requests that can't meet their objective any more come after all others. A burst so
/// delays some requests and refuses few, and in a lasting overload those that are served are in time. Not synchronized.
class place_line {
public:
    explicit place_line(const place_line_settings& settings);

    /// Adds a request, and removes those that can't start in time any more.
    /// \return the removed requests, which may include the added one
    std::vector<waiting_place> add(waiting_place waiting, const place_pace& pace, instant now);

    /// Removes and returns the first request, in the order of the line, that \p accepts.
    std::optional<waiting_place> take(const std::function<bool(const waiting_place&)>& accepts, instant now);

    /// \return the request, or null
    waiting_place* find(const node_id& from, std::uint64_t number);

    /// \return whether the request was in the line
    bool remove(const node_id& from, std::uint64_t number);

    /// Removes and returns the requests whose latest start has passed.
    std::vector<waiting_place> expire(instant now);

    /// Removes the requests whose senders were not heard since \p since.
    void removeSilent(instant since);

    std::vector<waiting_place>& entries() { return m_entries; }
    const std::vector<waiting_place>& entries() const { return m_entries; }

    std::size_t size() const { return m_entries.size(); }

private:
    std::vector<std::size_t> order(std::size_t count) const;
    void prefer(std::vector<std::size_t>& indexes, bool isLate) const;
    std::size_t firstLate(const std::vector<std::size_t>& indexes) const;
    bool isTooLate(
        const waiting_place& waiting, std::size_t position, bool isNew, const place_pace& pace, instant now) const;

    place_line_settings m_settings;
    std::vector<waiting_place> m_entries; // in order of arrival
    std::map<std::uint64_t, std::uint64_t> m_served; // grants of each team since the line was last empty
    std::uint64_t m_grants = 0;
};

} // namespace oriolepick
