/// \file
/// Requests and answers of a node as bytes, for tests of how it reads a connection.
#pragma once

#include <cstddef>
#include <string>

namespace oriolepick {

inline const std::string Health = "GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n";

/// \return the number of answers in the bytes that a connection received
inline std::size_t answersIn(const std::string& bytes)
{
    std::size_t count = 0;
    for (auto at = bytes.find("HTTP/1.1 "); at != std::string::npos; at = bytes.find("HTTP/1.1 ", at + 1))
        ++count;
    return count;
}

} // namespace oriolepick
