#include "node/tls_channel.h"

#include "node/socket_wait.h"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <limits>

namespace oriolepick {

namespace {

    int clamped(std::size_t size)
    {
        return static_cast<int>(std::min<std::size_t>(size, std::numeric_limits<int>::max()));
    }

} // namespace

void tls_channel::session_deleter::operator()(ssl_st* session) const
{
    SSL_free(session);
}

tls_channel::tls_channel(int socket, ssl_ctx_st* context)
    : m_socket(socket)
    , m_session(SSL_new(context))
{
    if (m_session) {
        SSL_set_fd(m_session.get(), socket);
        // A write is tried again with the rest of the same bytes, at another address.
        SSL_set_mode(m_session.get(), SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    }
}

tls_channel::~tls_channel() = default;

bool tls_channel::accept(std::chrono::milliseconds limit)
{
    if (!m_session)
        return false;
    for (;;) {
        ERR_clear_error();
        const auto outcome = outcomeOf(SSL_accept(m_session.get()));
        if (outcome.count > 0)
            return true;
        if (!outcome.wanted || !waitForSocket(m_socket, outcome.wanted, limit))
            return false;
    }
}

channel_outcome tls_channel::read(char* target, std::size_t size)
{
    ERR_clear_error();
    return outcomeOf(SSL_read(m_session.get(), target, clamped(size)));
}

channel_outcome tls_channel::write(const char* source, std::size_t size)
{
    ERR_clear_error();
    return outcomeOf(SSL_write(m_session.get(), source, clamped(size)));
}

void tls_channel::endOutput()
{
    ERR_clear_error();
    if (!m_failed)
        SSL_shutdown(m_session.get());
    ::shutdown(m_socket, SHUT_WR);
}

channel_outcome tls_channel::outcomeOf(int result)
{
    if (result > 0)
        return { result, 0 };
    switch (SSL_get_error(m_session.get(), result)) {
    case SSL_ERROR_WANT_READ:
        return { -1, POLLIN };
    case SSL_ERROR_WANT_WRITE:
        return { -1, POLLOUT };
    case SSL_ERROR_ZERO_RETURN:
        return { 0, 0 };
    default:
        m_failed = true;
        return { -1, 0 };
    }
}

} // namespace oriolepick
