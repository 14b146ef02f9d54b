#include "targets/http_exchange.h"

#include "core/http_syntax.h"
#include "core/memory_reservation.h"
#include "targets/call_abort.h"
#include "targets/target_socket.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <array>
#include <optional>

namespace oriolepick {

namespace {

    /// A body exists at most this often at a time: as received, in the row of a recorded call and in its encoded forms.
    constexpr std::size_t CopiesOfBody = 4;
    constexpr std::size_t BodyGrowthDivisor = 4; ///< grows by a fourth: few copies and little unused memory

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

    /// Gives the HTTP library the connection.
    class socket_stream : public httplib::Stream {
    public:
        explicit socket_stream(target_socket& socket)
            : m_socket(socket)
        {
        }

        bool is_readable() const override { return m_socket.waitReadable(); }
        bool is_writable() const override { return m_socket.waitWritable(); }
        ssize_t read(char* target, std::size_t size) override { return m_socket.read(target, size); }
        ssize_t write(const char* source, std::size_t size) override { return m_socket.write(source, size); }
        void get_remote_ip_and_port(std::string&, int&) const override { }
        void get_local_ip_and_port(std::string&, int&) const override { }
        socket_t socket() const override { return m_socket.descriptor(); }

    private:
        target_socket& m_socket;
    };

    /// The HTTP library's client on a connection that this adapter made itself. That way it is known whether a byte
    /// left the process, and the response is guarded before the library reads it.
    class exchange_client : public httplib::ClientImpl {
    public:
        exchange_client(const std::string& host, int port)
            : httplib::ClientImpl(host, port)
        {
            set_url_encode(false);
            set_decompress(false);
        }

        httplib::Error run(httplib::Stream& stream, httplib::Request& request, httplib::Response& response)
        {
            auto error = httplib::Error::Success;
            const bool complete = process_request(stream, request, response, true, error);
            return complete || error != httplib::Error::Success ? error : httplib::Error::Unknown;
        }
    };

    httplib::Request makeRequest(const service_request& request)
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
        return made;
    }

    exchange_end classify(httplib::Error error, const target_socket& socket, const call_abort& abort)
    {
        // The library takes the end of an aborted connection for the end of a body without length.
        if (abort.aborted() && socket.hasSent() && socket.end() != socket_end::Open)
            return exchange_end::Aborted;
        if (error == httplib::Error::Success)
            return exchange_end::Complete;
        if (error == httplib::Error::Canceled)
            return exchange_end::Stopped;
        if (!socket.hasSent())
            return exchange_end::NotSent;
        if (abort.aborted())
            return exchange_end::Aborted;
        switch (socket.end()) {
        case socket_end::TimedOut:
            return exchange_end::TimedOut;
        case socket_end::Closed:
        case socket_end::Failed:
            return exchange_end::Lost;
        case socket_end::Open: // the library could not make sense of the bytes
        case socket_end::Refused:
            break;
        }
        return exchange_end::Malformed;
    }

} // namespace

exchange_result exchange(const std::string& address, const service_request& request, const service_timeouts& timeouts,
    const response_handlers& handlers, call_abort& abort)
{
    const auto target = parseAddress(address);
    if (!target)
        return { exchange_end::NotSent, absl::StrCat("address \"", address, "\" is not ip:port"), true };
    if (auto fault = findFault(request); !fault.empty())
        return { exchange_end::NotSent, std::move(fault) };
    if (abort.aborted())
        return { exchange_end::NotSent, "aborted before the connect" };
    target_socket socket(abort, timeouts.idle, timeouts.total);
    if (auto fault = socket.connect(target->host, target->port, timeouts.connect); !fault.empty())
        return { exchange_end::NotSent, std::move(fault), socket.wasRefused() };

    bool headTaken = false;
    auto httpRequest = makeRequest(request);
    httpRequest.response_handler = [&](const httplib::Response& response) {
        headTaken = true;
        return handlers.head(response.status, endToEndHeaders(response.headers));
    };
    httpRequest.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        socket.noteProgress();
        return handlers.body(std::string_view(data, size));
    };
    socket_stream stream(socket);
    httplib::Response response;
    const auto error = exchange_client(target->host, target->port).run(stream, httpRequest, response);
    // The library does not call the handler for responses that cannot have a body.
    if (error == httplib::Error::Success && !headTaken
        && !handlers.head(response.status, endToEndHeaders(response.headers)))
        return { exchange_end::Stopped, {} };
    const auto end = classify(error, socket, abort);
    if (end == exchange_end::Complete)
        return { end, {} };
    if (end == exchange_end::Aborted)
        return { end, "aborted by this node" };
    return { end, socket.fault().empty() ? httplib::to_string(error) : socket.fault() };
}

buffered_response exchangeBuffered(const std::string& address, const service_request& request,
    const service_timeouts& timeouts, std::size_t maxBodyBytes, memory_budget& memory, call_abort& abort)
{
    buffered_response response;
    const auto reservation = std::make_shared<memory_reservation>(memory);
    response.memory = reservation;
    bool tooLong = false;
    bool noMemory = false;
    const response_handlers handlers {
        [&](int status, const header_list& headers) {
            response.status = status;
            response.headers = headers;
            return true;
        },
        [&](std::string_view bytes) {
            const auto size = response.body.size() + bytes.size();
            tooLong = size > maxBodyBytes;
            if (!tooLong && size > response.body.capacity()) {
                const auto capacity = size + size / BodyGrowthDivisor;
                noMemory = !reservation->tryResize(CopiesOfBody * capacity);
                if (!noMemory)
                    response.body.reserve(capacity);
            }
            if (tooLong || noMemory)
                return false;
            response.body.append(bytes);
            return true;
        },
    };
    response.result = exchange(address, request, timeouts, handlers, abort);
    if (tooLong)
        response.result
            = { exchange_end::Malformed, absl::StrCat("response body longer than ", maxBodyBytes, " bytes") };
    if (noMemory)
        response.result = { exchange_end::Malformed,
            absl::StrCat(
                "no memory for a response body of more than ", response.body.size(), " bytes beside the others") };
    return response;
}

bool refusesConnections(const std::string& address, std::chrono::milliseconds timeout)
{
    const auto target = parseAddress(address);
    if (!target)
        return false;
    call_abort abort;
    target_socket socket(abort, timeout, timeout);
    return !socket.connect(target->host, target->port, timeout).empty() && socket.wasRefused();
}

} // namespace oriolepick
