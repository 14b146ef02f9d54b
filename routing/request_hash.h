/// \file
/// Hash that identifies a request which its caller sends again.
#pragma once

#include <cstdint>
#include <tuple>

namespace oriolepick {

/// Hash of the content of a request and its caller, without the identifiers and times of single attempts. It has 128
/// bits: with 64, two different requests would collide within a few years.
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
