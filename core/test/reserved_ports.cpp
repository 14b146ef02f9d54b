// Guards against test programs that run side by side and get the same port, so that one of them cannot bind it.
#include "loopback_ports.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <sys/wait.h>

using namespace oriolepick;

TEST(reserved_ports, two_processes_get_different_ports)
{
    const auto first = freeLoopbackAddress(); // from here on, both processes try the same ports
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    const auto child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
        const auto address = freeLoopbackAddress();
        const bool written = write(ends[1], address.data(), address.size()) == static_cast<ssize_t>(address.size());
        pause(); // a process that has ended has no ports
        _exit(written ? 0 : 1);
    }
    std::array<char, 64> buffer {};
    const auto size = read(ends[0], buffer.data(), buffer.size());
    ASSERT_GT(size, 0);
    const auto own = freeLoopbackAddress();
    EXPECT_NE(own, std::string(buffer.data(), static_cast<std::size_t>(size)));
    EXPECT_NE(own, first);
    kill(child, SIGKILL);
    EXPECT_EQ(waitpid(child, nullptr, 0), child);
}
