/// \file
/// Transactions on the platform's table service as data: the core composes them, an adapter executes them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// A row as the table returns it.
struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< grows by one with each write of the row
};

/// A condition that must hold when a transaction commits.
struct table_condition {
    std::string key;
    std::optional<std::uint64_t> version; ///< expected version; nothing means that the row must be absent
};

/// A write of one row.
struct table_write {
    std::string key;
    std::optional<std::string> value; ///< nothing deletes the row
};

/// All writes take effect if all conditions hold, otherwise none does.
struct table_transaction {
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
};

/// The definite answer to a transaction; a lost answer is an error of kind PlatformUnknown instead.
struct table_outcome {
    bool committed = false;
    std::vector<std::string> failedKeys; ///< keys whose condition failed, when not committed
    std::vector<std::uint64_t>
        versions {}; ///< new version of each write in its order, 0 for a deletion or when unknown
};

} // namespace oriolepick
