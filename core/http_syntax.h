/// \file
/// Syntax rules of HTTP (RFC 9110) that the HTTP libraries do not check.
#pragma once

namespace oriolepick {

/// \return whether \p status is a status code of HTTP, interim ones included
constexpr bool isStatusCode(int status)
{
    return status >= 100 && status <= 599;
}

} // namespace oriolepick
