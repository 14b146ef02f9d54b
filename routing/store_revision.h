/// \file
/// Revisions of the platform's store, ordered across restores of the store from older copies.
#pragma once

#include <cstdint>
#include <tuple>

namespace oriolepick {

/// A state of the store. A store that is restored from an older copy hands out the numbers since that copy again, so
/// numbers are comparable within one epoch only.
struct store_revision {
    std::uint64_t epoch = 0; ///< increases with each restore of the store; 0 if the store or a node does not report it
    std::uint64_t number = 0; ///< increases with each transaction within one epoch

    friend bool operator==(const store_revision& left, const store_revision& right)
    {
        return std::tie(left.epoch, left.number) == std::tie(right.epoch, right.number);
    }
    friend bool operator<(const store_revision& left, const store_revision& right)
    {
        return std::tie(left.epoch, left.number) < std::tie(right.epoch, right.number);
    }
    friend bool operator!=(const store_revision& left, const store_revision& right) { return !(left == right); }
    friend bool operator>(const store_revision& left, const store_revision& right) { return right < left; }
    friend bool operator<=(const store_revision& left, const store_revision& right) { return !(right < left); }
    friend bool operator>=(const store_revision& left, const store_revision& right) { return !(left < right); }
};

} // namespace oriolepick
