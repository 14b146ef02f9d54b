/// \file
/// The nodes' real placement, queue and limit code against fake engines, in virtual time.
#pragma once

#include "bench/placement_fake_engine.h"
#include "bench/placement_figures.h"
#include "bench/placement_trace.h"
#include "core/concurrency_limit.h"
#include "core/placement.h"
#include "core/request_queue.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace oriolepick {

/// Parameters of a run.
struct simulation_settings {
    std::string strategy;
    std::chrono::milliseconds newsDelay { 1'000 };
    double eventLoss = 0.2;
    std::uint64_t seed = 1;
    engine_speed speed;
    placement_costs costs;
    placement_limits limits;
    concurrency_settings concurrency;
    request_queue_settings queue;
    load_view_settings view;
};

/// One run over one trace.
class placement_simulation {
public:
    placement_simulation(const trace_profile& profile, simulation_settings settings);

    /// Crashes the targets of one zone at \p from; they are back with empty caches at \p until. All their streams
    /// reconnect at once.
    void loseZone(int zone, instant from, instant until);

    /// \return the measurements of the whole trace
    run_log run(const std::vector<traced_request>& trace);

private:
    struct sim_node {
        sim_node(const node_id& id, const availability_zone& zone, const simulation_settings& settings,
            seeded_random source);
        load_view view;
        request_queue queue;
        concurrency_limit limit;
        seeded_random random;
        std::unique_ptr<placement_strategy> strategy;
        absl::flat_hash_map<queue_number, std::size_t> queued; // to request index
        bool pumpScheduled = false;
    };
    struct sim_engine {
        target_id target;
        placement_fake_engine engine;
        std::uint64_t sequence = 0;
        std::uint32_t incarnation = 0; // events of an earlier one are dropped
        bool down = false;
    };
    struct flight {
        std::size_t node = 0;
        std::size_t engine = 0;
        instant offered;
        instant dispatched;
        std::uint32_t uncached = 0;
        int tries = 0;
        bool started = false;
        std::uint32_t delivered = 0; // tokens of earlier attempts
        std::optional<instant> lostAt;
    };
    struct timed_event {
        instant at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const timed_event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void addEngines();
    void addNodes();
    void at(instant time, std::function<void()> run);
    void offer(std::size_t index);
    void refuse(std::size_t index, const queue_refusal& refusal);
    void pump(std::size_t nodeIndex);
    void pumpLater(std::size_t nodeIndex);
    bool place(std::size_t nodeIndex, std::size_t index);
    void step(std::size_t engineIndex);
    void finishStep(std::size_t engineIndex, std::uint32_t incarnation);
    void crash(std::size_t engineIndex);
    void restart(std::size_t engineIndex);
    void updateCapacity();
    void firstToken(std::size_t index);
    void finished(std::size_t index);
    void sendReport(std::size_t nodeIndex, std::size_t engineIndex, instant reflectsUntil);
    void sendEvents(std::size_t engineIndex, const engine_step& result);
    void countPrompt(std::size_t index, std::uint32_t cached);
    double seconds(instant time) const { return std::chrono::duration<double>(time.time_since_epoch()).count(); }

    const trace_profile& m_profile;
    simulation_settings m_settings;
    seeded_random m_random;
    std::vector<sim_engine> m_engines; // engines, then service workers
    std::vector<std::unique_ptr<sim_node>> m_nodes;
    absl::flat_hash_map<target_id, std::size_t> m_engineOf;
    std::priority_queue<timed_event> m_events;
    std::uint64_t m_order = 0;
    instant m_now;
    const std::vector<traced_request>* m_trace = nullptr;
    std::vector<flight> m_flights;
    absl::flat_hash_set<block_hash> m_computed;
    work_ref m_model;
    work_ref m_service;
    run_log m_log;
};

} // namespace oriolepick
