#include "core/text.h"

#include <algorithm>
#include <array>

namespace oriolepick {

namespace {

    char lower(char letter)
    {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    }

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char first, char second) { return lower(first) == lower(second); });
}

std::string lowerCased(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), lower);
    return result;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Space = " \t\r\n";
    const auto first = text.find_first_not_of(Space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Space) - first + 1);
}

std::string_view takeUntil(std::string_view& text, char separator)
{
    const auto end = text.find(separator);
    const auto part = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return part;
}

std::string hexadecimal(std::uint64_t number, std::size_t width)
{
    std::array<char, 16> digits;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
    std::string text(digits.data(), end);
    if (text.size() < width)
        text.insert(0, width - text.size(), '0');
    return text;
}

} // namespace oriolepick
