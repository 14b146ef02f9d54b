/// \file
/// Where the body of a caller's request ends.
#pragma once

#include <cstdint>

namespace httplib {
struct Request;
}

namespace oriolepick {

/// \return whether the HTTP library answers the request without reading the body that follows it
bool leavesBody(const httplib::Request& request);

/// \return size of the body that follows the head; the maximum if only the body tells
std::uint64_t bodyBytes(const httplib::Request& request);

} // namespace oriolepick
