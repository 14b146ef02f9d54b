#include "core/http_syntax.h"

#include <algorithm>

namespace oriolepick {

namespace {

    bool isTokenCharacter(char character)
    {
        const bool isAlphanumeric = (character >= '0' && character <= '9') || (character >= 'A' && character <= 'Z')
            || (character >= 'a' && character <= 'z');
        return isAlphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
    }

    bool isControlCharacter(char character)
    {
        constexpr unsigned char FirstPrintable = 0x20;
        constexpr unsigned char Delete = 0x7f;
        const auto code = static_cast<unsigned char>(character);
        return code < FirstPrintable || code == Delete;
    }

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool hasControlCharacter(std::string_view text)
{
    return std::any_of(
        text.begin(), text.end(), [](char character) { return character != '\t' && isControlCharacter(character); });
}

} // namespace oriolepick
