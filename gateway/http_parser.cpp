#include "gateway/http_parser.h"

#include "core/http_syntax.h"
#include "core/text.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <limits>

namespace oriolepick {

namespace http = boost::beast::http;
using boost::beast::error_code;
using view = boost::beast::string_view;

namespace {

    /// Limit for the fields of a response: a field takes far more memory than its bytes when it is short.
    constexpr std::size_t MaxResponseFields = 256;

    // Returns the memory of a field. Short names and values are within the field itself, which still counts them.
    std::size_t memoryOf(const header_field& field)
    {
        return sizeof field + field.name.capacity() + field.value.capacity();
    }

    parse_error parseErrorOf(const error_code& error)
    {
        if (error == http::error::header_limit)
            return parse_error::HeaderTooLarge;
        if (error == http::error::body_limit)
            return parse_error::BodyTooLarge;
        if (error == http::error::partial_message || error == http::error::end_of_stream)
            return parse_error::Truncated;
        return parse_error::Malformed;
    }

    std::string text(view bytes)
    {
        return { bytes.data(), bytes.size() };
    }

    // Finds a status line such as "HTTP/1.1 200" inside another line. This happens when a response is cut within its
    // head and the next response follows on the same connection.
    bool containsStatusLine(std::string_view line)
    {
        constexpr std::string_view Begin = "HTTP/1.";
        constexpr std::size_t StatusAt = Begin.size() + 2; // after a digit and a space
        const auto isDigit = [line](std::size_t at) { return line[at] >= '0' && line[at] <= '9'; };
        for (auto at = line.find(Begin); at != std::string_view::npos; at = line.find(Begin, at + 1)) {
            const auto status = at + StatusAt;
            if (status + 3 <= line.size() && line[status - 1] == ' ' && isDigit(status) && isDigit(status + 1)
                && isDigit(status + 2))
                return true;
        }
        return false;
    }

    // Finds a field whose line goes on in the next one (obs-fold). The library joins the two, so a line that should
    // have been a field of its own, such as the length of the body, would become a part of a value. The name lies
    // within the input, where the library has seen the end of its line and one byte more.
    bool isFolded(view name)
    {
        const auto* end = name.data() + name.size();
        while (*end != '\n')
            ++end;
        return end[1] == ' ' || end[1] == '\t';
    }

    // Returns whether a message has a transfer coding other than "chunked" alone. The library rejects a field after one
    // that says "chunked", so the first field decides.
    bool hasOtherCoding(const header_list& fields)
    {
        const auto* coding = findField(fields, "Transfer-Encoding");
        return coding && !equalsIgnoringCase(*coding, "chunked");
    }

    // Feeds bytes to a parser until it needs more bytes, has finished or fails.
    template <typename Parser> std::size_t feed(Parser& parser, std::string_view bytes, parse_error& parseError)
    {
        std::size_t used = 0;
        while (used < bytes.size() && !parser.is_done()) {
            error_code error;
            const auto count = parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
            used += count;
            if (error == http::error::need_more || (!error && !count))
                break;
            if (error) {
                parseError = parseErrorOf(error);
                break;
            }
        }
        return used;
    }

} // namespace

request_parser::request_parser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
{
    eager(true);
    header_limit(maxHeaderBytes);
    body_limit(maxBodyBytes);
}

std::size_t request_parser::put(std::string_view bytes)
{
    m_started = m_started || !bytes.empty();
    return feed(static_cast<basic_parser&>(*this), bytes, m_parseError);
}

bool request_parser::expectsContinue() const
{
    const auto* expect = findField(m_request.fields, "Expect");
    return expect && equalsIgnoringCase(*expect, "100-continue");
}

http_request request_parser::take()
{
    m_request.keepAlive = keep_alive();
    return std::move(m_request);
}

void request_parser::on_request_impl(http::verb, view method, view target, int version, error_code&)
{
    m_request.method = text(method);
    m_request.target = text(target);
    m_request.version = version;
}

void request_parser::on_field_impl(http::field, view name, view value, error_code&)
{
    m_request.fields.push_back({ text(name), text(value) });
    m_headBytes += memoryOf(m_request.fields.back());
}

void request_parser::on_header_impl(error_code& error)
{
    // With other codings the length of the body is undefined, and two parsers may frame the message differently
    // (request smuggling).
    if (hasOtherCoding(m_request.fields))
        error = http::error::bad_transfer_encoding;
}

std::size_t request_parser::on_body_impl(view body, error_code&)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t, view body, error_code& error)
{
    return on_body_impl(body, error);
}

response_parser::response_parser(std::uint32_t maxHeaderBytes)
{
    eager(true);
    header_limit(maxHeaderBytes);
    body_limit(
        std::numeric_limits<std::uint64_t>::max()); // the owner of the parser limits the body bytes that it keeps
}

std::size_t response_parser::put(std::string_view bytes)
{
    m_started = m_started || !bytes.empty();
    return feed(static_cast<basic_parser&>(*this), bytes, m_parseError);
}

void response_parser::putEof()
{
    if (isDone())
        return;
    error_code error;
    put_eof(error);
    if (error)
        m_parseError = parseErrorOf(error);
}

std::string response_parser::takeBody()
{
    std::string body;
    body.swap(m_body);
    return body;
}

void response_parser::on_response_impl(int code, view reason, int, error_code& error)
{
    m_head.status = code;
    m_head.reason = text(reason);
    if (!isStatusCode(code)) // the library takes any three digits
        error = http::error::bad_status;
    else if (containsStatusLine(m_head.reason))
        error = http::error::bad_reason;
}

void response_parser::on_field_impl(http::field, view name, view value, error_code& error)
{
    if (m_head.fields.size() >= MaxResponseFields) {
        error = http::error::header_limit;
        return;
    }
    m_head.fields.push_back({ text(name), text(value) });
    m_headBytes += memoryOf(m_head.fields.back());
    if (isFolded(name))
        error = http::error::bad_field;
    else if (containsStatusLine(m_head.fields.back().value))
        error = http::error::bad_value;
}

void response_parser::on_header_impl(error_code& error)
{
    // The library would take a body that is still encoded, or chunks with their sizes, for the body itself.
    if (hasOtherCoding(m_head.fields))
        error = http::error::bad_transfer_encoding;
}

std::size_t response_parser::on_body_impl(view body, error_code&)
{
    m_body.append(body.data(), body.size());
    return body.size();
}

std::size_t response_parser::on_chunk_body_impl(std::uint64_t, view body, error_code& error)
{
    return on_body_impl(body, error);
}

} // namespace oriolepick
