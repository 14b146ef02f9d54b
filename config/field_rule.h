/// \file
/// What a JSON field must satisfy. One description of each object's fields serves reading, writing and the schema.
#pragma once

#include <cstddef>
#include <string_view>

namespace oriolepick {

/// The form of a text value or of each item of a list of texts.
enum class text_form {
    Any, ///< up to MaxTextBytes
    Name, ///< NamePattern
    OptionalName, ///< empty or a name
    Digest, ///< 64 lower-case hex digits
    Address, ///< "ip:port"
    Role, ///< mixed, prefill or decode
    Method, ///< an HTTP method
};

/// Whether a field may be left out.
enum class presence { Required, Optional };

/// What happens to the fraction of a number that is held as a whole one.
enum class fraction_rule {
    Refused, ///< only whole numbers are valid; 8.0 is one
    RoundedDown,
    RoundedUp,
};

constexpr std::size_t MaxTextBytes = 2048;
constexpr std::size_t MaxListItems = 20'000; ///< above the 12,000 workers of the design scale
constexpr std::string_view NamePattern = "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$";
constexpr std::string_view DigestPattern = "^[0-9a-f]{64}$";

/// The limits of one field. Numbers: least, most and, unless fractions are held, fractions; lists: fewestItems.
struct field_rule {
    presence needed = presence::Optional;
    text_form form = text_form::Any;
    double least = 0;
    double most = 1e9;
    std::size_t fewestItems = 0;
    fraction_rule fractions = fraction_rule::Refused;
};

/// \return whether \p text matches NamePattern
bool isName(std::string_view text);

/// \return an empty text when \p text has the form, otherwise what is wrong with it
std::string_view problemOfText(text_form form, std::string_view text);

} // namespace oriolepick
