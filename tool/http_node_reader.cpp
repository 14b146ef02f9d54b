#include "tool/http_node_reader.h"

#include <httplib.h>

namespace oriolepick {

http_node_reader::http_node_reader(std::chrono::milliseconds timeout)
    : m_timeout(timeout)
{
}

result<std::string> http_node_reader::read(
    const std::string& address, const std::string& page, const std::string& token)
{
    const bool hasScheme = address.find("://") != std::string::npos;
    httplib::Client client(hasScheme ? address : "http://" + address);
    client.set_connection_timeout(m_timeout);
    client.set_read_timeout(m_timeout);
    client.set_write_timeout(m_timeout);
    httplib::Headers headers;
    if (!token.empty())
        headers.emplace("Authorization", "Bearer " + token);
    const auto response = client.Get(!page.empty() && page.front() == '/' ? page : "/v1/admin/" + page, headers);
    if (!response)
        return error { error_kind::TargetFailed,
            "node " + address + " does not answer: " + httplib::to_string(response.error()) };
    if (response->status == 200)
        return response->body;
    if (response->status == errorResponseFor(error_kind::Unauthorized).status)
        return error { error_kind::Unauthorized, "node " + address + " rejects the operators' token" };
    if (response->status == errorResponseFor(error_kind::NodeNotReady).status)
        return error { error_kind::NodeNotReady, "node " + address + " does not know the state in force yet" };
    return error { error_kind::TargetFailed,
        "node " + address + " answered status " + std::to_string(response->status) };
}

} // namespace oriolepick
