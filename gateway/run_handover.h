/// \file
/// Lets another node resume a stream: replicates the locations of run copies to other nodes and queries them.
#pragma once

#include "core/names.h"
#include "core/response_wait.h"
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

/// Each run is reported to the nodes that are responsible for its request by rendezvous hashing. Runs are reported
/// before any failure, because a node that crashes can no longer report them, and the caller may reconnect to any node.
class run_handover {
public:
    using send_function = std::function<void(const node_id& to, const run_message& message)>;
    using find_callback = std::function<void(const std::optional<run_record>& record)>;

    /// \param isInputPending returns whether messages of other nodes wait to be read
    run_handover(const node_id& self, send_function send, std::function<bool()> isInputPending, timer_queue& timers,
        decision_log& log, gateway_metrics& metrics);
    ~run_handover();

    /// Sets the nodes that are considered alive, without this node.
    void setNodes(std::vector<node_id> nodes);

    /// Reports a run of this node, or a new copy of the run. This function sets the origin of \p record.
    /// \param onTaken called when another node has resumed the caller's stream
    void publish(run_record record, std::function<void()> onTaken);

    /// The run ended at this node. The record is kept, because the caller may have lost the end of the response.
    void withdraw(const std::string& attempt);

    /// Looks for the copy of a run with \p requestHash on this node and on other nodes.
    /// \param done called once; with nothing when no node returns a record in time
    void find(const request_hash& requestHash, find_callback done);

    /// This node resumes the stream of \p record, so the node that had the run may stop it.
    void takeOver(const run_record& record);

    void receive(const node_id& from, const run_message& message);

private:
    struct pending_query {
        find_callback done;
        response_wait wait;
        std::size_t pendingResponses = 0;
        timer_handle timer = 0;
    };

    std::vector<node_id> responsibleNodesFor(const request_hash& requestHash, std::size_t count) const;
    void armQueryTimer(std::uint64_t number);
    void onQueryTimer(std::uint64_t number);
    void completeQuery(std::uint64_t number, const std::optional<run_record>& record);
    void onRunQuery(const node_id& from, const run_question& query);
    void onRunQueryResult(const run_answer& answer);
    void onTaken(const run_taken& taken);

    node_id m_self;
    send_function m_send;
    std::function<bool()> m_isInputPending;
    timer_queue& m_timers;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    std::vector<node_id> m_nodes; // including this node
    run_directory m_records;
    std::map<std::string, std::function<void()>> m_ownRuns; // by attempt
    std::map<std::uint64_t, pending_query> m_pendingQueries;
    std::uint64_t m_lastQueryNumber = 0;
};

} // namespace oriolepick
