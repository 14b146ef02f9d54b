/// \file
/// Limits on what an HTTP response may contain before the HTTP library reads it.
#pragma once

#include "targets/chunk_framing.h"
#include "targets/response_head.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace oriolepick {

/// Scans the bytes of a response as they arrive. The HTTP library matches the status line with a recursive regular
/// expression, which overflows the stack on a long line (a status line of 50 KB ended the process), and collects header
/// and chunk lines without a limit. The guard ends such responses, and those whose head or chunks do not frame the body
/// unambiguously, before the library sees them.
class response_guard {
public:
    static constexpr std::size_t MaxStatusLineBytes = 256;
    static constexpr std::size_t MaxHeadBytes = 32768;
    static constexpr std::size_t MaxHeadFields = 256; ///< the library keeps ten times the bytes of a short field
    static constexpr std::size_t MaxUnusedBytes = 65536; ///< after the head, between two pieces of body

    /// \return whether \p bytes may be read
    bool take(std::string_view bytes);

    /// Notes that the library gave out a piece of the body.
    void noteProgress() { m_unusedBytes = 0; }

    /// \return what is wrong with the head or the chunks, empty when nothing is or when the response is too long
    const std::string& fault() const { return m_fault; }

private:
    bool takeHead(std::string_view& bytes);
    bool takeLine();

    bool m_inHead = true;
    bool m_inStatusLine = true;
    std::string m_line; ///< of the head, without its LF
    response_head m_head;
    chunk_framing m_chunks;
    std::string m_fault;
    std::size_t m_headBytes = 0;
    std::size_t m_headFields = 0;
    std::size_t m_unusedBytes = 0;
};

} // namespace oriolepick
