/// \file
/// A small HTTP server for pages without a body to read, such as readiness and metrics.
#pragma once

#include "gateway/byte_channel.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace oriolepick {

/// What a page answers.
struct page_answer {
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// Answers GET requests by their target.
class http_endpoint {
public:
    using handler = std::function<page_answer(std::string_view target)>;

    /// \param address "IP:PORT"; throws boost::system::system_error when it cannot be bound
    http_endpoint(boost::asio::io_context& loop, const std::string& address, handler answer);
    ~http_endpoint();

private:
    class connection;
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    handler m_answer;
    std::set<std::shared_ptr<connection>> m_connections;
};

} // namespace oriolepick
