/// \file
/// Names the copied memory of a run to the target that holds it.
#pragma once

#include <string>

namespace oriolepick {

/// Where a run can go on without its prompt being read again.
struct run_copy {
    std::string address; ///< "IP:PORT": of the holder for a copy that grows, of the source for one made on order
    std::string name; ///< the attempt for a copy that grows, a handle for one made on order
};

} // namespace oriolepick
