/// \file
/// Nodes with call desks on one table in virtual time, for the cost of non-idempotent calls.
#pragma once

#include "config/call_row_json.h"
#include "core/call_coordinator.h"
#include "core/seeded_random.h"
#include "standins/memory_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace oriolepick {

/// Size and load of the fleet.
struct call_load {
    std::size_t nodes = 12;
    double callsPerSecond = 50; ///< of the whole fleet
    double seconds = 30;
    double tableMilliseconds = 5; ///< mean time of one table operation: half fixed, half exponential
    double serviceMilliseconds = 20; ///< time of one call at its target
    double retryShare = 0; ///< calls that a second request with the same key follows at another node after 5 ms
};

/// What the run showed.
struct call_figures {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t runs = 0;
    std::uint64_t commits = 0;
    std::uint64_t reads = 0;
    std::uint64_t rowsWritten = 0;
    std::vector<double> claimMilliseconds; ///< from arrival until the call is sent
    std::vector<double> answerMilliseconds; ///< from arrival until the response
    std::uint64_t events = 0;
    double deskSeconds = 0; ///< processor time inside the desks
};

/// Runs one load.
class call_fleet {
public:
    call_fleet(const call_load& load, std::uint64_t seed);

    call_figures run();

private:
    struct node {
        std::unique_ptr<call_coordinator> desk;
        std::map<call_number, instant> arrivals;
        instant wake = instant::max();
    };
    using desk_event = std::function<coordinator_actions(call_coordinator&, clock_reading)>;

    void schedule(instant at, std::function<void()> event) { m_events.emplace(at, std::move(event)); }
    void deliver(std::size_t index, std::chrono::microseconds after, desk_event event);
    void arrive(std::size_t index, const std::string& key);
    void apply(std::size_t index, const coordinator_actions& actions);
    void wakeLater(std::size_t index);
    std::chrono::microseconds tableLatency();
    clock_reading time() const { return { m_now, wall_time(std::chrono::hours(1000) + m_now.time_since_epoch()) }; }

    void execute(std::size_t index, const commit_call_rows& action);
    void execute(std::size_t index, const fetch_call_row& action);
    void execute(std::size_t index, const place_call& action);
    void execute(std::size_t index, const send_call& action);
    void execute(std::size_t index, const answer_caller& action);
    void execute(std::size_t index, const send_claim_inquiry& action);
    void execute(std::size_t index, const send_claim_notice& action);

    call_load m_load;
    seeded_random m_random;
    call_row_json m_codec;
    memory_table m_table;
    std::vector<node> m_nodes;
    std::multimap<instant, std::function<void()>> m_events;
    instant m_now;
    call_figures m_figures;
};

} // namespace oriolepick
