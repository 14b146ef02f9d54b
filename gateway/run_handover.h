/// \file
/// Lets streams go on at another node: which nodes know where a run's copy lies, and asking them.
#pragma once

#include "core/names.h"
#include "gateway/run_messages.h"
#include "gateway/timer_queue.h"
#include "routing/run_directory.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class decision_log;
class gateway_metrics;

/// Each run is reported to the nodes that are responsible for its request by rendezvous hashing, before anything goes
/// wrong: a node that dies can report nothing, and any node may get the caller that returns.
class run_handover {
public:
    using send_function = std::function<void(const node_id& to, const run_message& message)>;
    using find_callback = std::function<void(const std::optional<run_record>& record)>;

    run_handover(
        const node_id& self, send_function send, timer_queue& timers, decision_log& log, gateway_metrics& metrics);
    ~run_handover();

    /// Sets the nodes that are believed alive, without this one.
    void setNodes(std::vector<node_id> nodes);

    /// Reports a run of this node, or its new copy; origin is filled in.
    /// \param onTaken called when the caller's stream goes on at another node
    void publish(run_record record, std::function<void()> onTaken);

    /// The run ended at this node. Its record stays: a caller may have lost the end of its answer.
    void withdraw(const std::string& attempt);

    /// Looks for the copy of a run that the caller of \p print had at another node or here.
    /// \param done called once, with nothing when no node knows in time
    void find(const request_hash& requestHash, find_callback done);

    /// The caller's stream of \p record goes on here: its former node may stop.
    void takeOver(const run_record& record);

    void receive(const node_id& from, const run_message& message);

private:
    struct pending_query {
        find_callback done;
        std::size_t pendingResponses = 0;
        timer_handle timer = 0;
    };

    std::vector<node_id> responsibleNodesFor(const request_hash& requestHash, std::size_t count) const;
    void completeQuery(std::uint64_t number, const std::optional<run_record>& record);
    void onRunQuery(const node_id& from, const run_question& query);
    void onRunQueryResult(const run_answer& answer);
    void onTaken(const run_taken& taken);

    node_id m_self;
    send_function m_send;
    timer_queue& m_timers;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    std::vector<node_id> m_nodes; // with this one
    run_directory m_records;
    std::map<std::string, std::function<void()>> m_ownRuns; // by attempt
    std::map<std::uint64_t, pending_query> m_pendingQueries;
    std::uint64_t m_lastQueryNumber = 0;
};

} // namespace oriolepick
