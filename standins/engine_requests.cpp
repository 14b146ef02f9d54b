#include "standins/engine_requests.h"

#include "standins/expected_answer.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>

namespace oriolepick {

namespace {

    using nlohmann::json;

    error badField(const char* name)
    {
        return { error_kind::BadRequest, absl::StrCat("field ", name, " is missing or has a value of the wrong kind"),
            {} };
    }

    template <typename Number> bool readNumber(const json& object, const char* name, Number& number)
    {
        const auto found = object.find(name);
        if (found == object.end() || !found->is_number_integer())
            return false;
        if (found->is_number_unsigned()) {
            const auto value = found->get<std::uint64_t>();
            number = static_cast<Number>(value);
            return value <= static_cast<std::uint64_t>(std::numeric_limits<Number>::max());
        }
        const auto value = found->get<std::int64_t>();
        number = static_cast<Number>(value);
        return std::numeric_limits<Number>::is_signed
            && value >= static_cast<std::int64_t>(std::numeric_limits<Number>::min());
    }

    bool readText(const json& object, const char* name, std::string& text)
    {
        const auto found = object.find(name);
        if (found == object.end() || !found->is_string())
            return false;
        text = found->get<std::string>();
        return true;
    }

    bool readModel(const json& object, model_ref& model)
    {
        std::string name;
        std::string version;
        std::string adapter;
        if (!readText(object, "model", name) || !readText(object, "version", version)
            || !readText(object, "adapter", adapter))
            return false;
        const auto parsed = model_id::parse(name);
        if (!parsed)
            return false;
        model = { *parsed, model_version(version), adapter_name(adapter) };
        return true;
    }

    bool readTokens(const json& object, const char* name, token_list& tokens)
    {
        const auto found = object.find(name);
        if (found == object.end() || !found->is_array())
            return false;
        for (const json& element : *found) {
            if (!element.is_number_unsigned() || element.get<std::uint64_t>() > std::numeric_limits<token_id>::max())
                return false;
            tokens.push_back(element.get<token_id>());
        }
        return true;
    }

    json modelJson(const model_ref& model)
    {
        return { { "model", model.model.text() }, { "version", model.version.value() },
            { "adapter", model.adapter.value() } };
    }

    json loadJson(const engine_load& load)
    {
        return { { "running", load.running }, { "waiting", load.waiting }, { "batch", load.batch },
            { "kv_free", load.kvFree } };
    }

    std::string dump(const json& value)
    {
        return value.dump(-1, ' ', false, json::error_handler_t::replace);
    }

} // namespace

result<attempt_request> parseAttemptRequest(std::string_view text)
{
    const json body = json::parse(text.begin(), text.end(), nullptr, false);
    if (!body.is_object())
        return error { error_kind::BadRequest, "body is not a JSON object", {} };
    attempt_request request;
    std::string id;
    const auto parsedId = readText(body, "attempt_id", id) ? parseAttemptId(id) : std::nullopt;
    if (!parsedId)
        return badField("attempt_id");
    request.id = *parsedId;
    if (!readModel(body, request.model))
        return badField("model, version or adapter");
    if (!readText(body, "prompt", request.prompt))
        return badField("prompt");
    if (!readTokens(body, "prefix_token_ids", request.prefix))
        return badField("prefix_token_ids");
    if (!readNumber(body, "seed", request.seed))
        return badField("seed");
    if (!readNumber(body, "max_tokens", request.maxTokens) || !request.maxTokens)
        return badField("max_tokens");
    if (request.prefix.size() > request.maxTokens)
        return error { error_kind::BadRequest, "prefix_token_ids is longer than max_tokens", {} };
    if (!readNumber(body, "priority", request.priority))
        return badField("priority");
    return request;
}

result<engine_order> parseOrder(std::string_view text)
{
    const json body = json::parse(text.begin(), text.end(), nullptr, false);
    if (!body.is_object())
        return error { error_kind::BadRequest, "body is not a JSON object", {} };
    engine_order order;
    std::string word;
    bool known = false;
    if (readText(body, "order", word)) {
        for (const auto kind :
            { order_kind::Load, order_kind::Unload, order_kind::Role, order_kind::Drain, order_kind::Undrain }) {
            if (word == toString(kind)) {
                order.kind = kind;
                known = true;
            }
        }
    }
    if (!known)
        return badField("order");
    if ((order.kind == order_kind::Load || order.kind == order_kind::Unload) && !readModel(body, order.model))
        return badField("model, version or adapter");
    if (order.kind == order_kind::Role && (!readText(body, "role", order.role) || order.role.empty()))
        return badField("role");
    if (!readNumber(body, "fencing", order.fencing))
        return badField("fencing");
    if (!readNumber(body, "ticket", order.ticket))
        return badField("ticket");
    return order;
}

std::optional<attempt_id> parseAttemptId(std::string_view text)
{
    constexpr std::size_t MaxBytes = 256;
    const auto separator = text.rfind('.');
    if (text.size() > MaxBytes || separator == std::string_view::npos || !separator)
        return std::nullopt;
    attempt_id id;
    id.origin = std::string(text.substr(0, separator));
    const auto digits = text.substr(separator + 1);
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), id.ordinal);
    if (failure != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return id;
}

std::string formatState(const engine_state& state)
{
    json loaded = json::array();
    for (const auto& model : state.loaded)
        loaded.push_back(modelJson(model));
    return dump(
        { { "loaded", std::move(loaded) }, { "loading", state.loading ? modelJson(*state.loading) : json(nullptr) },
            { "role", state.role }, { "draining", state.draining }, { "fencing", state.fencing },
            { "attempts", state.attempts }, { "incarnation", state.incarnation } });
}

std::string formatLoad(const engine_load& load)
{
    return dump(loadJson(load));
}

std::string formatCacheEvents(const cache_events& report)
{
    json events = json::array();
    for (const auto& event : report.events)
        events.push_back({ { "seq", event.sequence }, { "stored", event.stored }, { "block", event.block } });
    return dump({ { "events", std::move(events) }, { "last", report.last } });
}

std::string formatToken(std::uint32_t position, token_id id)
{
    return absl::StrCat(
        "data: {\"position\":", position, ",\"token_id\":", id, ",\"text\":\"", vocabularyText(id), "\"}\n\n");
}

std::string formatDone(const attempt_summary& summary)
{
    json data { { "finish_reason", summary.finishReason }, { "length", summary.length },
        { "prompt_tokens", summary.promptTokens }, { "cached_tokens", summary.cachedTokens } };
    if (summary.load)
        data["load"] = loadJson(*summary.load);
    return "event: done\ndata: " + dump(data) + "\n\n";
}

std::string formatCode(std::string_view code, std::string_view message)
{
    return dump({ { "code", code }, { "message", message } });
}

} // namespace oriolepick
