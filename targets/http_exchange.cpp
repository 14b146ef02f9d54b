#include "targets/http_exchange.h"

#include "targets/call_abort.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <array>
#include <csignal>
#include <optional>

namespace oriolepick {

namespace {

    using clock = std::chrono::steady_clock;

    struct endpoint {
        std::string host;
        int port = 0;
    };

    std::optional<endpoint> parseAddress(const std::string& address)
    {
        const auto separator = address.rfind(':');
        endpoint parsed;
        if (separator == std::string::npos || !separator
            || !absl::SimpleAtoi(address.substr(separator + 1), &parsed.port) || parsed.port < 1 || parsed.port > 65535)
            return std::nullopt;
        parsed.host = address.substr(0, separator);
        if (parsed.host.size() > 2 && parsed.host.front() == '[' && parsed.host.back() == ']')
            parsed.host = parsed.host.substr(1, parsed.host.size() - 2);
        return parsed;
    }

    // Headers that belong to one connection, or that the HTTP library writes itself.
    bool belongsToConnection(const std::string& name)
    {
        constexpr std::array<std::string_view, 12> Names { "connection", "keep-alive", "proxy-authenticate",
            "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length",
            "accept-encoding", "expect" };
        const std::string lower = absl::AsciiStrToLower(name);
        for (const auto known : Names) {
            if (lower == known)
                return true;
        }
        return false;
    }

    bool isToken(std::string_view text)
    {
        for (const char character : text) {
            if (!absl::ascii_isalnum(static_cast<unsigned char>(character))
                && std::string_view("!#$%&'*+-.^_`|~").find(character) == std::string_view::npos)
                return false;
        }
        return !text.empty();
    }

    bool hasControlCharacter(std::string_view text)
    {
        for (const char character : text) {
            if (absl::ascii_iscntrl(static_cast<unsigned char>(character)) && character != '\t')
                return true;
        }
        return false;
    }

    /// \return what makes the request unfit to be written on a connection, empty for nothing
    std::string findFault(const service_request& request)
    {
        if (!isToken(request.method))
            return "method is not a token";
        if (request.path.empty() || request.path.front() != '/' || hasControlCharacter(request.path)
            || request.path.find(' ') != std::string::npos)
            return "path must begin with '/' and have no spaces or control characters";
        for (const auto& [name, value] : request.headers) {
            if (!isToken(name) || hasControlCharacter(value))
                return absl::StrCat("header ", name, " has characters that are not allowed");
        }
        return {};
    }

    header_list endToEndHeaders(const httplib::Headers& headers)
    {
        header_list list;
        for (const auto& [name, value] : headers) {
            if (!belongsToConnection(name))
                list.emplace_back(name, value);
        }
        return list;
    }

    httplib::Request makeRequest(
        const service_request& request, const response_handlers& handlers, clock::time_point& lastByte)
    {
        httplib::Request made;
        made.method = request.method;
        made.path = request.path;
        made.body = request.body;
        for (const auto& [name, value] : request.headers) {
            if (!belongsToConnection(name))
                made.headers.emplace(name, value);
        }
        made.headers.emplace("Accept-Encoding", "identity");
        made.response_handler = [&](const httplib::Response& response) {
            lastByte = clock::now();
            return handlers.head(response.status, endToEndHeaders(response.headers));
        };
        made.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            lastByte = clock::now();
            return handlers.body(std::string_view(data, size));
        };
        return made;
    }

    /// The HTTP library writes without MSG_NOSIGNAL; a peer that closes its connection must not end this process.
    void ignoreBrokenPipeSignal()
    {
        static const auto previous = std::signal(SIGPIPE, SIG_IGN);
        (void)previous;
    }

    exchange_end classify(httplib::Error error, const call_abort& abort, bool timedOut)
    {
        switch (error) {
        case httplib::Error::Success:
            return exchange_end::Complete;
        case httplib::Error::Connection:
        case httplib::Error::ConnectionTimeout:
        case httplib::Error::BindIPAddress:
            // The library writes only after the connect has succeeded.
            return exchange_end::NotSent;
        case httplib::Error::Canceled:
            return exchange_end::Stopped;
        default:
            if (abort.aborted())
                return exchange_end::Aborted;
            return timedOut ? exchange_end::TimedOut : exchange_end::Lost;
        }
    }

} // namespace

exchange_result exchange(const std::string& address, const service_request& request, const service_timeouts& timeouts,
    const response_handlers& handlers, call_abort& abort)
{
    const auto target = parseAddress(address);
    if (!target)
        return { exchange_end::NotSent, absl::StrCat("address \"", address, "\" is not ip:port") };
    if (auto fault = findFault(request); !fault.empty())
        return { exchange_end::NotSent, std::move(fault) };
    if (abort.aborted())
        return { exchange_end::NotSent, "aborted before the connect" };

    ignoreBrokenPipeSignal();
    httplib::Client client(target->host, target->port);
    client.set_connection_timeout(timeouts.connect);
    client.set_read_timeout(timeouts.idle);
    client.set_write_timeout(timeouts.idle);
    client.set_tcp_nodelay(true);
    client.set_url_encode(false);
    client.set_decompress(false);
    client.set_socket_options([&abort](int socket) { abort.watchSocket(socket); });

    auto lastByte = clock::now();
    auto httpRequest = makeRequest(request, handlers, lastByte);
    httplib::Response response;
    auto error = httplib::Error::Success;
    const bool sent = client.send(httpRequest, response, error);
    const bool timedOut = clock::now() - lastByte >= timeouts.idle;
    client.stop();
    abort.releaseSocket();
    if (!sent && error == httplib::Error::Success)
        error = httplib::Error::Unknown;
    const auto end = classify(error, abort, timedOut);
    return { end, end == exchange_end::Complete ? std::string() : httplib::to_string(error) };
}

buffered_response exchangeBuffered(const std::string& address, const service_request& request,
    const service_timeouts& timeouts, std::size_t maxBodyBytes, call_abort& abort)
{
    buffered_response response;
    bool tooLong = false;
    const response_handlers handlers {
        [&](int status, const header_list& headers) {
            response.status = status;
            response.headers = headers;
            return true;
        },
        [&](std::string_view bytes) {
            tooLong = response.body.size() + bytes.size() > maxBodyBytes;
            if (!tooLong)
                response.body.append(bytes);
            return !tooLong;
        },
    };
    response.result = exchange(address, request, timeouts, handlers, abort);
    if (tooLong)
        response.result = { exchange_end::Lost, absl::StrCat("response body longer than ", maxBodyBytes, " bytes") };
    return response;
}

} // namespace oriolepick
