/// \file
/// Ports for test programs that run side by side.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace oriolepick {

/// \return an address on loopback where nobody listens, below the ports that the system gives to outgoing connections,
/// so that none of these takes it before its server starts. Programs with close process numbers get different ones.
inline std::string freeLoopbackAddress()
{
    constexpr std::uint32_t FirstPort = 10'000;
    constexpr std::uint32_t Ports = 10'000;
    constexpr std::uint32_t PortsOfOneProcess = 40;
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * PortsOfOneProcess;
    for (std::uint32_t tries = 0; tries < Ports; ++tries) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % Ports);
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
