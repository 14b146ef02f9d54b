#include "config/nearest_name.h"

#include <algorithm>
#include <cstddef>

namespace oriolepick {

namespace {

    // The distance is quadratic in the length; an unknown name from outside may be long.
    constexpr std::size_t LongestCompared = 64;

    std::size_t editDistance(std::string_view left, std::string_view right)
    {
        std::vector<std::size_t> row(right.size() + 1);
        for (std::size_t column = 0; column <= right.size(); ++column)
            row[column] = column;
        for (std::size_t line = 1; line <= left.size(); ++line) {
            std::size_t diagonal = row[0];
            row[0] = line;
            for (std::size_t column = 1; column <= right.size(); ++column) {
                const std::size_t above = row[column];
                const std::size_t replaced = diagonal + (left[line - 1] == right[column - 1] ? 0 : 1);
                row[column] = std::min({ replaced, above + 1, row[column - 1] + 1 });
                diagonal = above;
            }
        }
        return row.back();
    }

} // namespace

std::optional<std::string> nearestName(std::string_view unknown, const std::vector<std::string>& known)
{
    if (unknown.size() > LongestCompared)
        return std::nullopt;
    std::optional<std::string> nearest;
    std::size_t least = 0;
    for (const auto& name : known) {
        const auto distance = editDistance(unknown, name);
        if (distance * 2 <= std::max(unknown.size(), name.size()) && (!nearest || distance < least)) {
            nearest = name;
            least = distance;
        }
    }
    return nearest;
}

std::string unknownFieldProblem(std::string_view unknown, const std::vector<std::string>& known)
{
    if (const auto nearest = nearestName(unknown, known))
        return "unknown field, did you mean '" + *nearest + "'?";
    std::string list;
    for (const auto& name : known)
        list += (list.empty() ? "" : ", ") + name;
    return "unknown field, known are: " + list;
}

} // namespace oriolepick
