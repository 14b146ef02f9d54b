/// \file
/// Ports for test programs that run side by side.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cstddef>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace oriolepick {

/// Reserves \p port among the test programs of this machine until this process ends.
/// \return false when another process has it
inline bool reservePort(std::uint16_t port)
{
    const int handle = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_un address {};
    address.sun_family = AF_UNIX;
    // A name that begins with a null byte is in no file system.
    const auto name = "oriolepick-test-port-" + std::to_string(port);
    std::copy(name.begin(), name.end(), address.sun_path + 1);
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    if (bind(handle, reinterpret_cast<sockaddr*>(&address), size) == 0)
        return true;
    close(handle);
    return false;
}

/// \return an address on loopback where nobody listens, below the ports that the system gives to outgoing connections,
/// so that none of these takes it before its server starts. No other test program gets it while this one runs.
inline std::string freeLoopbackAddress()
{
    constexpr std::uint32_t FirstPort = 10'000;
    constexpr std::uint32_t Ports = 10'000;
    constexpr std::uint32_t PortsOfOneProcess = 40;
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * PortsOfOneProcess;
    for (std::uint32_t tries = 0; tries < Ports; ++tries) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % Ports);
        if (!reservePort(port))
            continue;
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        close(handle);
        if (isFree)
            return "127.0.0.1:" + std::to_string(port);
    }
    return {};
}

} // namespace oriolepick
