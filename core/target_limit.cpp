#include "core/target_limit.h"

#include <algorithm>
#include <cmath>

namespace oriolepick {

namespace {

    constexpr double NotableChange = 0.1; ///< share of the larger limit

} // namespace

named_limit readLimit(double requestsPerSecond)
{
    if (!std::isfinite(requestsPerSecond) || requestsPerSecond < 0)
        return { limit_reading::Invalid, std::nullopt };
    if (requestsPerSecond > MaxRequestLimit)
        return { limit_reading::Ignored, std::nullopt };
    if (requestsPerSecond < MinRequestLimit)
        return { limit_reading::Raised, MinRequestLimit };
    return { limit_reading::AsNamed, requestsPerSecond };
}

bool differsNotably(const target_limit& left, const target_limit& right)
{
    if (left.incarnation != right.incarnation
        || left.requestsPerSecond.has_value() != right.requestsPerSecond.has_value())
        return true;
    if (!left.requestsPerSecond)
        return false;
    const auto [smaller, larger] = std::minmax(*left.requestsPerSecond, *right.requestsPerSecond);
    return larger - smaller > NotableChange * larger;
}

} // namespace oriolepick
