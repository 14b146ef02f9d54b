#include "core/seeded_random.h"

namespace oriolepick {

namespace {

    __extension__ using uint128 = unsigned __int128;

} // namespace

std::uint64_t seeded_random::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

std::uint64_t seeded_random::below(std::uint64_t bound)
{
    // Multiplication instead of modulo: the bias is below 2^-32 for the small bounds used here.
    return static_cast<std::uint64_t>((static_cast<uint128>(next()) * bound) >> 64);
}

double seeded_random::unit()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

} // namespace oriolepick
