/// \file
/// Port to the platform's transactional table service.
#pragma once

#include "core/error.h"
#include "core/table_transaction.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// The table service as this system uses it. Implementations are thread-safe.
class table_service {
public:
    virtual ~table_service() = default;

    /// Commits a transaction.
    /// \return committed or the failed conditions; PlatformUnavailable when it surely had no effect;
    ///     PlatformUnknown when the answer was lost and it may have taken effect
    virtual result<table_outcome> commit(const table_transaction& transaction, std::chrono::milliseconds timeout) = 0;

    /// \return the row, or nothing when it is absent
    virtual result<std::optional<table_row>> read(const std::string& key, std::chrono::milliseconds timeout) const = 0;

    /// \param prefix only keys that start with it
    /// \param after only keys greater than it
    /// \return at most \p limit rows in key order
    virtual result<std::vector<table_row>> scan(const std::string& prefix, const std::string& after, std::size_t limit,
        std::chrono::milliseconds timeout) const = 0;

    /// \return the highest epoch of the store in any response so far; rows carry the epoch of their own response
    virtual store_epoch epoch() const = 0;
};

} // namespace oriolepick
