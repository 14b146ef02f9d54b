#include "config/call_row_json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <array>

namespace oriolepick {

namespace {

    using nlohmann::json;

    /// An answer is limited by the node; this only bounds what a damaged table can make a node allocate.
    constexpr std::size_t MaxRowBytes = std::size_t { 4 } << 20;
    constexpr int MinStatus = 100;
    constexpr int MaxStatus = 599;

    error malformed(const std::string& field, const std::string& problem)
    {
        return error { error_kind::BadRequest, "call row: " + field + ": " + problem, {} };
    }

    std::optional<call_row_state> stateFrom(const std::string& text)
    {
        for (const auto state : { call_row_state::Claimed, call_row_state::Answered, call_row_state::Refused,
                 call_row_state::MayHaveRun }) {
            if (text == toString(state))
                return state;
        }
        return std::nullopt;
    }

    /// Names are ASCII in this system; other bytes of an answer's type are replaced rather than refused.
    std::string dumped(const json& value)
    {
        return value.dump(-1, ' ', true, json::error_handler_t::replace);
    }

    result<std::string> textField(const json& object, const char* name)
    {
        const auto found = object.find(name);
        if (found == object.end() || !found->is_string())
            return malformed(name, "a string is required");
        return found->get<std::string>();
    }

    result<void> readAnswer(const json& object, call_answer& answer)
    {
        const auto status = object.find("status");
        if (status == object.end() || !status->is_number_integer() || *status < MinStatus || *status > MaxStatus)
            return malformed("status", "an HTTP status is required");
        answer.status = status->get<int>();
        auto type = textField(object, "type");
        if (!type)
            return type.error();
        answer.contentType = std::move(type.value());
        const auto body = textField(object, "body");
        if (!body)
            return body.error();
        if (!absl::Base64Unescape(body.value(), &answer.body))
            return malformed("body", "not base64");
        return success();
    }

    result<void> readIdentity(const json& object, call_row& row)
    {
        auto claim = textField(object, "claim");
        if (!claim)
            return claim.error();
        row.claimId = std::move(claim.value());
        auto node = textField(object, "node");
        if (!node)
            return node.error();
        row.node = node_id(std::move(node.value()));
        const auto digest = object.find("digest");
        if (digest == object.end() || !digest->is_number_unsigned())
            return malformed("digest", "an unsigned number is required");
        row.bodyDigest = digest->get<std::uint64_t>();
        const auto at = object.find("at_ms");
        // The bound keeps the conversion to the clock's nanoseconds in range.
        constexpr std::int64_t MaxAtMs = 9'000'000'000'000;
        if (at == object.end() || !at->is_number_integer() || *at < 0 || *at > MaxAtMs)
            return malformed("at_ms", "milliseconds since the epoch are required");
        row.at = wall_time(std::chrono::milliseconds(at->get<std::int64_t>()));
        return success();
    }

} // namespace

std::string call_row_json::encode(const call_row& row) const
{
    // Rounded up: a refused row must not end before the time that its writer relies on.
    const auto at = std::chrono::ceil<std::chrono::milliseconds>(row.at.time_since_epoch());
    json object { { "state", toString(row.state) }, { "claim", row.claimId }, { "digest", row.bodyDigest },
        { "node", row.node.value() }, { "at_ms", at.count() } };
    if (row.state == call_row_state::Answered) {
        object["status"] = row.answer.status;
        object["type"] = row.answer.contentType;
        object["body"] = absl::Base64Escape(row.answer.body);
    }
    return dumped(object);
}

result<call_row> call_row_json::decode(std::string_view value) const
{
    if (value.size() > MaxRowBytes)
        return malformed("value", "longer than " + std::to_string(MaxRowBytes) + " bytes");
    const auto object = json::parse(value.begin(), value.end(), nullptr, false);
    if (!object.is_object())
        return malformed("value", "not a JSON object");
    const auto name = textField(object, "state");
    if (!name)
        return name.error();
    const auto state = stateFrom(name.value());
    if (!state)
        return malformed("state", "\"" + name.value() + "\" is unknown");
    call_row row;
    row.state = *state;
    if (const auto identity = readIdentity(object, row); !identity)
        return identity.error();
    constexpr std::size_t IdentityFields = 5;
    constexpr std::size_t AnswerFields = 3;
    const bool answered = row.state == call_row_state::Answered;
    if (answered) {
        if (const auto answer = readAnswer(object, row.answer); !answer)
            return answer.error();
    }
    if (object.size() != IdentityFields + (answered ? AnswerFields : 0))
        return malformed("value", "has an unknown field");
    return row;
}

} // namespace oriolepick
