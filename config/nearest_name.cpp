#include "config/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace oriolepick {

namespace {

    std::size_t editDistance(std::string_view left, std::string_view right)
    {
        std::vector<std::size_t> row(right.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 1; i <= left.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= right.size(); ++j) {
                const std::size_t above = row[j];
                const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
                row[j] = std::min({ above + 1, row[j - 1] + 1, substitution });
                diagonal = above;
            }
        }
        return row.back();
    }

} // namespace

std::string nearestName(std::string_view name, const std::vector<std::string_view>& known)
{
    // Longer names are cut before the comparison, which is quadratic and runs on outside input.
    constexpr std::size_t MaximumLength = 64;
    name = name.substr(0, MaximumLength);
    std::size_t best = std::max<std::size_t>(2, name.size() / 2) + 1;
    std::string_view nearest;
    for (const auto candidate : known) {
        const auto distance = editDistance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return std::string(nearest);
}

} // namespace oriolepick
