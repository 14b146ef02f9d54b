/// \file
/// A transactional table in memory, shared by the platform emulator and the in-process fake.
#pragma once

#include "core/table_transaction.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// Rows with versions; each transaction is atomic. A version of an earlier epoch fails its condition. Thread-safe.
class memory_table {
public:
    /// Checks all conditions, then applies all writes.
    table_outcome commit(const table_transaction& transaction);

    /// \return the row, or nothing when it is absent
    std::optional<table_row> read(const std::string& key) const;

    /// \return at most \p limit rows whose keys start with \p prefix and are greater than \p after, in key order
    std::vector<table_row> scan(const std::string& prefix, const std::string& after, std::size_t limit) const;

    struct stored_row {
        std::string value;
        std::uint64_t version = 0;
    };
    using contents = std::map<std::string, stored_row>;

    /// \return all rows as they are now
    contents copy() const;

    /// Comes back from \p copy with the next epoch: what was written since is gone, and its versions are handed out
    /// again.
    void restore(contents copy);

    store_epoch epoch() const;

private:
    bool holds(const table_condition& condition) const;

    mutable std::mutex m_mutex;
    contents m_rows;
    store_epoch m_epoch = 0;
};

} // namespace oriolepick
