/// \file
/// Recognises a request that its caller sends again.
#pragma once

#include <cstdint>
#include <tuple>

namespace oriolepick {

/// Hash of all that one caller's request says, its attempts' own identifiers and times left out. 128 bits: with 64 two
/// of the requests of a few years would be taken for one.
struct request_hash {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const request_hash& left, const request_hash& right)
    {
        return left.high == right.high && left.low == right.low;
    }
    friend bool operator<(const request_hash& left, const request_hash& right)
    {
        return std::tie(left.high, left.low) < std::tie(right.high, right.low);
    }
};

} // namespace oriolepick
