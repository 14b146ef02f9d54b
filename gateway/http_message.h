/// \file
/// HTTP message types. Header fields keep their order, letter case and bytes as received.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// One header field.
struct header_field {
    std::string name;
    std::string value;
};

using header_list = std::vector<header_field>;

/// \return the value of the first field called \p name (case-insensitive), or null
const std::string* findField(const header_list& fields, std::string_view name);

/// \return whether \p name is a hop-by-hop field or one that frames the message; such fields are never forwarded
/// \param connectionValue value of the Connection field, which lists further hop-by-hop fields
bool isHopByHopField(std::string_view name, std::string_view connectionValue);

/// A complete request.
struct http_request {
    std::string method;
    std::string target; ///< path and query as received
    int version = 11; ///< 10 for HTTP/1.0, 11 for HTTP/1.1
    header_list fields;
    std::string body;
    bool keepAlive = true;

    /// \return the target without its query
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

/// Status line and header fields of a response.
struct http_response_head {
    int status = 0;
    std::string reason;
    header_list fields;
};

/// \return the standard reason phrase of \p status
std::string_view reasonPhrase(int status);

} // namespace oriolepick
