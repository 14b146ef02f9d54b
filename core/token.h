/// \file
/// One output token of a model.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oriolepick {

using token_id = std::uint32_t; ///< Number of a token in the model's vocabulary.

/// An output token with the text it adds to the answer.
struct token {
    token_id id = 0;
    std::string text;

    friend bool operator==(const token& left, const token& right)
    {
        return left.id == right.id && left.text == right.text;
    }
};

using token_list = std::vector<token_id>;

} // namespace oriolepick
