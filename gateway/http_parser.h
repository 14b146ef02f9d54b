/// \file
/// Incremental, strict parsing of HTTP/1.1 requests and responses on top of Boost.Beast's parser.
#pragma once

#include "gateway/http_message.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <string>

namespace oriolepick {

/// Why a message could not be parsed.
enum class parse_error {
    None,
    Malformed, ///< not HTTP/1.x, or with ambiguous framing
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, ///< the connection ended before the message was complete
};

/// Parses one request.
class request_parser : private boost::beast::http::basic_parser<true> {
public:
    request_parser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);

    /// \return how many of \p bytes were consumed; the rest must be passed again, followed by more bytes
    std::size_t put(std::string_view bytes);

    bool isDone() const { return basic_parser::is_done(); }
    bool headerDone() const { return basic_parser::is_header_done(); }
    bool started() const { return m_started; }
    parse_error parseError() const { return m_parseError; }

    /// \return whether the caller waits for a 100 (Continue) response before sending the body
    bool expectsContinue() const;

    /// \return bytes of the body received so far
    /// \return the memory that the head takes
    std::size_t headBytes() const { return m_headBytes; }
    std::size_t bodyBytes() const { return m_request.body.size(); }

    http_request take();

private:
    void on_request_impl(boost::beast::http::verb method, boost::beast::string_view methodText,
        boost::beast::string_view target, int version, boost::beast::error_code& error) override;
    void on_response_impl(int, boost::beast::string_view, int, boost::beast::error_code&) override { }
    void on_field_impl(boost::beast::http::field field, boost::beast::string_view name, boost::beast::string_view value,
        boost::beast::error_code& error) override;
    void on_header_impl(boost::beast::error_code& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, boost::beast::error_code&) override { }
    std::size_t on_body_impl(boost::beast::string_view body, boost::beast::error_code& error) override;
    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view, boost::beast::error_code&) override { }
    std::size_t on_chunk_body_impl(
        std::uint64_t remain, boost::beast::string_view body, boost::beast::error_code& error) override;
    void on_finish_impl(boost::beast::error_code&) override { }

    http_request m_request;
    parse_error m_parseError = parse_error::None;
    std::size_t m_headBytes = 0;
    bool m_started = false;
};

/// Parses one response. Body bytes are buffered until takeBody().
class response_parser : private boost::beast::http::basic_parser<false> {
public:
    /// \param maxHeaderBytes limit for the status line and the header fields
    explicit response_parser(std::uint32_t maxHeaderBytes);

    /// \return how many of \p bytes were consumed; the rest must be passed again, followed by more bytes
    std::size_t put(std::string_view bytes);

    /// Reports that the peer has closed the connection in an orderly way.
    void putEof();

    bool headDone() const { return basic_parser::is_header_done(); }
    bool isDone() const { return basic_parser::is_done(); }
    bool started() const { return m_started; }

    /// \return whether the body has no declared length and ends when the connection is closed
    bool bodyEndsAtClose() const { return headDone() && basic_parser::need_eof(); }

    /// \return whether the connection stays open for another request
    bool keepAlive() const { return basic_parser::keep_alive(); }
    parse_error parseError() const { return m_parseError; }
    const http_response_head& head() const { return m_head; }

    /// \return the memory that the head takes
    std::size_t headBytes() const { return m_headBytes; }

    /// \return the body bytes received since the last call
    std::string takeBody();

    std::size_t pendingBodyBytes() const { return m_body.size(); }

private:
    void on_request_impl(boost::beast::http::verb, boost::beast::string_view, boost::beast::string_view, int,
        boost::beast::error_code&) override
    {
    }
    void on_response_impl(
        int code, boost::beast::string_view reason, int version, boost::beast::error_code& error) override;
    void on_field_impl(boost::beast::http::field field, boost::beast::string_view name, boost::beast::string_view value,
        boost::beast::error_code& error) override;
    void on_header_impl(boost::beast::error_code& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, boost::beast::error_code&) override { }
    std::size_t on_body_impl(boost::beast::string_view body, boost::beast::error_code& error) override;
    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view, boost::beast::error_code&) override { }
    std::size_t on_chunk_body_impl(
        std::uint64_t remain, boost::beast::string_view body, boost::beast::error_code& error) override;
    void on_finish_impl(boost::beast::error_code&) override { }

    http_response_head m_head;
    std::string m_body;
    parse_error m_parseError = parse_error::None;
    std::size_t m_headBytes = 0;
    bool m_started = false;
};

} // namespace oriolepick
