/// \file
/// Text helpers for std::string_view; the packaged Abseil has a string view type of its own.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace oriolepick {

/// \return whether two ASCII texts are equal up to letter case
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// \return \p text in lower-case ASCII letters
std::string lowerCased(std::string_view text);

/// \return \p text without white space at both ends
std::string_view trimmed(std::string_view text);

/// \return the part of \p text before \p separator; \p text keeps what is behind it
std::string_view takeUntil(std::string_view& text, char separator);

/// \return whether \p text begins with \p prefix
inline bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

/// \return the number that \p text is as a whole, or nothing
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

/// \return the joined \p parts
template <typename... Parts> std::string concatenated(const Parts&... parts)
{
    std::string text;
    append(text, parts...);
    return text;
}

/// \return \p number in hexadecimal digits, at least \p width
std::string hexadecimal(std::uint64_t number, std::size_t width = 1);

} // namespace oriolepick
