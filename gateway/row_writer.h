/// \file
/// Interface by which a gateway writes tables of the platform's store.
#pragma once

#include <functional>
#include <string>

namespace oriolepick {

/// Writes rows without blocking. Only one write is in progress at a time; rows are written whole, so that a write may
/// be repeated.
class row_writer {
public:
    using callback = std::function<void(bool written, const std::string& problem)>;

    virtual ~row_writer() = default;

    /// Writes one row regardless of its current value.
    virtual void put(const std::string& table, const std::string& key, const std::string& value, callback done) = 0;

    /// Removes one row.
    virtual void remove(const std::string& table, const std::string& key, callback done) = 0;
};

} // namespace oriolepick
