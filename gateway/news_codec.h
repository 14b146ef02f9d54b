/// \file
/// Messages between gateways and their bytes, with a check of everything a stranger could send.
#pragma once

#include "core/membership_messages.h"
#include "gateway/news_batch.h"
#include "gateway/run_messages.h"
#include "routing/news_digest.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace oriolepick {

/// One datagram.
struct node_datagram {
    node_id sender; ///< "IP:PORT" where the sender receives
    std::variant<membership_message, news_digest, run_message> body;
};

std::string encodeDatagram(const node_datagram& datagram);

/// \return the datagram, or nothing when it cannot be read, names no address or has impossible values
std::optional<node_datagram> decodeDatagram(std::string_view bytes);

/// \return the bytes of \p batch, deflated when it is large
std::string encodeBatch(const news_batch& batch);

/// \return the batch, or nothing when it cannot be read or is larger than any table may be
std::optional<news_batch> decodeBatch(std::string_view bytes);

} // namespace oriolepick
