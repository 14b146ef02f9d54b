/// \file
/// A caller's connection with TLS.
#pragma once

#include "node/byte_channel.h"

#include <chrono>
#include <memory>

struct ssl_st;
struct ssl_ctx_st;

namespace oriolepick {

class tls_channel final : public byte_channel {
public:
    /// \param context outlives the channel
    tls_channel(int socket, ssl_ctx_st* context);
    ~tls_channel() override;

    /// Makes the handshake.
    /// \param limit of each wait for the peer
    /// \return whether bytes can be exchanged
    bool accept(std::chrono::milliseconds limit);

    channel_outcome read(char* target, std::size_t size) override;
    channel_outcome write(const char* source, std::size_t size) override;
    void endOutput() override;
    int descriptor() const override { return m_socket; }

    ssl_st* session() const { return m_session.get(); }

private:
    struct session_deleter {
        void operator()(ssl_st* session) const;
    };

    channel_outcome outcomeOf(int result);

    int m_socket;
    std::unique_ptr<ssl_st, session_deleter> m_session;
    bool m_failed = false; ///< the session cannot send a close notification
};

} // namespace oriolepick
