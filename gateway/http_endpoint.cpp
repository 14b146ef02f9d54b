#include "gateway/http_endpoint.h"

#include "core/text.h"
#include "gateway/http_parser.h"
#include "gateway/socket_address.h"

#include <boost/asio/io_context.hpp>

namespace oriolepick {

namespace {

    constexpr std::uint32_t MaxHeaderBytes = 8'192; ///< probes and scrapers send few fields
    constexpr std::size_t MaxConnections = 256; ///< one for each node of a large zone

} // namespace

class http_endpoint::connection : public connection_listener, public std::enable_shared_from_this<connection> {
public:
    connection(http_endpoint& owner, std::shared_ptr<tcp_connection> tcpConnection)
        : m_owner(owner)
        , m_connection(std::move(tcpConnection))
        , m_parser(std::make_unique<request_parser>(MaxHeaderBytes, 0))
    {
    }

    void start()
    {
        m_connection->setListener(weak_from_this());
        m_connection->startReading();
    }

    void onBytes(std::string_view bytes) override
    {
        const auto self = shared_from_this(); // onEnd() releases the owner's reference to this connection
        m_input.append(bytes);
        while (!m_input.empty() && m_connection->isOpen()) {
            m_input.erase(0, m_parser->put(m_input));
            if (m_parser->parseError() != parse_error::None || m_input.size() > MaxHeaderBytes) {
                m_connection->close();
                onEnd(connection_end::Closed);
                return;
            }
            if (!m_parser->isDone())
                return;
            respond(m_parser->take());
            m_parser = std::make_unique<request_parser>(MaxHeaderBytes, 0);
        }
    }

    void onEnd(connection_end) override { m_owner.m_connections.erase(shared_from_this()); }

private:
    void respond(const http_request& request)
    {
        const auto page = m_owner.m_handler(request.target);
        m_connection->send(concatenated("HTTP/1.1 ", page.status, " ", reasonPhrase(page.status),
            "\r\nContent-Type: ", page.contentType, "\r\nContent-Length: ", page.body.size(),
            request.keepAlive ? "" : "\r\nConnection: close", "\r\n\r\n", page.body));
        if (!request.keepAlive) {
            m_connection->closeAfterSending();
            onEnd(connection_end::Closed);
        }
    }

    http_endpoint& m_owner;
    std::shared_ptr<tcp_connection> m_connection;
    std::unique_ptr<request_parser> m_parser;
    std::string m_input;
};

http_endpoint::http_endpoint(boost::asio::io_context& loop, const std::string& address, handler respond)
    : m_acceptor(loop, parseSocketAddress(address).value())
    , m_handler(std::move(respond))
{
    accept();
}

http_endpoint::~http_endpoint() = default;

void http_endpoint::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error && m_connections.size() < MaxConnections) {
            auto accepted = std::make_shared<connection>(
                *this, std::make_shared<tcp_connection>(std::move(socket), tcp_connection_settings {}));
            m_connections.insert(accepted);
            accepted->start();
        }
        accept();
    });
}

} // namespace oriolepick
