#include "node/operator_endpoint.h"

#include "config/settings.h"
#include "config/ticket_json.h"
#include "core/fleet_state.h"
#include "node/control_view.h"
#include "node/crash_guard.h"
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

operator_endpoint::operator_endpoint(
    const settings& configuration, operator_sources sources, node_status& status, std::function<void()> requestStop)
    : m_settings(configuration)
    , m_sources(std::move(sources))
    , m_status(status)
    , m_requestStop(std::move(requestStop))
{
}

std::string operator_endpoint::inForce() const
{
    const auto state = m_sources.states.current();
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
    const auto state = m_sources.states.current();
    body["ticket"] = state->number();
    body["peer"] = m_settings.peersListen;
    body["open_requests"] = m_status.openRequests.load();
    body["targets"] = m_sources.targets.stateCounts();
    body["engines_reporting"] = m_sources.targets.reportingEngines();
    body["target_list"] = nlohmann::json::array();
    for (const auto& target : m_sources.targets.targetStates()) {
        nlohmann::json entry { { "target", target.target.text() }, { "state", target.state } };
        if (const auto* known = state->target(target.target))
            entry["zone"] = known->zone.value();
        if (target.reporting)
            entry["reporting"] = *target.reporting;
        body["target_list"].push_back(std::move(entry));
    }
    const auto control = m_sources.control.current();
    body["members"] = nlohmann::json::array();
    for (const auto& member : control->members)
        body["members"].push_back({ { "node", member.node.value() }, { "availability_zone", member.zone.value() },
            { "region", member.region.value() }, { "state", memberStateName(member.state) } });
    body["leases"] = control->leases;
    const auto crashes = m_sources.crashes();
    body["requests"] = { { "suspected", crashes.suspected }, { "quarantined", crashes.quarantined } };
    return dumped(body);
}

std::string operator_endpoint::trace(const std::string& key) const
{
    nlohmann::json body;
    body["node"] = m_settings.nodeName;
    body["key"] = key;
    body["lines"] = m_sources.traces.lines(key);
    return dumped(body);
}

void operator_endpoint::drain()
{
    m_requestStop();
}

} // namespace oriolepick
