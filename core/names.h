/// \file
/// Identifiers of the objects of a fleet, zones and regions, nodes, requests and attempts.
#pragma once

#include "core/qualified_name.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace oriolepick {

using team_id = qualified_name<struct team_tag>; ///< A team of callers.
using model_id = qualified_name<struct model_tag>; ///< A model, without its version.
using deployment_id = qualified_name<struct deployment_tag>; ///< A served model; the "model" field of a request.
using service_id = qualified_name<struct service_tag>; ///< A service that does not generate tokens.
using target_id = qualified_name<struct target_tag>; ///< One engine or service process.
using model_version = identifier<struct model_version_tag>; ///< Version of a model, for example "3".
using adapter_name = identifier<struct adapter_name_tag>; ///< Adapter on a model; empty for none.
using availability_zone = identifier<struct availability_zone_tag>; ///< Zone of an instance or target.
using region_name = identifier<struct region_name_tag>; ///< Region that holds several zones.
using node_id = identifier<struct node_id_tag>; ///< One instance of this system, identified by "address:port".

/// Model, version and adapter. All attempts of a generation run the same three.
struct model_ref {
    model_id model;
    model_version version;
    adapter_name adapter;

    friend bool operator==(const model_ref& left, const model_ref& right)
    {
        return left.model == right.model && left.version == right.version && left.adapter == right.adapter;
    }
    friend bool operator!=(const model_ref& left, const model_ref& right) { return !(left == right); }
    friend bool operator<(const model_ref& left, const model_ref& right)
    {
        return std::tie(left.model, left.version, left.adapter) < std::tie(right.model, right.version, right.adapter);
    }
    template <typename State> friend State AbslHashValue(State state, const model_ref& ref)
    {
        return State::combine(std::move(state), ref.model, ref.version, ref.adapter);
    }
};

/// Identifies a request of one team by the key that its caller supplied or, without one, that the node generated.
struct request_key {
    team_id team;
    std::string key;

    /// \return "fleet/team/key"
    std::string text() const { return team.text() + "/" + key; }

    friend bool operator==(const request_key& left, const request_key& right)
    {
        return left.team == right.team && left.key == right.key;
    }
    friend bool operator!=(const request_key& left, const request_key& right) { return !(left == right); }
    friend bool operator<(const request_key& left, const request_key& right)
    {
        return std::tie(left.team, left.key) < std::tie(right.team, right.key);
    }
    template <typename State> friend State AbslHashValue(State state, const request_key& key)
    {
        return State::combine(std::move(state), key.team, key.key);
    }
};

/// Identifies one attempt of a request. \c origin is unique to one delivery of the request to a node (node, incarnation
/// and counter), so that two nodes serving the same request never create equal identifiers.
struct attempt_id {
    std::string origin;
    std::uint32_t ordinal = 0;

    /// \return "origin.ordinal", the form sent to engines
    std::string text() const { return origin + "." + std::to_string(ordinal); }

    friend bool operator==(const attempt_id& left, const attempt_id& right)
    {
        return left.ordinal == right.ordinal && left.origin == right.origin;
    }
    friend bool operator!=(const attempt_id& left, const attempt_id& right) { return !(left == right); }
    friend bool operator<(const attempt_id& left, const attempt_id& right)
    {
        return std::tie(left.origin, left.ordinal) < std::tie(right.origin, right.ordinal);
    }
    template <typename State> friend State AbslHashValue(State state, const attempt_id& id)
    {
        return State::combine(std::move(state), id.origin, id.ordinal);
    }
};

} // namespace oriolepick
