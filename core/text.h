/// \file
/// Text helpers for std::string_view. The packaged Abseil is built with its own string_view type, so its helpers cannot
/// be used.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace oriolepick {

/// \return whether two texts are equal, ignoring the case of ASCII letters
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// \return \p text with its ASCII letters in lower case
std::string lowerCased(std::string_view text);

/// \return \p text without leading and trailing white space
std::string_view trimmed(std::string_view text);

/// Removes the part of \p text up to and including the first \p separator.
/// \return the removed part without the separator, or all of \p text if it has no separator
std::string_view takeUntil(std::string_view& text, char separator);

/// \return whether \p text begins with \p prefix
inline bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

/// \return the number that the whole of \p text represents, or nothing if \p text is not exactly one number
template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return number;
}

/// Appends texts, characters and whole numbers to \p text.
template <typename... Parts> void append(std::string& text, const Parts&... parts)
{
    const auto add = [&text](const auto& part) {
        using part_type = std::decay_t<decltype(part)>;
        if constexpr (std::is_arithmetic_v<part_type>)
            text += std::to_string(part);
        else
            text += part;
    };
    (add(parts), ...);
}

/// \return the concatenation of \p parts
template <typename... Parts> std::string concatenated(const Parts&... parts)
{
    std::string text;
    append(text, parts...);
    return text;
}

/// \return \p number in hexadecimal, padded with zeros to at least \p width digits
std::string hexadecimal(std::uint64_t number, std::size_t width = 1);

} // namespace oriolepick
