#include "targets/chunk_framing.h"

#include <algorithm>
#include <optional>

namespace oriolepick {

namespace {

    constexpr std::uint64_t MaxChunkBytes = std::uint64_t { 1 } << 60; ///< leaves room for a further digit

    std::optional<std::uint64_t> hexadecimalDigit(char character)
    {
        if (character >= '0' && character <= '9')
            return character - '0';
        if (character >= 'a' && character <= 'f')
            return character - 'a' + 10;
        if (character >= 'A' && character <= 'F')
            return character - 'A' + 10;
        return std::nullopt;
    }

} // namespace

bool chunk_framing::take(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto data = std::min<std::uint64_t>(m_dataLeft, bytes.size());
        m_dataLeft -= data;
        bytes.remove_prefix(data);
        if (bytes.empty())
            return true;
        if (!(this->*m_step)(bytes.front()))
            return false;
        bytes.remove_prefix(1);
    }
    return true;
}

bool chunk_framing::beginSize(char next)
{
    m_size = 0;
    m_step = &chunk_framing::continueSize;
    return hexadecimalDigit(next) && continueSize(next);
}

bool chunk_framing::continueSize(char next)
{
    const auto digit = hexadecimalDigit(next);
    if (!digit)
        return endSize(next);
    m_size = m_size * 16 + *digit;
    return m_size < MaxChunkBytes;
}

bool chunk_framing::endSize(char next)
{
    const bool isBlank = next == ' ' || next == '\t';
    m_step = next == '\r' ? &chunk_framing::endSizeLine
        : isBlank         ? &chunk_framing::endSize
                          : &chunk_framing::skipExtension;
    return next == '\r' || isBlank || next == ';';
}

bool chunk_framing::skipExtension(char next)
{
    if (next == '\r')
        m_step = &chunk_framing::endSizeLine;
    return next != '\n';
}

bool chunk_framing::endSizeLine(char next)
{
    m_dataLeft = m_size;
    m_step = m_size ? &chunk_framing::endData : &chunk_framing::ignore;
    return next == '\n';
}

bool chunk_framing::endData(char next)
{
    m_step = &chunk_framing::endDataLine;
    return next == '\r';
}

bool chunk_framing::endDataLine(char next)
{
    m_step = &chunk_framing::beginSize;
    return next == '\n';
}

// Takes the trailer, which the library reads itself: it ends a response with a cut one as incomplete.
bool chunk_framing::ignore(char)
{
    return true;
}

} // namespace oriolepick
