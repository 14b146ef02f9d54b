/// \file
/// Messages between nodes about where copies of runs lie.
#pragma once

#include "routing/run_directory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace oriolepick {

/// Is there a copy of a run of this request?
struct run_question {
    request_hash requestHash;
    std::uint64_t number = 0; ///< of the question at its sender
};

/// The answer to a question.
struct run_answer {
    std::uint64_t number = 0;
    std::optional<run_record> record;
};

/// The caller's stream goes on at the sender.
struct run_taken {
    std::string attempt;
};

using run_message = std::variant<run_record, run_question, run_answer, run_taken>;

} // namespace oriolepick
