/// \file
/// Transactions on the platform's table service. The core composes them and an adapter executes them.
#pragma once

#include "core/store_version.h"

#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// A row that was read from the table.
struct table_row {
    std::string key;
    std::string value;
    store_version version; ///< grows with each write of the row
};

/// A condition that must hold when a transaction commits.
struct table_condition {
    std::string key;
    std::optional<store_version> version; ///< expected version, or nothing if the row must be absent
};

/// A write of one row.
struct table_write {
    std::string key;
    std::optional<std::string> value; ///< nothing deletes the row
};

/// All writes take effect if all conditions hold, otherwise none of them.
struct table_transaction {
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
};

/// The definite outcome of a transaction; a lost answer is reported as an error of kind PlatformUnknown.
struct table_outcome {
    bool committed = false;
    std::vector<std::string> failedKeys; ///< keys whose condition failed, when not committed
    std::vector<store_version>
        versions {}; ///< new version of each write in the same order, number 0 for a deletion or if unknown
};

} // namespace oriolepick
