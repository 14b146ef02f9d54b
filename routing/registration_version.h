/// \file
/// Order of the registrations of one target.
#pragma once

#include <cstdint>
#include <limits>
#include <tuple>

namespace oriolepick {

/// Orders what a target wrote under its name: first by its incarnation, then by the renewal within it. The order is
/// total and depends on nothing but the registration, so that all nodes agree whatever they have read before.
///
/// A registration always names both. An entry that lacks one, or has it with another type, is another writer's: it has
/// no version and names no target. The incarnation 0 is that of a target that was found without the registry by a node
/// that could not learn its start; it precedes all others.
struct registration_version {
    std::uint64_t incarnation = 0; ///< start of the target in Unix milliseconds
    std::uint64_t renewal = 0; ///< increases within one incarnation; 0 if no renewal is known

    /// \return the version that is \p count renewals later in the same incarnation, or its last one
    registration_version after(std::uint64_t count) const
    {
        const auto most = std::numeric_limits<std::uint64_t>::max() - renewal;
        return { incarnation, renewal + (count < most ? count : most) };
    }

    /// \return whether this version is a later renewal in the incarnation of \p earlier
    bool renews(const registration_version& earlier) const
    {
        return incarnation == earlier.incarnation && renewal > earlier.renewal;
    }

    friend bool operator==(const registration_version& left, const registration_version& right)
    {
        return std::tie(left.incarnation, left.renewal) == std::tie(right.incarnation, right.renewal);
    }
    friend bool operator<(const registration_version& left, const registration_version& right)
    {
        return std::tie(left.incarnation, left.renewal) < std::tie(right.incarnation, right.renewal);
    }
    friend bool operator!=(const registration_version& left, const registration_version& right)
    {
        return !(left == right);
    }
    friend bool operator>(const registration_version& left, const registration_version& right) { return right < left; }
    friend bool operator<=(const registration_version& left, const registration_version& right)
    {
        return !(right < left);
    }
    friend bool operator>=(const registration_version& left, const registration_version& right)
    {
        return !(left < right);
    }
};

} // namespace oriolepick
