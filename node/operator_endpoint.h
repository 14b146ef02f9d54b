/// \file
/// What operators read from a node and the planned stop.
#pragma once

#include <functional>
#include <string>

namespace oriolepick {

class control_view;
class state_keeper;
class target_directory;
class trace_store;
struct crash_counts;
struct node_status;
struct settings;

/// What the endpoint reads; all of it outlives the endpoint.
struct operator_sources {
    const state_keeper& states;
    const target_directory& targets;
    const trace_store& traces;
    const control_view& control;
    std::function<crash_counts()> crashes;
};

class operator_endpoint {
public:
    /// \param requestStop begins the planned stop of the process
    operator_endpoint(const settings& configuration, operator_sources sources, node_status& status,
        std::function<void()> requestStop);

    /// \return JSON: number in force and all objects
    std::string inForce() const;

    /// \return JSON: node, readiness, number in force, open requests, targets by state and one by one, known nodes,
    ///     held leases, requests that are suspected or quarantined for crashes of targets
    std::string status() const;

    /// \param key text form of a request key, "fleet/team/key"
    /// \return JSON: the lines of the request's trace on this node
    std::string trace(const std::string& key) const;

    void drain();

private:
    const settings& m_settings;
    operator_sources m_sources;
    node_status& m_status;
    std::function<void()> m_requestStop;
};

} // namespace oriolepick
