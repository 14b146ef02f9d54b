/// \file
/// Syntax rules of HTTP (RFC 9110) that the HTTP libraries do not check.
#pragma once

#include <string_view>

namespace oriolepick {

/// \return whether \p status is a status code of HTTP, interim ones included
constexpr bool isStatusCode(int status)
{
    return status >= 100 && status <= 599;
}

/// \return whether \p text is a token, such as a method or the name of a header field
bool isToken(std::string_view text);

/// \return whether \p text has a control character other than a tab, which no value of a header field has
bool hasControlCharacter(std::string_view text);

} // namespace oriolepick
