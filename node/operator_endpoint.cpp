#include "node/operator_endpoint.h"

#include "config/settings.h"
#include "config/ticket_json.h"
#include "core/fleet_state.h"
#include "node/node_status.h"
#include "node/state_keeper.h"
#include "node/target_directory.h"
#include "node/trace_store.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    std::string dumped(const nlohmann::json& value)
    {
        return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

} // namespace

operator_endpoint::operator_endpoint(const settings& configuration, const state_keeper& states,
    const target_directory& targets, const trace_store& traces, node_status& status, std::function<void()> requestStop)
    : m_settings(configuration)
    , m_states(states)
    , m_targets(targets)
    , m_traces(traces)
    , m_status(status)
    , m_requestStop(std::move(requestStop))
{
}

std::string operator_endpoint::inForce() const
{
    const auto state = m_states.current();
    nlohmann::json body;
    body["ticket"] = state->number();
    body["node"] = m_settings.nodeName;
    body["objects"] = nlohmann::json::array();
    for (const auto& object : state->objects())
        body["objects"].push_back(encodeObject(object));
    return dumped(body);
}

std::string operator_endpoint::status() const
{
    nlohmann::json body;
    body["node"] = m_settings.nodeName;
    body["availability_zone"] = m_settings.zone.value();
    body["region"] = m_settings.region.value();
    body["ready"] = m_status.ready.load();
    body["draining"] = m_status.draining.load();
    body["ticket"] = m_states.current()->number();
    body["open_requests"] = m_status.openRequests.load();
    body["targets"] = m_targets.stateCounts();
    body["engines_reporting"] = m_targets.reportingEngines();
    return dumped(body);
}

std::string operator_endpoint::trace(const std::string& key) const
{
    nlohmann::json body;
    body["node"] = m_settings.nodeName;
    body["key"] = key;
    body["lines"] = m_traces.lines(key);
    return dumped(body);
}

void operator_endpoint::drain()
{
    m_requestStop();
}

} // namespace oriolepick
