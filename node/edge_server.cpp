#include "node/edge_server.h"

#include "node/caller_stream.h"
#include "node/plain_channel.h"
#include "node/request_framing.h"
#include "node/tls_channel.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <limits>

// The library's server makes a stream for each request, and loses what the last one has read ahead. These servers keep
// one stream for a connection, and let the library process one request after the other on it.

namespace oriolepick {

namespace {

    constexpr std::uint64_t UnknownLength = std::numeric_limits<std::uint64_t>::max();

    /// Largest ratio of a chunked body with the sizes of its chunks to the limit of bodies.
    constexpr std::uint64_t MaxChunkedOverhead = 2;

    std::chrono::milliseconds limitOf(time_t seconds, time_t microseconds)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(
            std::chrono::seconds(seconds) + std::chrono::microseconds(microseconds));
    }

    void makeNonBlocking(int socket)
    {
        ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL, 0) | O_NONBLOCK);
    }

    void closeSocket(int socket)
    {
        ::shutdown(socket, SHUT_RDWR);
        httplib::detail::close_socket(socket);
    }

    /// \tparam Base a server of the library
    template <typename Base> class connection_server : public Base {
    public:
        template <typename... Arguments>
        explicit connection_server(const std::atomic<bool>& cut, Arguments... arguments)
            : Base(arguments...)
            , m_cut(cut)
        {
        }

    protected:
        /// Serves the requests of one connection until it ends.
        /// \param session of TLS, or null
        bool serveRequests(byte_channel& channel, ssl_st* session)
        {
            caller_stream stream(channel, limitOf(this->read_timeout_sec_, this->read_timeout_usec_),
                limitOf(this->write_timeout_sec_, this->write_timeout_usec_), m_cut);
            bool served = false;
            // A request that has arrived before a stop is answered.
            for (auto left = this->keep_alive_max_count_; left > 0 && stream.waitForRequest(idleLimit()); --left) {
                served = serveRequest(stream, session, left == 1);
                if (!served)
                    break;
            }
            stream.finish();
            return served;
        }

    private:
        std::chrono::milliseconds idleLimit() const
        {
            const bool stopped = this->svr_sock_ == INVALID_SOCKET;
            return stopped ? std::chrono::milliseconds(0) : std::chrono::seconds(this->keep_alive_timeout_sec_);
        }

        /// \return whether a further request may follow
        bool serveRequest(caller_stream& stream, ssl_st* session, bool last)
        {
            bool closed = false;
            bool bodyIsRead = false;
            stream.expectBody(UnknownLength); // until the head is understood
            stream.limitInput(UnknownLength);
            const bool processed = this->process_request(stream, last, closed, [&](httplib::Request& request) {
                request.ssl = session;
                stream.expectBody(bodyBytes(request));
                // The library limits only bodies of a known length.
                if (request.has_header("Transfer-Encoding"))
                    stream.limitInput(MaxChunkedOverhead * this->payload_max_length_);
                // Without a length it reads a body up to the end of the connection.
                else if (mayHaveBody(request) && !request.has_header("Content-Length"))
                    request.headers.emplace("Content-Length", "0");
                bodyIsRead = !leavesBody(request);
                if (bodyIsRead)
                    return;
                request.headers.erase("Connection");
                request.headers.emplace("Connection", "close"); // is repeated in the response
            });
            if (processed && bodyIsRead)
                stream.expectBody(0);
            return processed && bodyIsRead && !closed;
        }

        const std::atomic<bool>& m_cut;
    };

    class plain_server final : public connection_server<httplib::Server> {
    public:
        using connection_server::connection_server;

    private:
        bool process_and_close_socket(socket_t socket) override
        {
            makeNonBlocking(socket);
            plain_channel channel(socket);
            const bool served = serveRequests(channel, nullptr);
            closeSocket(socket);
            return served;
        }
    };

    class tls_server final : public connection_server<httplib::SSLServer> {
    public:
        using connection_server::connection_server;

    private:
        bool process_and_close_socket(socket_t socket) override
        {
            makeNonBlocking(socket);
            bool served = false;
            {
                tls_channel channel(socket, ssl_context());
                if (channel.accept(limitOf(read_timeout_sec_, read_timeout_usec_)))
                    served = serveRequests(channel, channel.session());
            }
            closeSocket(socket);
            return served;
        }
    };

} // namespace

std::unique_ptr<httplib::Server> makeEdgeServer(
    const std::string& certificate, const std::string& key, const std::atomic<bool>& cut)
{
    if (certificate.empty())
        return std::make_unique<plain_server>(cut);
    return std::make_unique<tls_server>(cut, certificate.c_str(), key.c_str());
}

} // namespace oriolepick
