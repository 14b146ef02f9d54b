/// \file
/// Seeded pseudo-random generator. Components receive it as a parameter, so that every decision can be replayed.
#pragma once

#include <cstdint>

namespace oriolepick {

/// SplitMix64 generator; equal seeds give equal sequences on every platform.
class seeded_random {
public:
    explicit seeded_random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    /// \return the next 64 random bits
    std::uint64_t next();

    /// \param bound exclusive upper bound, at least 1
    /// \return a uniformly distributed number in [0, bound)
    std::uint64_t below(std::uint64_t bound);

    /// \return a uniformly distributed number in [0, 1)
    double unit();

private:
    std::uint64_t m_state;
};

} // namespace oriolepick
