/// \file
/// Reads the tokens out of a stream of events that a node sent, for tests.
#pragma once

#include "core/token.h"

#include <string>

namespace oriolepick {

/// \return the token ids of all events in \p stream
inline token_list tokensOf(const std::string& stream)
{
    token_list tokens;
    for (std::size_t at = stream.find("\"token_id\":"); at != std::string::npos;
         at = stream.find("\"token_id\":", at + 1))
        tokens.push_back(static_cast<token_id>(std::stoul(stream.substr(at + 11))));
    return tokens;
}

} // namespace oriolepick
