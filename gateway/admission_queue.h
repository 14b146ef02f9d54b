/// \file
/// Queue of requests that wait for a slot at the engines of their service. Requests that cannot get a slot in time are
/// refused.
#pragma once

#include "core/request_queue.h"
#include "gateway/timer_queue.h"
#include "routing/routing_names.h"

#include <functional>
#include <map>
#include <optional>

namespace oriolepick {

/// Callbacks of a waiting request.
struct admission_waiter {
    std::function<void()> onScheduled; ///< looks for a slot and calls placed() or notPlaced()
    std::function<void(const queue_refusal&)> onRefused; ///< the request was removed from the queue
};

/// Keeps one queue per service. Only the request at the head of a queue is scheduled to look for a slot, so that a free
/// slot is not taken by several requests at once and the queue order is preserved.
class admission_queue {
public:
    admission_queue(request_queue_settings settings, timer_queue& timers, seeded_random& random);
    ~admission_queue();

    /// \return whether requests of \p service are waiting, so that a new one must be queued
    bool hasWaiting(const service_name& service) const;

    /// Adds a request to the queue. \p waiter may be called before this function returns.
    /// \return the number of the request, 0 when it was refused immediately
    queue_number enqueue(const service_name& service, queued_request request, admission_waiter waiter);

    /// Removes the request \p number, whether or not it is scheduled.
    void remove(const service_name& service, queue_number number);

    /// The scheduled request found a slot: the next request is scheduled immediately.
    void placed(const service_name& service);

    /// The scheduled request found no slot: it is scheduled again after a delay.
    void notPlaced(const service_name& service);

private:
    struct queue {
        request_queue requests;
        std::map<queue_number, admission_waiter> waiters;
        std::optional<take_result> scheduled; // the request that is looking for a slot
        timer_handle timer = 0;
    };

    queue& queueOf(const service_name& service);
    void next(const service_name& service);
    void scheduleNextAfter(const service_name& service, std::chrono::milliseconds pause);
    static void notifyRefused(queue& queue, const std::vector<queue_refusal>& refused);

    request_queue_settings m_settings;
    timer_queue& m_timers;
    seeded_random& m_random;
    std::map<service_name, queue> m_queues;
};

} // namespace oriolepick
