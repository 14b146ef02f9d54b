/// \file
/// The bounded queue in front of one target group: priorities, fairness over teams, deadlines and early refusal.
#pragma once

#include "core/error_kind.h"
#include "core/instant.h"
#include "core/names.h"
#include "core/request_priority.h"
#include "core/seeded_random.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace oriolepick {

/// Number of a queued request, in order of arrival.
using queue_number = std::uint64_t;

/// A request that waits.
struct queued_request {
    request_key key;
    request_priority priority = request_priority::Normal;
    std::uint32_t cost = 1; ///< expected tokens, the unit of fairness between teams
    instant deadline; ///< latest useful dispatch
};

/// A request that was not dispatched; it gets its final response at once.
struct queue_refusal {
    queue_number number = 0; ///< 0 when the request was never queued
    request_key key;
    error_kind kind = error_kind::Overloaded; ///< Overloaded or QueueTimeout
    std::chrono::milliseconds retryAfter { 0 };
};

/// What happened to an offered request and whom it displaced.
struct offer_result {
    queue_number number = 0; ///< 0 when refused
    std::vector<queue_refusal> refused; ///< the offered request itself, or one that it displaced
};

/// A request to dispatch and those found expired on the way.
struct take_result {
    queue_number number = 0;
    std::optional<queued_request> request;
    instant arrived; ///< when the request was offered
    std::vector<queue_refusal> refused;
    std::chrono::duration<double> meanDispatchInterval { 0 }; ///< between dispatches before this one, for requeue
    std::optional<instant> intervalStart; ///< before this dispatch, for requeue
};

/// Settings of request_queue.
struct request_queue_settings {
    std::size_t capacity = 512;
    std::uint32_t oldestFirstInterval = 4; ///< every n-th dispatch serves the oldest request of any priority
    std::chrono::milliseconds maxWait { 30'000 }; ///< caps every deadline
    /// A priority whose requests have waited long for this time is overloaded: a burst passes sooner.
    std::chrono::milliseconds standingQueueInterval { 200 };
    /// Longest line of an overloaded priority as expected wait (Bulk, Normal, Urgent); a quarter of it is a long wait.
    /// Queueing up to the deadlines would serve everyone late and keep a backlog after the overload; a short line
    /// serves as many per second in time.
    std::array<std::chrono::milliseconds, PriorityCount> standingQueueMaxWait { std::chrono::milliseconds(500),
        std::chrono::milliseconds(400), std::chrono::milliseconds(200) };
    /// Times standingQueueMaxWait: later ones overtake a request of an overloaded line for at most so long.
    int standingQueueDeadlineFactor = 4;
    std::chrono::milliseconds minRetryAfter { 500 };
    std::chrono::milliseconds maxRetryAfter { 2'000 }; ///< callers wait a few seconds at most
};

/// Serves the highest priority first and within a priority the team that has had the least (start-time fair queueing
/// over token costs), except that every n-th dispatch serves the oldest request. Bound on the wait: a request is
/// dispatched after at most n * (number of older requests + 1) dispatches, so at most n * capacity, or refused at its
/// deadline.
class request_queue {
public:
    /// \param random jitter of retry-after times, so that refused callers do not return together
    request_queue(request_queue_settings settings, seeded_random random);

    /// Queues a request, or refuses it when its deadline cannot be met or the queue is full of requests that are at
    /// least as important. A full queue displaces a request of lower priority, or of equal priority that would be
    /// served later than the new one; an overloaded line does the latter.
    offer_result offer(queued_request request, instant now);

    /// Removes a request whose caller has gone.
    /// \return whether it was still queued
    bool cancel(queue_number number);

    /// Removes and returns the next request to dispatch.
    /// \param lowest requests of lower priority are served by every n-th dispatch only
    take_result take(instant now, request_priority lowestPriority = request_priority::Bulk);

    /// Returns a taken request that could not be placed, in its old order; it is not counted as dispatched.
    /// \param outcome from take, with its request
    void requeue(const take_result& outcome);

    /// Removes the requests whose deadline has passed.
    std::vector<queue_refusal> expire(instant now);

    /// \return the earliest deadline, nothing when empty
    std::optional<instant> nextDeadline() const;

    /// \return the expected wait of a new request of \p team
    std::chrono::milliseconds expectedWait(const team_id& team, request_priority priority, instant now) const;

    std::size_t size() const { return m_requests.size(); }

private:
    struct entry {
        queued_request request;
        double startTag = 0;
        instant arrived;
    };
    struct team_queue {
        std::deque<queue_number> numbers; // may contain removed requests
        std::size_t count = 0;
        double finishTag = 0;
    };
    struct priority_class {
        std::map<team_id, team_queue> teams;
        std::size_t count = 0;
        double virtualTime = 0;
        std::optional<instant> longWaitSince; // first long wait since the line was last emptied by a quick dispatch
    };

    priority_class& classOf(request_priority priority) { return m_classes[indexOf(priority)]; }
    void enqueue(queue_number number, queued_request request, instant arrived, bool first);
    entry remove(queue_number number);
    void recordWait(const entry& removed, instant now);
    bool hasStandingQueue(request_priority priority, instant now) const;
    bool standingQueueTooLong(request_priority priority, instant now) const;
    std::chrono::milliseconds estimateWait(std::size_t ahead, instant now) const;
    double nextStartTag(const queued_request& request) const;
    queue_number nextFairRequest(request_priority lowestPriority);
    bool displace(
        const queued_request& incoming, bool includeLowerPriorities, std::vector<queue_refusal>& refused, instant now);
    queue_refusal makeRefusal(queue_number number, const queued_request& request, error_kind kind, instant now);
    std::chrono::duration<double> dispatchInterval(instant now) const;

    request_queue_settings m_settings;
    seeded_random m_random;
    std::map<queue_number, entry> m_requests; // ordered by arrival
    std::set<std::pair<instant, queue_number>> m_deadlines;
    std::array<priority_class, PriorityCount> m_classes;
    queue_number m_lastNumber = 0;
    std::uint64_t m_dispatches = 0;
    std::optional<instant> m_intervalStart; // last dispatch or arrival that left requests waiting
    std::chrono::duration<double> m_meanDispatchInterval { 0 }; // mean time between dispatches while requests wait
};

} // namespace oriolepick
