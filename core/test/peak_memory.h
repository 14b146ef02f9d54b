/// \file
/// Memory of the test process.
#pragma once

#include <cstdlib>
#include <fstream>
#include <string>

namespace oriolepick {

/// \return the largest resident memory of this process so far, in KB
inline long peakKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmHWM:", 0) == 0)
            return std::atol(line.c_str() + 6);
    }
    return 0;
}

} // namespace oriolepick
