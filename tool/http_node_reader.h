/// \file
/// Reads back from nodes over HTTP.
#pragma once

#include "tool/command.h"

namespace oriolepick {

/// Adapter of node_reader.
class http_node_reader : public node_reader {
public:
    /// \param timeout for connecting and for the answer
    explicit http_node_reader(std::chrono::milliseconds timeout);

    result<std::string> read(const std::string& address, const std::string& page, const std::string& token) override;

private:
    std::chrono::milliseconds m_timeout;
};

} // namespace oriolepick
