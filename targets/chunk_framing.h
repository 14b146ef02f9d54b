/// \file
/// Checks the framing of a chunked body.
#pragma once

#include <cstdint>
#include <string_view>

namespace oriolepick {

/// Takes the bytes of a chunked body (RFC 9112, 7.1) as they arrive. The HTTP library ends a body as complete where the
/// data of a chunk is longer than its size, and takes a size for the digits that it begins with.
class chunk_framing {
public:
    /// \return whether \p bytes continue the body as it must; bytes after the last chunk are not judged
    bool take(std::string_view bytes);

private:
    using step = bool (chunk_framing::*)(char next);

    bool beginSize(char next);
    bool continueSize(char next);
    bool endSize(char next);
    bool skipExtension(char next);
    bool endSizeLine(char next);
    bool endData(char next);
    bool endDataLine(char next);
    bool ignore(char next);

    step m_step = &chunk_framing::beginSize;
    std::uint64_t m_size = 0;
    std::uint64_t m_dataLeft = 0; ///< bytes of the current chunk that have not arrived
};

} // namespace oriolepick
