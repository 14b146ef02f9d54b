/// \file
/// What operators read from a node and the planned stop.
#pragma once

#include <functional>
#include <string>

namespace oriolepick {

class state_keeper;
class target_directory;
class trace_store;
struct node_status;
struct settings;

class operator_endpoint {
public:
    /// \param requestStop begins the planned stop of the process
    operator_endpoint(const settings& configuration, const state_keeper& states, const target_directory& targets,
        const trace_store& traces, node_status& status, std::function<void()> requestStop);

    /// \return JSON: number in force and all objects
    std::string inForce() const;

    /// \return JSON: node, readiness, number in force, targets by state, open requests
    std::string status() const;

    /// \param key text form of a request key, "fleet/team/key"
    /// \return JSON: the lines of the request's trace on this node
    std::string trace(const std::string& key) const;

    void drain();

private:
    const settings& m_settings;
    const state_keeper& m_states;
    const target_directory& m_targets;
    const trace_store& m_traces;
    node_status& m_status;
    std::function<void()> m_requestStop;
};

} // namespace oriolepick
