/// \file
/// The input and output of a caller's connection, as the HTTP library reads and writes them.
#pragma once

#include <httplib.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace oriolepick {

class byte_channel;

/// Lives as long as the connection: input that was read beyond one request belongs to the next one. The library's own
/// stream lives for one request and drops it.
class caller_stream final : public httplib::Stream {
public:
    /// \param channel outlives the stream
    /// \param readLimit of each wait for the caller's input
    /// \param writeLimit longest time in which the caller takes nothing of the output
    /// \param cut while it is true, output that the caller does not take fails at once; outlives the stream
    caller_stream(byte_channel& channel, std::chrono::milliseconds readLimit, std::chrono::milliseconds writeLimit,
        const std::atomic<bool>& cut);

    /// Waits until a request begins.
    /// \return false when the connection has ended or nothing came within \p limit
    bool waitForRequest(std::chrono::milliseconds limit);

    /// Sets how much of the input belongs to the request that is being read.
    void expectBody(std::uint64_t bytes) { m_expected = bytes; }

    /// Sets how many bytes more may be read of this request; reading then fails.
    void limitInput(std::uint64_t bytes) { m_allowed = bytes; }

    /// Ends the output, and drops input that the caller may still be sending: a socket that is closed with unread
    /// input resets the connection, and the caller may lose the last answer.
    void finish();

    bool is_readable() const override;
    /// \return false also when the caller has closed
    bool is_writable() const override;
    ssize_t read(char* target, std::size_t size) override;
    ssize_t write(const char* source, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override;

private:
    ssize_t readUnlimited(char* target, std::size_t size);
    ssize_t receive(char* target, std::size_t size, std::chrono::milliseconds limit);
    bool hasUnreadInput() const;
    bool waitForOutput(short events) const;

    byte_channel& m_channel;
    std::chrono::milliseconds m_readLimit;
    std::chrono::milliseconds m_writeLimit;
    const std::atomic<bool>& m_cut;
    std::array<char, 4096> m_buffer {};
    std::string_view m_unread; ///< part of m_buffer
    std::uint64_t m_expected = 0; ///< bytes of a body that are not read yet
    std::uint64_t m_allowed = std::numeric_limits<std::uint64_t>::max(); ///< see limitInput()
};

} // namespace oriolepick
