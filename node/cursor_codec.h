/// \file
/// Signs and verifies cursors. The text form is "base64url(payload).base64url(HMAC-SHA-256 of payload, 16 bytes)".
#pragma once

#include "core/error.h"
#include "node/cursor.h"

#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

struct cursor_key;

/// Encodes and decodes cursors with a list of keys; thread-safe after construction.
class cursor_codec {
public:
    /// \param keys the first key signs, all keys verify; at least one
    explicit cursor_codec(const std::vector<cursor_key>& keys);

    /// \return the signed text form
    std::string encode(const cursor& value) const;

    /// Verifies the signature before it reads anything else.
    /// \param text as received from a caller, at most 2 KiB
    /// \param now for the expiry
    /// \return the cursor, or CursorInvalid with the reason
    result<cursor> decode(std::string_view text, wall_time now) const;

private:
    struct signing_key {
        std::uint32_t id;
        std::string secret;
    };

    const signing_key* findKey(std::uint32_t id) const;

    std::vector<signing_key> m_keys;
};

} // namespace oriolepick
