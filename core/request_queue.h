/// \file
/// Bounded admission queue of one target group with priorities, fairness between teams, deadlines and early refusal.
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

/// Sequence number of a queued request. Numbers increase in order of arrival and start at 1.
using queue_number = std::uint64_t;

/// A request that waits in the queue.
struct queued_request {
    request_key key;
    request_priority priority = request_priority::Normal;
    std::uint32_t cost = 1; ///< expected tokens, the unit in which teams share the capacity
    instant deadline; ///< latest time at which a dispatch is still useful
};

/// A request that was refused. The caller of the queue must send the final response immediately.
struct queue_refusal {
    queue_number number = 0; ///< 0 if the request was never queued
    request_key key;
    error_kind kind = error_kind::Overloaded; ///< Overloaded or QueueTimeout
    std::chrono::milliseconds retryAfter { 0 };
};

/// Result of request_queue::offer.
struct offer_result {
    queue_number number = 0; ///< 0 if the offered request was refused
    std::vector<queue_refusal> refused; ///< the offered request, or the request that it displaced
};

/// Result of request_queue::take.
struct take_result {
    queue_number number = 0; ///< 0 if there is no request to dispatch
    std::optional<queued_request> request; ///< the request to dispatch
    instant arrived; ///< time at which the request was offered
    std::vector<queue_refusal> refused; ///< requests whose deadline has passed
    std::chrono::duration<double> meanDispatchInterval {
        0
    }; ///< mean dispatch interval before this dispatch, for requeue()
    std::optional<instant> intervalStart; ///< start of the dispatch interval that this dispatch ended, for requeue()
};

/// Settings of request_queue.
struct request_queue_settings {
    std::size_t capacity = 512;
    std::uint32_t oldestFirstInterval = 4; ///< every n-th dispatch takes the oldest request of any priority
    std::chrono::milliseconds maxWait { 30'000 }; ///< upper bound of the time to every deadline
    /// A priority whose requests have had long waits for this time has a standing queue and is overloaded (as
    /// in CoDel). The waits of a burst end sooner.
    std::chrono::milliseconds standingQueueInterval { 200 };
    /// Longest expected wait in the queue of an overloaded priority (Bulk, Normal, Urgent). A wait above a quarter of
    /// this value counts as long. Queueing up to the deadlines would dispatch every request late and leave a backlog
    /// after the overload; a short queue dispatches as many requests per second, in time.
    std::array<std::chrono::milliseconds, PriorityCount> standingQueueMaxWait { std::chrono::milliseconds(500),
        std::chrono::milliseconds(400), std::chrono::milliseconds(200) };
    /// A request of an overloaded priority gets a deadline of standingQueueMaxWait times this factor. The deadline
    /// bounds how long later requests can overtake the request.
    int standingQueueDeadlineFactor = 4;
    std::chrono::milliseconds minRetryAfter { 500 }; ///< lower bound of the retry-after time
    std::chrono::milliseconds maxRetryAfter { 2'000 }; ///< upper bound with jitter; callers wait a few seconds at most
};

/// Serves the highest priority first and shares the dispatches of a priority between teams by start-time fair queueing
/// over token costs. Every n-th dispatch (request_queue_settings::oldestFirstInterval) serves the oldest request
/// instead. This bounds the wait: a request is dispatched after at most n * (number of older requests + 1) dispatches,
/// so at most n * capacity, or refused at its deadline.
class request_queue {
public:
    /// \param random source of the jitter of retry-after times, which spreads the retries of refused callers
    request_queue(request_queue_settings settings, seeded_random random);

    /// Queues a request, or refuses it if its deadline cannot be met, or if the queue is full or the standing queue of
    /// the priority is too long and no request can be displaced. In a full queue, the new request displaces a request
    /// of lower priority, or of equal priority that would be served later. In a standing queue, it can displace only a
    /// request of equal priority that would be served later.
    offer_result offer(queued_request request, instant now);

    /// Removes a request whose caller no longer waits for the response.
    /// \return whether the request was still queued
    bool cancel(queue_number number);

    /// Removes and returns the next request to dispatch.
    /// \param lowestPriority requests of lower priority are served only by every n-th dispatch
    take_result take(instant now, request_priority lowestPriority = request_priority::Bulk);

    /// Puts a request that could not be placed back at its former position and does not count it as dispatched.
    /// \param outcome result of take() that contains a request
    void requeue(const take_result& outcome);

    /// Removes the requests whose deadline has passed.
    /// \return the removed requests
    std::vector<queue_refusal> expire(instant now);

    /// \return the earliest deadline, or nothing if the queue is empty
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
        std::deque<queue_number> numbers; // may contain numbers of removed requests
        std::size_t count = 0; // queued requests
        double finishTag = 0; // virtual finish time of the last request
    };
    struct priority_class {
        std::map<team_id, team_queue> teams;
        std::size_t count = 0;
        double virtualTime = 0;
        // First long wait since the queue of the priority last became empty by a dispatch after a short wait.
        std::optional<instant> longWaitSince;
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
    std::optional<instant> m_intervalStart; // last dispatch that left requests waiting, or arrival in the empty queue
    std::chrono::duration<double> m_meanDispatchInterval {
        0
    }; // moving average of the time between dispatches while requests wait
};

} // namespace oriolepick
