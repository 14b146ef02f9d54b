/// \file
/// Fake fleet of continuously batching workers in virtual time that plays a trace to real generations.
#pragma once

#include "bench/resume_trace.h"
#include "core/generation.h"
#include "core/resume_pacer.h"
#include "core/retry_budget.h"
#include "core/seeded_random.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace oriolepick {

/// What a run measured.
struct resume_figures {
    std::vector<double> resumeSeconds; ///< from an engine's death to the next delivered token, one per broken stream
    std::uint64_t generations = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t delivered = 0; ///< tokens
    std::uint64_t computedOutput = 0; ///< output tokens that workers computed
    std::uint64_t repeatedPrefill = 0; ///< prompt and prefix tokens computed for attempts beyond the first
    std::uint64_t suspicions = 0;
    std::uint64_t falseSuspicions = 0; ///< suspicions of a worker that was alive, or only paused
    std::uint64_t needlessAttempts = 0; ///< attempts beyond the first while the earlier one's worker was alive
    std::map<error_kind, std::uint64_t> failures;
    std::uint64_t secondAttempts = 0; ///< attempts beyond the first of a generation
    std::vector<double> gapSeconds; ///< a sample of inter-token times of undisturbed streams
};

/// Plays one trace under one policy.
class resume_fleet {
public:
    resume_fleet(const fleet_shape& shape, const resume_trace& trace, const resume_policy& policy);
    ~resume_fleet();

    /// Runs until every generation has ended.
    resume_figures run();

private:
    struct bench_run;
    struct bench_worker;
    struct bench_node;
    struct bench_stream;

    void at(bench_time time, std::function<void()> work);
    instant now() const { return instant(m_now); }
    void arrive(std::uint32_t index);
    void strike(const trace_fault& fault);
    void handle(std::uint32_t stream, const generation_event& event);
    void post(std::uint32_t stream, const generation_event& event, bench_time delay);
    void execute(std::uint32_t stream, const generation_actions& actions);
    void learnLoss(std::uint32_t node, std::uint32_t worker, bool tellPeers);

    void act(std::uint32_t stream, const choose_target& action);
    void act(std::uint32_t stream, const start_attempt& action);
    void act(std::uint32_t stream, const attach_attempt& action);
    void act(std::uint32_t stream, const cancel_attempt& action);
    void act(std::uint32_t stream, const probe_target& action);
    void act(std::uint32_t stream, const deliver_token& action);
    void act(std::uint32_t stream, const complete& action);
    void act(std::uint32_t stream, const fail& action);
    void act(std::uint32_t stream, const set_timer& action);
    void act(std::uint32_t stream, const report_crash& action);
    void act(std::uint32_t stream, const count& action);

    std::uint32_t workerOf(const target_id& target) const;
    double firstTokenMilliseconds(const bench_worker& worker, const trace_request& request, std::uint32_t prefix) const;
    void whenReachable(std::uint32_t worker, const std::function<void()>& work);
    void startRun(std::uint32_t worker, std::uint32_t stream, const start_attempt& action);
    void beginStep(std::uint32_t worker);
    void endStep(std::uint32_t worker, std::uint64_t incarnation);
    void emitToken(std::uint32_t worker, bench_run& run);
    double stepMilliseconds(bench_worker& worker);

    struct timed_work {
        bench_time time;
        std::uint64_t order;
        std::function<void()> work;
        bool operator<(const timed_work& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    fleet_shape m_shape;
    const resume_trace& m_trace;
    const resume_policy& m_policy;
    resume_figures m_figures;
    seeded_random m_random;
    bench_time m_now { 0 };
    std::uint64_t m_order = 0;
    std::priority_queue<timed_work> m_queue;
    std::vector<std::unique_ptr<bench_worker>> m_workers;
    std::vector<std::unique_ptr<bench_node>> m_nodes;
    std::vector<std::unique_ptr<bench_stream>> m_streams;
};

} // namespace oriolepick
