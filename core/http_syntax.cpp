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

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

} // namespace oriolepick
