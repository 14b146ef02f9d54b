#include "node/process_usage.h"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace oriolepick {

namespace {

    std::chrono::duration<double> clockValue(clockid_t clock)
    {
        timespec value {};
        clock_gettime(clock, &value);
        return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
    }

} // namespace

process_usage processUsage()
{
    process_usage usage;
    usage.cpu = clockValue(CLOCK_PROCESS_CPUTIME_ID);
    std::ifstream statistics("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    if (statistics >> totalPages >> residentPages)
        usage.residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return usage;
}

std::chrono::duration<double> threadCpu()
{
    return clockValue(CLOCK_THREAD_CPUTIME_ID);
}

} // namespace oriolepick
