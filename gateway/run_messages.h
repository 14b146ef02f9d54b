/// \file
/// Messages between nodes about the locations of run copies.
#pragma once

#include "routing/run_directory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace oriolepick {

/// Query for the copy of a run of a request.
struct run_question {
    request_hash requestHash;
    std::uint64_t number = 0; ///< query number, unique at the sender
};

/// Result of a query.
struct run_answer {
    std::uint64_t number = 0;
    std::optional<run_record> record;
};

/// Notifies the origin of a run that the sender has resumed the caller's stream.
struct run_taken {
    std::string attempt;
};

using run_message = std::variant<run_record, run_question, run_answer, run_taken>;

} // namespace oriolepick
