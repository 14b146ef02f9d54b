/// \file
/// The HTTP library's server with connections of this program.
#pragma once

#include <httplib.h>

#include <memory>
#include <string>

namespace oriolepick {

/// \param certificate, key paths of PEM files; without a certificate the connections are not encrypted
std::unique_ptr<httplib::Server> makeEdgeServer(const std::string& certificate, const std::string& key);

} // namespace oriolepick
