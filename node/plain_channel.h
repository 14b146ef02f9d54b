/// \file
/// A caller's connection without encryption.
#pragma once

#include "node/byte_channel.h"

namespace oriolepick {

class plain_channel final : public byte_channel {
public:
    explicit plain_channel(int socket)
        : m_socket(socket)
    {
    }

    channel_outcome read(char* target, std::size_t size) override;
    channel_outcome write(const char* source, std::size_t size) override;
    void endOutput() override;
    int descriptor() const override { return m_socket; }

private:
    int m_socket;
};

} // namespace oriolepick
