/// \file
/// Workers, nodes and streams of the fake fleet.
#pragma once

#include "bench/resume_fleet.h"

namespace oriolepick {

/// One attempt on a worker.
struct resume_fleet::bench_run {
    std::uint32_t stream = 0;
    attempt_id id;
    std::uint32_t prefillLeft = 0;
    std::uint32_t first = 0; ///< first position that it computes
    std::uint32_t next = 0;
    std::uint32_t length = 0;
    std::uint32_t connection = 0; ///< grows when the reader changes or is lost
    bool read = true;
    bool cancelled = false;
    bool finished = false;
    bool urgent = false; ///< before others in the queue and in prefill
    bool repeated = false; ///< an attempt beyond the first of its generation
};

struct resume_fleet::bench_worker {
    target_id id;
    bool dead = false;
    bool silent = false; ///< dead without closing connections
    double loadAtDeath = 0; ///< what nodes still believe until they learn of the loss
    std::uint64_t incarnation = 0;
    bench_time pausedUntil { 0 };
    bool stepping = false;
    std::deque<std::shared_ptr<bench_run>> waiting;
    std::vector<std::shared_ptr<bench_run>> running;
    std::map<attempt_id, std::shared_ptr<bench_run>> runs;
    std::deque<std::uint32_t> cached; ///< manuals, most recent last

    bool caches(std::uint32_t manual) const { return std::find(cached.begin(), cached.end(), manual) != cached.end(); }
};

struct resume_fleet::bench_node {
    bench_node(seeded_random& random, std::size_t workers)
        : budget({}, &pacer, random, instant {})
        , sent(workers, 0)
        , lost(workers, false)
    {
    }
    resume_pacer pacer { {}, instant {} };
    retry_budget budget;
    target_pace_tracker paces;
    std::vector<std::uint32_t> sent; ///< prompt tokens of own starts under way, by worker
    std::vector<bool> lost; ///< workers that this node knows to be down
};

struct resume_fleet::bench_stream {
    std::unique_ptr<generation> machine;
    target_id targetBefore; ///< current target before the event being handled
    bench_time timer { -1 };
    std::optional<bench_time> brokenAt; ///< when the engine of its stream died
    bench_time lastToken { -1 };
    bool started = false;
    bool reset = false; ///< its connection was lost at some time
    bool disturbed = false;
    bool ended = false;
};

} // namespace oriolepick
