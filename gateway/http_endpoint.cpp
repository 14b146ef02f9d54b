#include "gateway/http_endpoint.h"

#include "core/text.h"
#include "gateway/http_reader.h"
#include "gateway/socket_address.h"

#include <boost/asio/io_context.hpp>

namespace oriolepick {

namespace {

    constexpr std::uint32_t MaxHeaderBytes = 8'192; ///< probes and scrapers send few fields
    constexpr std::size_t MaxConnections = 256; ///< one for each node of a large zone

} // namespace

class http_endpoint::connection : public channel_listener, public std::enable_shared_from_this<connection> {
public:
    connection(http_endpoint& owner, std::shared_ptr<byte_channel> channel)
        : m_owner(owner)
        , m_channel(std::move(channel))
        , m_reader(std::make_unique<request_reader>(MaxHeaderBytes, 0))
    {
    }

    void start()
    {
        m_channel->setListener(weak_from_this());
        m_channel->startReading();
    }

    void onBytes(std::string_view bytes) override
    {
        const auto self
            = shared_from_this(); // the owner drops its reference when the last response closes this connection
        m_input.append(bytes);
        while (!m_input.empty() && m_channel->isOpen()) {
            m_input.erase(0, m_reader->put(m_input));
            if (m_reader->fault() != read_fault::None || m_input.size() > MaxHeaderBytes) {
                m_channel->close();
                onEnd(channel_end::Closed);
                return;
            }
            if (!m_reader->isDone())
                return;
            answer(m_reader->take());
            m_reader = std::make_unique<request_reader>(MaxHeaderBytes, 0);
        }
    }

    void onEnd(channel_end) override { m_owner.m_connections.erase(shared_from_this()); }

private:
    void answer(const http_request& request)
    {
        const auto page = m_owner.m_answer(request.target);
        m_channel->send(concatenated("HTTP/1.1 ", page.status, " ", reasonOf(page.status),
            "\r\nContent-Type: ", page.contentType, "\r\nContent-Length: ", page.body.size(),
            request.keepAlive ? "" : "\r\nConnection: close", "\r\n\r\n", page.body));
        if (!request.keepAlive) {
            m_channel->closeAfterSending();
            onEnd(channel_end::Closed);
        }
    }

    http_endpoint& m_owner;
    std::shared_ptr<byte_channel> m_channel;
    std::unique_ptr<request_reader> m_reader;
    std::string m_input;
};

http_endpoint::http_endpoint(boost::asio::io_context& loop, const std::string& address, handler answer)
    : m_acceptor(loop, parseSocketAddress(address).value())
    , m_answer(std::move(answer))
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
                *this, std::make_shared<byte_channel>(std::move(socket), channel_settings {}));
            m_connections.insert(accepted);
            accepted->start();
        }
        accept();
    });
}

} // namespace oriolepick
