#include "gateway/row_codec.h"

#include "gateway/socket_address.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    using json = nlohmann::json;

    constexpr std::int64_t MaxAgeMs = 3'600'000; ///< an hour; anything above is no age

    std::string unescaped(const json& text)
    {
        std::string bytes;
        if (!absl::Base64Unescape(text.get<std::string>(), &bytes))
            throw std::invalid_argument("a row is not in base64");
        return bytes;
    }

} // namespace

std::string encodeRows(const row_answer& answer)
{
    auto rows = json::array();
    for (const auto& row : answer.rows)
        rows.push_back({ absl::Base64Escape(row.key), absl::Base64Escape(row.value), row.removed });
    return json {
        { "revision", answer.revision }, { "age_ms", answer.age.count() }, { "rows", std::move(rows) }
    }.dump();
}

row_answer decodeRows(std::string_view text)
{
    row_answer answer;
    try {
        const auto root = json::parse(text);
        answer.revision = root.at("revision").get<std::uint64_t>();
        const auto age = root.at("age_ms").get<std::int64_t>();
        if (age < 0 || age > MaxAgeMs)
            throw std::invalid_argument("field \"age_ms\" is out of range");
        answer.age = std::chrono::milliseconds(age);
        for (const auto& row : root.at("rows"))
            answer.rows.push_back({ unescaped(row.at(0)), unescaped(row.at(1)), row.at(2).get<bool>() });
        answer.status = row_status::Done;
    } catch (const std::exception& problem) {
        answer = {};
        answer.status = row_status::Malformed;
        answer.problem = problem.what();
    }
    return answer;
}

std::string encodeNode(const node_entry& entry)
{
    return json {
        { "zone", entry.zone.value() }, { "peer_address", entry.peerAddress }, { "beat", entry.beat }
    }.dump();
}

std::optional<node_entry> decodeNode(const std::string& name, std::string_view text)
{
    try {
        const auto root = json::parse(text);
        node_entry entry;
        entry.node = node_id(name);
        entry.zone = availability_zone(root.at("zone").get<std::string>());
        entry.peerAddress = root.at("peer_address").get<std::string>();
        entry.beat = root.at("beat").get<std::uint64_t>();
        if (!parseSocketAddress(entry.peerAddress))
            return std::nullopt;
        return entry;
    } catch (const std::exception&) {
        return std::nullopt; // the caller counts it
    }
}

} // namespace oriolepick
