/// \file
/// Identifies a copy of the memory of a run at the target that holds the copy.
#pragma once

#include <string>

namespace oriolepick {

/// A copy from which a run can continue without a new prefill of its prompt.
struct run_copy {
    std::string address; ///< "IP:PORT" of the holder for a continuous copy, of the source for a copy made on demand
    std::string name; ///< identifier of the attempt for a continuous copy, a handle for a copy made on demand
};

} // namespace oriolepick
