/// \file
/// The HTTP library's server with connections of this program.
#pragma once

#include <httplib.h>

#include <atomic>
#include <memory>
#include <string>

namespace oriolepick {

/// \param certificate, key paths of PEM files; without a certificate the connections are not encrypted
/// \param cut while it is true, no connection waits for a caller that does not read; outlives the server
std::unique_ptr<httplib::Server> makeEdgeServer(
    const std::string& certificate, const std::string& key, const std::atomic<bool>& cut);

} // namespace oriolepick
