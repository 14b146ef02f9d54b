#include "config/settings_json.h"

#include "config/field_reader.h"
#include "config/nearest_name.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cmath>
#include <functional>
#include <set>

// The fields are rows of one table: a path, a member pointer and a range. Reading, checking and the reference page all
// walk that table, so a field cannot be accepted without being documented.

namespace oriolepick {

namespace {

    using json = nlohmann::json;

    constexpr std::size_t MaximumSettingsBytes = 1 << 20;

    struct text_field {
        const char* path;
        std::string settings::*member;
        bool required;
        bool (*valid)(const std::string&);
        const char* range;
        const char* meaning;
    };

    struct number_field {
        const char* path;
        std::int64_t settings::*member;
        std::int64_t minimum;
        std::int64_t maximum;
        const char* meaning;
    };

    /// The side to which a fraction is rounded.
    enum class rounding { Down, Up };

    struct duration_field {
        const char* path;
        std::chrono::milliseconds settings::*member;
        std::int64_t minimum;
        std::int64_t maximum;
        const char* meaning;
        rounding side = rounding::Down;
    };

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](unsigned char character) {
            return std::isalnum(character) || character == '-' || character == '_' || character == '.';
        });
    }

    bool isAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos || !colon || colon + 1 == text.size() || text.size() - colon > 6)
            return false;
        if (!std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1, text.end(),
                [](unsigned char character) { return std::isdigit(character); }))
            return false;
        const int port = std::stoi(text.substr(colon + 1));
        return port > 0 && port <= 65535
            && std::all_of(
                text.begin(), text.begin() + static_cast<std::ptrdiff_t>(colon), [](unsigned char character) {
                    return std::isxdigit(character) || character == '.' || character == ':' || character == '['
                        || character == ']';
                });
    }

    bool isHex64(const std::string& text)
    {
        return text.size() == 64
            && std::all_of(text.begin(), text.end(), [](unsigned char character) { return std::isxdigit(character); });
    }

    bool isAnyText(const std::string&)
    {
        return true;
    }
    bool isLogFormat(const std::string& text)
    {
        return text == "text" || text == "json";
    }
    bool isLogLevel(const std::string& text)
    {
        return text == "debug" || text == "info" || text == "warn" || text == "error";
    }

    const std::array<text_field, 9> TextFields { {
        { "node.name", &settings::nodeName, true, isName, "letters, digits, '-', '_', '.'",
            "name of this node in logs and metrics" },
        { "callers.listen", &settings::callersListen, true, isAddress, "IP:PORT", "address of the callers' HTTP edge" },
        { "callers.tls_certificate", &settings::tlsCertificate, false, isAnyText, "file name",
            "certificate chain in PEM; TLS is on when set" },
        { "callers.tls_key", &settings::tlsKey, false, isAnyText, "file name", "private key in PEM" },
        { "peers.listen", &settings::peersListen, true, isAddress, "IP:PORT", "address for messages between nodes" },
        { "platform.address", &settings::platformAddress, true, isAddress, "IP:PORT",
            "address of the platform's table, object and instance service" },
        { "operators.token_sha256", &settings::operatorTokenSha256, true, isHex64, "64 hexadecimal digits",
            "SHA-256 of the operators' bearer token" },
        { "log.format", &settings::logFormat, false, isLogFormat, "text, json", "format of log lines" },
        { "log.level", &settings::logLevel, false, isLogLevel, "debug, info, warn, error",
            "least severe level that is logged" },
    } };

    const std::array<number_field, 4> NumberFields { {
        { "callers.threads", &settings::callersThreads, 4, 16384, "connections served at once; a stream holds one" },
        { "callers.max_body_bytes", &settings::maximumBodyBytes, 1024, 64 << 20,
            "largest accepted request body, bytes" },
        { "targets.response_memory_bytes", &settings::responseMemoryBytes, 1 << 20, std::int64_t { 1 } << 40,
            "memory that the responses of targets may hold together, bytes" },
        { "queue.capacity", &settings::queueCapacity, 1, 100000, "generations that may wait for a target" },
    } };

    const std::array<duration_field, 4> DurationFields { {
        { "platform.timeout_ms", &settings::platformTimeout, 10, 60000, "time limit of one platform operation, ms" },
        { "platform.ticket_poll_ms", &settings::ticketPollInterval, 50, 60000,
            "shortest interval between polls for tickets, ms", rounding::Up },
        { "queue.timeout_ms", &settings::queueTimeout, 100, 600000, "longest wait for a target, ms" },
        { "drain.timeout_ms", &settings::drainTimeout, 1000, 86400000,
            "longest wait of a planned stop for its streams, ms" },
    } };

    /// Paths that are read by their own code below.
    const std::array<const char*, 5> OtherPaths { "node.zone", "node.region", "peers.seeds", "cursor.keys",
        "cursor.lifetime_s" };

    const json* find(const json& document, std::string_view path)
    {
        const auto dot = path.find('.');
        const auto section = document.find(std::string(path.substr(0, dot)));
        if (section == document.end() || !section->is_object())
            return nullptr;
        const auto field = section->find(std::string(path.substr(dot + 1)));
        return field == section->end() ? nullptr : &*field;
    }

    class settings_reader {
    public:
        explicit settings_reader(const json& document)
            : m_document(document)
        {
        }

        settings_outcome read()
        {
            rejectUnknownNames();
            for (const auto& field : TextFields)
                readText(field);
            for (const auto& field : NumberFields)
                readFigure(field.path, field.minimum, field.maximum, rounding::Down,
                    [&](std::int64_t number) { m_settings.*field.member = number; });
            for (const auto& field : DurationFields) {
                readFigure(field.path, field.minimum, field.maximum, field.side,
                    [&](std::int64_t number) { m_settings.*field.member = std::chrono::milliseconds(number); });
            }
            readFigure("cursor.lifetime_s", 10, 604800, rounding::Down,
                [&](std::int64_t number) { m_settings.cursorLifetime = std::chrono::seconds(number); });
            readPlace();
            readSeeds();
            readKeys();
            if (m_settings.tlsCertificate.empty() != m_settings.tlsKey.empty())
                fail("callers.tls_key", "certificate and key must be given together");
            settings_outcome outcome;
            if (m_errors.empty())
                outcome.value = std::move(m_settings);
            outcome.errors = std::move(m_errors);
            return outcome;
        }

    private:
        void fail(std::string path, std::string message)
        {
            m_errors.push_back({ std::move(path), std::move(message) });
        }

        static std::vector<std::string> knownPaths()
        {
            std::vector<std::string> paths(OtherPaths.begin(), OtherPaths.end());
            for (const auto& field : TextFields)
                paths.emplace_back(field.path);
            for (const auto& field : NumberFields)
                paths.emplace_back(field.path);
            for (const auto& field : DurationFields)
                paths.emplace_back(field.path);
            return paths;
        }

        void rejectUnknownNames()
        {
            const auto known = knownPaths();
            for (const auto& [section, fields] : m_document.items()) {
                if (!fields.is_object()) {
                    fail(section, "must be an object");
                    continue;
                }
                for (const auto& [name, value] : fields.items()) {
                    const auto path = section + "." + name;
                    if (std::find(known.begin(), known.end(), path) != known.end())
                        continue;
                    fail(path, unknownFieldProblem(path, known));
                }
            }
        }

        void readText(const text_field& field)
        {
            const auto* value = find(m_document, field.path);
            if (!value) {
                if (field.required)
                    fail(field.path, "is required (" + std::string(field.range) + ")");
                return;
            }
            if (!value->is_string())
                return fail(field.path, "must be a string, is " + std::string(value->type_name()));
            auto text = value->get<std::string>();
            if (!field.valid(text))
                return fail(field.path, "\"" + text + "\" is not valid; expected: " + field.range);
            m_settings.*field.member = std::move(text);
        }

        void readFigure(const char* path, std::int64_t minimum, std::int64_t maximum, rounding side,
            const std::function<void(std::int64_t)>& store)
        {
            const auto* value = find(m_document, path);
            if (!value)
                return;
            if (!value->is_number())
                return fail(path, "must be a number, is " + shownValue(*value));
            const auto number = value->get<double>();
            // Not a number fails both comparisons.
            if (!(number >= static_cast<double>(minimum) && number <= static_cast<double>(maximum))) {
                return fail(path,
                    shownValue(*value) + " is outside " + std::to_string(minimum) + " to " + std::to_string(maximum));
            }
            store(static_cast<std::int64_t>(side == rounding::Up ? std::ceil(number) : std::floor(number)));
        }

        std::string readName(const char* path)
        {
            const auto* value = find(m_document, path);
            if (!value || !value->is_string() || !isName(value->get<std::string>())) {
                fail(path, "is required (letters, digits, '-', '_', '.')");
                return {};
            }
            return value->get<std::string>();
        }

        void readPlace()
        {
            m_settings.zone = availability_zone(readName("node.zone"));
            m_settings.region = region_name(readName("node.region"));
        }

        void readSeeds()
        {
            const auto* value = find(m_document, "peers.seeds");
            if (!value)
                return;
            if (!value->is_array())
                return fail("peers.seeds", "must be an array of IP:PORT");
            for (std::size_t index = 0; index < value->size(); ++index) {
                const auto& seed = (*value)[index];
                if (seed.is_string() && isAddress(seed.get<std::string>()))
                    m_settings.peersSeeds.push_back(seed.get<std::string>());
                else
                    fail("peers.seeds[" + std::to_string(index) + "]", seed.dump() + " is not IP:PORT");
            }
        }

        void readKeys()
        {
            const auto* value = find(m_document, "cursor.keys");
            if (!value || !value->is_array() || value->empty())
                return fail("cursor.keys", "is required: an array of {\"id\", \"secret_hex\"} with at least one key");
            std::set<std::int64_t> ids;
            for (std::size_t index = 0; index < value->size(); ++index)
                readKey((*value)[index], "cursor.keys[" + std::to_string(index) + "]", ids);
        }

        void readKey(const json& value, const std::string& path, std::set<std::int64_t>& ids)
        {
            if (!value.is_object() || !value.contains("id") || !value["id"].is_number_integer()
                || !value.contains("secret_hex") || !value["secret_hex"].is_string() || value.size() != 2)
                return fail(path, "must be an object with exactly \"id\" (integer) and \"secret_hex\" (string)");
            const auto id = value["id"].get<std::int64_t>();
            if (id < 0 || id > 0xffff)
                return fail(path + ".id", std::to_string(id) + " is outside 0 to 65535");
            if (!ids.insert(id).second)
                return fail(path + ".id", std::to_string(id) + " stands twice");
            auto secret = value["secret_hex"].get<std::string>();
            const bool hex = std::all_of(
                secret.begin(), secret.end(), [](unsigned char character) { return std::isxdigit(character); });
            if (!hex || secret.size() < 64 || secret.size() % 2)
                return fail(path + ".secret_hex", "must hold at least 32 bytes as hexadecimal digits");
            m_settings.cursorKeys.push_back({ static_cast<std::uint32_t>(id), std::move(secret) });
        }

        const json& m_document;
        settings m_settings;
        std::vector<settings_error> m_errors;
    };

    std::string row(
        const std::string& path, const std::string& standard, const std::string& range, const std::string& meaning)
    {
        return "| `" + path + "` | " + standard + " | " + range + " | " + meaning + " |\n";
    }

} // namespace

