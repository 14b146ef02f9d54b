/// \file
/// Encodes and decodes the messages between gateways. Decoding validates every field, since any host can send to the
/// port.
#pragma once

#include "core/membership_messages.h"
#include "core/target_limit_messages.h"
#include "gateway/news_batch.h"
#include "gateway/place_codec.h"
#include "gateway/run_messages.h"
#include "routing/crash_news.h"
#include "routing/news_digest.h"
#include "routing/retry_share_messages.h"
#include "routing/rollout_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace oriolepick {

/// A datagram between gateways.
struct node_datagram {
    node_id sender; ///< "IP:PORT" where the sender receives
    std::variant<membership_message, news_digest, run_message, crash_news, target_limit_message, retry_share_message,
        rollout_message, place_datagram>
        body;
};

std::string encodeDatagram(const node_datagram& datagram);

/// \return the datagram, or nothing when it is malformed, its sender is not an address, or a value is out of range
std::optional<node_datagram> decodeDatagram(std::string_view bytes);

/// Encoded rows, which can be sent any number of times.
struct packed_rows {
    std::string bytes;
    std::uint32_t plainBytes = 0; ///< size before compression, 0 when the rows are not compressed
};

packed_rows packRows(const std::vector<stored_row>& rows);

/// \return the encoded \p batch, with \p rows in place of its own rows
std::string encodeBatch(const news_batch& batch, const packed_rows& rows);

/// \return the encoded \p batch; large rows are compressed
std::string encodeBatch(const news_batch& batch);

/// \return the batch, or nothing when it is malformed or larger than any table may be
std::optional<news_batch> decodeBatch(std::string_view bytes);

/// \param bytes a batch that decodeBatch() accepts
/// \return its rows as they are encoded
packed_rows packedRowsOf(std::string_view bytes);

} // namespace oriolepick
