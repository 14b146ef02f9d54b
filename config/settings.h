/// \file
/// The settings of one node, read once at start from a JSON file.
#pragma once

#include "core/names.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolepick {

/// One key for signing cursors. All nodes hold the same list; the first key signs, all keys verify, so that a key
/// is rotated by adding the new one at the end everywhere, moving it to the front, and removing the old one last.
struct cursor_key {
    std::uint32_t id = 0;
    std::string secretHex; ///< at least 32 bytes in hexadecimal
};

/// Settings of a node; \see settings_json.h for ranges and units.
struct settings {
    std::string nodeName;
    availability_zone zone;
    region_name region;

    std::string callersListen; ///< "ip:port" of the callers' HTTP edge
    std::int64_t callersThreads = 512; ///< connections served at once; one thread each
    std::int64_t maximumBodyBytes = 1 << 20;
    std::int64_t responseMemoryBytes = 64 << 20; ///< for the responses of targets together
    std::string tlsCertificate; ///< file name; empty for plain HTTP
    std::string tlsKey;

    std::string peersListen; ///< "ip:port" for messages between nodes
    std::vector<std::string> peersSeeds; ///< "ip:port" of other nodes

    std::string platformAddress; ///< "ip:port"
    std::chrono::milliseconds platformTimeout { 1000 };
    std::chrono::milliseconds ticketPollInterval { 500 };

    std::string operatorTokenSha256; ///< digest of the operators' bearer token
    std::vector<cursor_key> cursorKeys;
    std::chrono::seconds cursorLifetime { 3600 };

    std::string logFormat = "text"; ///< "text" or "json"
    std::string logLevel = "info";

    std::int64_t queueCapacity = 1024; ///< generations waiting for a target
    std::chrono::milliseconds queueTimeout { 10000 };
    std::chrono::milliseconds drainTimeout { 600000 }; ///< a planned stop waits at most this long for its streams
};

} // namespace oriolepick
