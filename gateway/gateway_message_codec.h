/// \file
/// Messages between gateways and their bytes, with a check of everything a stranger could send.
#pragma once

#include "core/membership_messages.h"
#include "gateway/news_batch.h"
#include "gateway/run_messages.h"
#include "routing/crash_news.h"
#include "routing/news_digest.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace oriolepick {

/// One datagram.
struct node_datagram {
    node_id sender; ///< "IP:PORT" where the sender receives
    std::variant<membership_message, news_digest, run_message, crash_news> body;
};

std::string encodeDatagram(const node_datagram& datagram);

/// \return the datagram, or nothing when it cannot be read, names no address or has impossible values
std::optional<node_datagram> decodeDatagram(std::string_view bytes);

/// Rows ready to be sent any number of times.
struct packed_rows {
    std::string bytes;
    std::uint32_t plainBytes = 0; ///< before they were deflated, 0 when they are not
};

packed_rows packRows(const std::vector<stored_row>& rows);

/// \return the bytes of \p batch, with \p rows in place of its own
std::string encodeBatch(const news_batch& batch, const packed_rows& rows);

/// \return the bytes of \p batch, its rows deflated when they are large
std::string encodeBatch(const news_batch& batch);

/// \return the batch, or nothing when it cannot be read or is larger than any table may be
std::optional<news_batch> decodeBatch(std::string_view bytes);

} // namespace oriolepick
