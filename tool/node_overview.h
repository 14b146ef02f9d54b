/// \file
/// The status pages of several nodes, checked and merged.
#pragma once

#include "core/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

inline constexpr std::size_t MaxStatusBytes = 16U << 20U;

/// Another node as one node sees it.
struct member_report {
    std::string peer; ///< address for messages between nodes
    std::string zone;
    std::string region;
    std::string state;
};

/// A target as one node sees it.
struct target_report {
    std::string target;
    std::string zone;
    std::string state;
    std::optional<bool> reporting; ///< of engines
};

/// One node's status page.
struct node_report {
    std::string address; ///< that was asked
    std::string problem; ///< why there is no status; empty otherwise
    std::string name;
    std::string zone;
    std::string region;
    std::string peer;
    bool ready = false;
    bool draining = false;
    std::uint64_t ticket = 0;
    std::int64_t openRequests = 0;
    std::uint64_t suspected = 0;
    std::uint64_t quarantined = 0;
    std::vector<member_report> members;
    std::vector<target_report> targets;
    std::vector<std::string> leases;
};

/// Parses a status page. Fields of a newer node are left out.
/// \return BadRequest with the field when the page is malformed, BodyTooLarge above MaxStatusBytes
result<node_report> parseNodeReport(const std::string& address, const std::string& page);

/// Nodes of one zone.
struct zone_summary {
    std::string region;
    std::size_t ready = 0; ///< of the asked nodes
    std::size_t known = 0; ///< asked, or known by an asked node as not gone
    std::size_t gone = 0; ///< dead or left by the view of a node
};

/// What all answers say together.
struct node_overview {
    std::vector<node_report> nodes; ///< in the order asked
    std::vector<member_report> notAsked; ///< known by the nodes only; the state is the worst that one reports
    std::map<std::string, zone_summary> zones;
    std::map<std::string, std::map<std::string, std::size_t>> targets; ///< number of nodes by target and state
    std::map<std::string, std::string> targetZones;
    std::map<std::string, std::vector<std::string>> leases; ///< holders by target group; more than one while one lapses
    std::uint64_t highestTicket = 0;
    std::uint64_t lowestTicket = 0; ///< of the nodes that answered
    std::int64_t openRequests = 0;
};

node_overview mergeReports(std::vector<node_report> nodes);

/// \return tables of nodes, zones, targets and leases
std::string overviewTable(const node_overview& overview);

/// \return one JSON object
std::string overviewJson(const node_overview& overview);

} // namespace oriolepick
