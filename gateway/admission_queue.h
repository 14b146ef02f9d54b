/// \file
/// Where requests wait for a place at the engines of their service, and are refused when none will come in time.
#pragma once

#include "core/request_queue.h"
#include "gateway/timer_queue.h"
#include "routing/routing_names.h"

#include <functional>
#include <map>
#include <optional>

namespace oriolepick {

/// What a waiting request is told.
struct admission_waiter {
    std::function<void()> onScheduled; ///< look for a place and call placed() or notPlaced()
    std::function<void(const queue_refusal&)> onRefused; ///< it waits no longer
};

/// One line per service. The request at the head of a line has the turn: it alone looks for a place, so that a free
/// place is not found by all at once and the order of the line holds.
class admission_queue {
public:
    admission_queue(request_queue_settings settings, timer_queue& timers, seeded_random& random);
    ~admission_queue();

    /// \return whether a new request of \p service has to wait its turn
    bool hasWaiting(const service_name& service) const;

    /// Lets a request wait. \p waiter may be called before this returns.
    /// \return its number, 0 when it was refused at once
    queue_number enqueue(const service_name& service, queued_request request, admission_waiter waiter);

    /// The request \p number has left, with or without the turn.
    void remove(const service_name& service, queue_number number);

    /// The request that has the turn found a place: the next one looks at once.
    void placed(const service_name& service);

    /// The request that has the turn found no place: it looks again after a pause.
    void notPlaced(const service_name& service);

private:
    struct queue {
        request_queue requests;
        std::map<queue_number, admission_waiter> waiters;
        std::optional<take_result> scheduled; // of the request that looks for a place
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
