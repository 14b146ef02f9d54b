#include "node/cursor_codec.h"

#include "config/settings.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <array>

namespace oriolepick {

namespace {

    constexpr std::size_t MaximumCursorBytes = 2048;
    constexpr std::size_t SignatureBytes = 16;
    constexpr std::uint8_t FormatVersion = 1;

    class byte_writer {
    public:
        void number(std::uint64_t value, int bytes)
        {
            for (int index = 0; index < bytes; ++index)
                m_bytes.push_back(static_cast<char>(value >> (8 * index)));
        }
        void text(const std::string& value)
        {
            number(value.size(), 2);
            m_bytes += value;
        }
        std::string take() { return std::move(m_bytes); }

    private:
        std::string m_bytes;
    };

    class byte_reader {
    public:
        explicit byte_reader(std::string_view bytes)
            : m_bytes(bytes)
        {
        }
        std::uint64_t number(int bytes)
        {
            if (m_bytes.size() < static_cast<std::size_t>(bytes)) {
                m_failed = true;
                return 0;
            }
            std::uint64_t value = 0;
            for (int index = 0; index < bytes; ++index)
                value
                    |= static_cast<std::uint64_t>(static_cast<unsigned char>(m_bytes[static_cast<std::size_t>(index)]))
                    << (8 * index);
            m_bytes.remove_prefix(static_cast<std::size_t>(bytes));
            return value;
        }
        std::string text()
        {
            const auto size = number(2);
            if (m_bytes.size() < size) {
                m_failed = true;
                return {};
            }
            std::string value(m_bytes.substr(0, size));
            m_bytes.remove_prefix(size);
            return value;
        }
        template <typename Name> Name name()
        {
            auto fleet = text();
            return Name(fleet_name(std::move(fleet)), text());
        }
        bool complete() const { return !m_failed && m_bytes.empty(); }

    private:
        std::string_view m_bytes;
        bool m_failed = false;
    };

    template <typename Name> void writeName(byte_writer& writer, const Name& name)
    {
        writer.text(name.fleet().value());
        writer.text(name.name());
    }

    std::string sign(const std::string& secret, std::string_view payload)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        unsigned int size = 0;
        HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
            reinterpret_cast<const unsigned char*>(payload.data()), payload.size(), digest.data(), &size);
        return std::string(reinterpret_cast<const char*>(digest.data()), SignatureBytes);
    }

    bool unescape(std::string_view text, std::string& bytes)
    {
        // Debian's Abseil has a string_view of its own.
        return absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()), &bytes);
    }

    error invalid(const char* reason)
    {
        return { error_kind::CursorInvalid, std::string("Last-Event-ID: ") + reason, {} };
    }

} // namespace

cursor_codec::cursor_codec(const std::vector<cursor_key>& keys)
{
    for (const auto& key : keys)
        m_keys.push_back({ key.id, absl::HexStringToBytes(key.secretHex) });
}

const cursor_codec::signing_key* cursor_codec::findKey(std::uint32_t id) const
{
    for (const auto& key : m_keys) {
        if (key.id == id)
            return &key;
    }
    return nullptr;
}

std::string cursor_codec::encode(const cursor& value) const
{
    byte_writer writer;
    writer.number(FormatVersion, 1);
    writer.number(m_keys.front().id, 2);
    writer.number(static_cast<std::uint64_t>(
                      std::chrono::duration_cast<std::chrono::seconds>(value.expiry.time_since_epoch()).count()),
        8);
    writeName(writer, value.key.team);
    writer.text(value.key.key);
    writeName(writer, value.deployment);
    writeName(writer, value.model.model);
    writer.text(value.model.version.value());
    writer.text(value.model.adapter.value());
    writer.text(value.attempt.origin);
    writer.number(value.attempt.ordinal, 4);
    writeName(writer, value.target);
    writer.number(value.seed, 8);
    writer.number(value.promptDigest, 8);
    writer.number(value.answerDigest, 8);
    writer.number(value.nextPosition, 4);
    writer.number(value.maximumTokens, 4);
    writer.number(value.readerEpoch, 8);
    const auto payload = writer.take();
    return absl::WebSafeBase64Escape(payload) + "." + absl::WebSafeBase64Escape(sign(m_keys.front().secret, payload));
}

result<cursor> cursor_codec::decode(std::string_view text, wall_time now) const
{
    if (text.size() > MaximumCursorBytes)
        return invalid("longer than 2048 bytes");
    const auto dot = text.find('.');
    std::string payload;
    std::string signature;
    if (dot == std::string_view::npos || !unescape(text.substr(0, dot), payload)
        || !unescape(text.substr(dot + 1), signature))
        return invalid("not a cursor of this service");
    byte_reader reader(payload);
    const auto format = reader.number(1);
    const auto* key = findKey(static_cast<std::uint32_t>(reader.number(2)));
    if (format != FormatVersion || !key)
        return invalid("unknown format or signing key");
    const auto expected = sign(key->secret, payload);
    if (signature.size() != expected.size() || CRYPTO_memcmp(signature.data(), expected.data(), expected.size()))
        return invalid("the signature does not match");
    cursor value;
    value.expiry = wall_time(std::chrono::seconds(static_cast<std::int64_t>(reader.number(8))));
    value.key.team = reader.name<team_id>();
    value.key.key = reader.text();
    value.deployment = reader.name<deployment_id>();
    value.model.model = reader.name<model_id>();
    value.model.version = model_version(reader.text());
    value.model.adapter = adapter_name(reader.text());
    value.attempt.origin = reader.text();
    value.attempt.ordinal = static_cast<std::uint32_t>(reader.number(4));
    value.target = reader.name<target_id>();
    value.seed = reader.number(8);
    value.promptDigest = reader.number(8);
    value.answerDigest = reader.number(8);
    value.nextPosition = static_cast<std::uint32_t>(reader.number(4));
    value.maximumTokens = static_cast<std::uint32_t>(reader.number(4));
    value.readerEpoch = reader.number(8);
    if (!reader.complete())
        return invalid("the contents are incomplete");
    if (value.expiry < now)
        return invalid("expired");
    return value;
}

} // namespace oriolepick
