/// \file
/// Where the body of a caller's request ends.
#pragma once

#include <cstdint>
#include <string>

namespace httplib {
struct Request;
}

namespace oriolepick {

/// \return what leaves open where the body ends, empty for nothing
std::string findFramingFault(const httplib::Request& request);

/// \return whether the request's method may have a body that the HTTP library reads
bool mayHaveBody(const httplib::Request& request);

/// \return whether the HTTP library answers the request without reading the body that follows it
bool leavesBody(const httplib::Request& request);

/// \return size of the body that follows the head; the largest value if the head does not tell, as for a chunked body
std::uint64_t bodyBytes(const httplib::Request& request);

} // namespace oriolepick
