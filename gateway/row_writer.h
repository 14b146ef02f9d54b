/// \file
/// The port to the tables of the platform's store, as far as a gateway writes them.
#pragma once

#include <functional>
#include <string>

namespace oriolepick {

/// One write at a time; rows are written whole, so that a write may be sent again.
class row_writer {
public:
    using callback = std::function<void(bool written, const std::string& problem)>;

    virtual ~row_writer() = default;

    /// Writes one row whatever it holds.
    virtual void put(const std::string& table, const std::string& key, const std::string& value, callback done) = 0;

    /// Removes one row.
    virtual void remove(const std::string& table, const std::string& key, callback done) = 0;
};

} // namespace oriolepick
