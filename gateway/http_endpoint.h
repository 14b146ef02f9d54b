/// \file
/// A small HTTP server for GET requests, such as readiness probes and metrics scrapes.
#pragma once

#include "gateway/tcp_connection.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace oriolepick {

/// The response of a page.
struct page_response {
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// Serves requests without a body; the handler chooses the page by the request target.
class http_endpoint {
public:
    using handler = std::function<page_response(std::string_view target)>;

    /// \param address "IP:PORT"; throws boost::system::system_error when it cannot be bound
    http_endpoint(boost::asio::io_context& loop, const std::string& address, handler respond);
    ~http_endpoint();

private:
    class connection;
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    handler m_handler;
    std::set<std::shared_ptr<connection>> m_connections;
};

} // namespace oriolepick
