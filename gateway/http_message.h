/// \file
/// HTTP messages as data: fields keep the order, case and bytes in which they came.
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

/// \return the value of the first field called \p name in any letter case, or null
const std::string* findField(const header_list& fields, std::string_view name);

/// \return whether \p name concerns one connection only and is never forwarded; \p connectionValue is the value of the
/// Connection field, whose members are such names too
bool isConnectionField(std::string_view name, std::string_view connectionValue);

/// A whole request.
struct http_request {
    std::string method;
    std::string target; ///< path and query as they came
    int version = 11; ///< 10 or 11
    header_list fields;
    std::string body;
    bool keepAlive = true;

    /// \return the target without its query
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

/// Status line and fields of a response.
struct http_response_head {
    int status = 0;
    std::string reason;
    header_list fields;
};

/// \return the standard reason phrase of \p status
std::string_view reasonOf(int status);

} // namespace oriolepick
