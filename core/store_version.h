/// \file
/// Versions that the platform's store hands out. A store that comes back from a copy hands out numbers a second time,
/// so a number is compared only together with the store's epoch.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace oriolepick {

/// Counts how often the store came back from a copy.
using store_epoch = std::uint64_t;

/// A number of the store in one of its epochs, ordered by the epoch first.
class store_version {
public:
    store_version() = default;
    store_version(store_epoch epoch, std::uint64_t number)
        : m_epoch(epoch)
        , m_number(number)
    {
    }

    store_epoch epoch() const { return m_epoch; }
    std::uint64_t number() const { return m_number; }

    /// \return the version after the next write in the same epoch
    store_version next() const { return { m_epoch, m_number + 1 }; }

    /// \return "epoch/number"
    std::string text() const { return std::to_string(m_epoch) + "/" + std::to_string(m_number); }

    friend bool operator==(const store_version& left, const store_version& right) { return left.key() == right.key(); }
    friend bool operator!=(const store_version& left, const store_version& right) { return left.key() != right.key(); }
    friend bool operator<(const store_version& left, const store_version& right) { return left.key() < right.key(); }
    friend bool operator>(const store_version& left, const store_version& right) { return left.key() > right.key(); }
    friend bool operator<=(const store_version& left, const store_version& right) { return left.key() <= right.key(); }
    friend bool operator>=(const store_version& left, const store_version& right) { return left.key() >= right.key(); }

private:
    std::tuple<store_epoch, std::uint64_t> key() const { return { m_epoch, m_number }; }

    store_epoch m_epoch = 0;
    std::uint64_t m_number = 0;
};

} // namespace oriolepick
