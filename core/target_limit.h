/// \file
/// The request rate that a target accepts from all nodes together, as it names it in its responses.
#pragma once

#include "core/identifier.h"

#include <cstdint>
#include <optional>

namespace oriolepick {

/// Name of a target that may name a limit, unique among the targets of all fleets.
using limited_target = identifier<struct limited_target_tag>;

/// Smallest limit in requests per second. A target that names less still gets this many requests from all nodes
/// together, because only a response can end its limit.
inline constexpr double MinRequestLimit = 0.25;

/// Limits above this many requests per second are ignored: no target reaches them.
inline constexpr double MaxRequestLimit = 100'000;

/// How the number in a response was taken.
enum class limit_reading {
    AsNamed,
    Raised, ///< below MinRequestLimit, which is used instead
    Ignored, ///< above MaxRequestLimit: the target has no limit
    Invalid, ///< negative or not a finite number: the previous limit remains in force
};

/// A number that was read from a response.
struct named_limit {
    limit_reading reading = limit_reading::AsNamed;
    std::optional<double> requestsPerSecond; ///< the limit to keep; nothing if it is ignored or invalid
};

/// Classifies the number \p requestsPerSecond that a target named.
named_limit readLimit(double requestsPerSecond);

/// What one incarnation of a target stated last.
struct target_limit {
    std::optional<double> requestsPerSecond; ///< over all nodes; nothing if the target has no limit
    std::uint64_t incarnation = 0; ///< start of the target's process, increasing; 0 if unknown
};

/// \return whether the difference is large enough to notify other nodes: a limit begins or ends, belongs to another
///     incarnation, or changes by more than a tenth
bool differsNotably(const target_limit& left, const target_limit& right);

} // namespace oriolepick