settings_outcome parseSettings(std::string_view text)
{
    settings_outcome failed;
    if (text.size() > MaximumSettingsBytes) {
        failed.errors.push_back({ "", "the file is larger than 1 MiB" });
        return failed;
    }
    const auto document = json::parse(text, nullptr, false);
    if (document.is_discarded() || !document.is_object()) {
        failed.errors.push_back({ "", "the file is not a JSON object" });
        return failed;
    }
    return settings_reader(document).read();
}

std::string settingsReference()
{
    const settings standard;
    std::string page = "| field | default | range | meaning |\n| --- | --- | --- | --- |\n";
    page += row("node.zone", "required", "letters, digits, '-', '_', '.'", "availability zone of this node");
    page += row("node.region", "required", "letters, digits, '-', '_', '.'", "region of this node");
    for (const auto& field : TextFields) {
        const auto& value = standard.*field.member;
        page += row(
            field.path, field.required ? "required" : (value.empty() ? "none" : value), field.range, field.meaning);
    }
    for (const auto& field : NumberFields) {
        page += row(field.path, std::to_string(standard.*field.member),
            std::to_string(field.minimum) + " to " + std::to_string(field.maximum), field.meaning);
    }
    for (const auto& field : DurationFields) {
        page += row(field.path, std::to_string((standard.*field.member).count()),
            std::to_string(field.minimum) + " to " + std::to_string(field.maximum), field.meaning);
    }
    page += row("peers.seeds", "[]", "array of IP:PORT", "other nodes to join at start");
    page += row(
        "cursor.keys", "required", "array of {id, secret_hex}", "keys that sign cursors: the first signs, all verify");
    page += row("cursor.lifetime_s", std::to_string(standard.cursorLifetime.count()), "10 to 604800",
        "lifetime of a cursor, s");
    return page;
}

} // namespace oriolepick
