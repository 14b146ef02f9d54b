#include "ports/http_exchange.h"

#include "core/http_syntax.h"

#include <httplib.h>

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace oriolepick {

namespace {

    /// Idle connections beyond this number are closed: each holds a thread of the server's pool.
    constexpr std::size_t MaxIdleConnections = 8;
    /// Below the server's keep-alive time (5 s in the emulator), so that its close does not meet a request and make
    /// the outcome unknown.
    constexpr std::chrono::seconds MaxIdleTime { 2 };

    error lostResponse(const std::string& detail)
    {
        return error { error_kind::PlatformUnknown, "the platform's response was lost: " + detail, {} };
    }

    error noEffect(const std::string& detail)
    {
        return error { error_kind::PlatformUnavailable, "the platform cannot be reached: " + detail, {} };
    }

    error errorFor(httplib::Error cause)
    {
        switch (cause) {
        case httplib::Error::Connection:
        case httplib::Error::ConnectionTimeout:
        case httplib::Error::BindIPAddress:
        case httplib::Error::SSLConnection:
        case httplib::Error::SSLLoadingCerts:
        case httplib::Error::SSLServerVerification:
            return noEffect(httplib::to_string(cause));
        default:
            return lostResponse(httplib::to_string(cause));
        }
    }

    /// Checks what the HTTP library accepts although it is not HTTP.
    /// \return what is wrong, empty for nothing
    std::string findFault(const httplib::Response& response)
    {
        if (!isStatusCode(response.status))
            return std::to_string(response.status) + " is not a status code";
        for (const auto& [name, value] : response.headers) {
            if (!isToken(name) || hasControlCharacter(value))
                return "a header has characters that are not allowed";
        }
        return {};
    }

} // namespace

struct http_exchange::connection {
    explicit connection(const std::string& address)
        : client(address)
    {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_url_encode(false); // targets arrive encoded
    }

    httplib::Client client;
    std::chrono::steady_clock::time_point idleSince;
};

struct http_exchange::state {
    std::string address;
    std::size_t maxResponseBytes = 0;
    std::mutex mutex;
    std::vector<std::unique_ptr<connection>> idle;
};

http_exchange::http_exchange(std::string address, std::size_t maxResponseBytes)
    : m_state(std::make_unique<state>())
{
    m_state->address = std::move(address);
    m_state->maxResponseBytes = maxResponseBytes;
}

http_exchange::~http_exchange() = default;

std::unique_ptr<http_exchange::connection> http_exchange::takeConnection()
{
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        if (!m_state->idle.empty()) {
            auto taken = std::move(m_state->idle.back());
            m_state->idle.pop_back();
            if (std::chrono::steady_clock::now() - taken->idleSince < MaxIdleTime)
                return taken;
            m_state->idle.clear(); // all others have been idle for longer
        }
    }
    return std::make_unique<connection>(m_state->address);
}

void http_exchange::keepConnection(std::unique_ptr<connection> idle)
{
    idle->idleSince = std::chrono::steady_clock::now();
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    if (m_state->idle.size() < MaxIdleConnections)
        m_state->idle.push_back(std::move(idle));
}

result<http_response> http_exchange::send(const http_request& request, std::chrono::milliseconds timeout)
{
    auto used = takeConnection();
    if (!used->client.is_valid())
        return noEffect("malformed address " + m_state->address);
    used->client.set_connection_timeout(timeout);
    used->client.set_read_timeout(timeout);
    used->client.set_write_timeout(timeout);

    http_response response;
    bool tooLong = false;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    httplib::Request outgoing;
    outgoing.method = request.method;
    outgoing.path = request.target;
    outgoing.body = request.body;
    if (!request.body.empty())
        outgoing.set_header("Content-Type", request.contentType);
    outgoing.content_receiver = [&](const char* bytes, std::size_t size, std::uint64_t, std::uint64_t length) {
        const auto received = response.body.size() + size;
        tooLong = received > m_state->maxResponseBytes;
        const bool isComplete = length > 0 && received >= length; // the length is 0 if the response names none
        if (tooLong || (!isComplete && std::chrono::steady_clock::now() > deadline))
            return false;
        response.body.append(bytes, size);
        return true;
    };
    const auto received = used->client.send(outgoing);
    if (!received) {
        if (tooLong)
            return lostResponse("it is longer than " + std::to_string(m_state->maxResponseBytes) + " bytes");
        return errorFor(received.error());
    }
    if (const auto fault = findFault(*received); !fault.empty())
        return lostResponse(fault);
    response.status = received->status;
    response.storeEpoch = received->get_header_value("Store-Epoch");
    keepConnection(std::move(used));
    return response;
}

std::string percentEncode(const std::string& text, bool keepSlash)
{
    static constexpr char Digits[] = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char byte : text) {
        const auto code = static_cast<unsigned char>(byte);
        const bool alphanumeric
            = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9');
        if (alphanumeric || byte == '-' || byte == '.' || byte == '_' || byte == '~' || (keepSlash && byte == '/')) {
            encoded.push_back(byte);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(Digits[code >> 4]);
        encoded.push_back(Digits[code & 15]);
    }
    return encoded;
}

} // namespace oriolepick
