/// \file
/// JSON of rows between nodes, and of a node's own registration.
#pragma once

#include "gateway/row_source.h"
#include "routing/node_roster.h"

#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

/// \return {"revision":…,"age_ms":…,"rows":[[key,value,removed],…]} with keys and values in base64
std::string encodeRows(const row_answer& answer);

/// \return the rows with status Done, or Malformed with the problem
row_answer decodeRows(std::string_view text);

/// \return {"zone":…,"peer_address":…,"beat":…}
std::string encodeNode(const node_entry& entry);

/// \param name the key of the row
/// \return the registration, or nothing when it cannot be read
std::optional<node_entry> decodeNode(const std::string& name, std::string_view text);

} // namespace oriolepick
