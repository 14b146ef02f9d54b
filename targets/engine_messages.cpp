#include "targets/engine_messages.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace oriolepick {

namespace {

    using nlohmann::json;

    /// Reads fields of one JSON object and keeps the first fault. Unknown fields are accepted: engines are not part of
    /// this project and may report more than it uses.
    class object_reader {
    public:
        explicit object_reader(std::string_view text)
            : m_owned(json::parse(text.begin(), text.end(), nullptr, false))
            , m_object(m_owned)
        {
            if (!m_object.is_object())
                fail("body", "is not a JSON object");
        }

        explicit object_reader(const json& object)
            : m_object(object)
        {
            if (!m_object.is_object())
                fail("element", "is not a JSON object");
        }

        template <typename Number> Number number(const char* name)
        {
            const json* value = find(name);
            if (!value)
                return 0;
            if (!value->is_number_unsigned()
                || value->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<Number>::max())) {
                fail(name, "is not a whole number in range");
                return 0;
            }
            return value->get<Number>();
        }

        std::string text(const char* name)
        {
            const json* value = find(name);
            if (value && !value->is_string())
                fail(name, "is not a string");
            return value && value->is_string() ? value->get<std::string>() : std::string();
        }

        bool flag(const char* name)
        {
            const json* value = find(name);
            if (value && !value->is_boolean())
                fail(name, "is not true or false");
            return value && value->is_boolean() && value->get<bool>();
        }

        const json* list(const char* name)
        {
            const json* value = find(name);
            if (value && !value->is_array())
                fail(name, "is not a list");
            return value && value->is_array() ? value : nullptr;
        }

        /// \return the field, or null when it is absent or null
        const json* optional(const char* name) const
        {
            if (!m_object.is_object())
                return nullptr;
            const auto found = m_object.find(name);
            return found == m_object.end() || found->is_null() ? nullptr : &*found;
        }

        void fail(std::string_view name, std::string_view problem)
        {
            if (m_fault.empty())
                m_fault = std::string(name).append(" ").append(problem);
        }

        bool ok() const { return m_fault.empty(); }
        error fault() const { return error { error_kind::BadRequest, m_fault, {} }; }

    private:
        const json* find(const char* name)
        {
            const json* value = optional(name);
            if (!value)
                fail(name, "is missing");
            return value;
        }

        json m_owned;
        const json& m_object;
        std::string m_fault;
    };

    model_ref readModel(object_reader& reader)
    {
        model_ref ref;
        const std::string name = reader.text("model");
        if (auto model = model_id::parse(name))
            ref.model = std::move(*model);
        else
            reader.fail("model", "is not of the form fleet/name");
        ref.version = model_version(reader.text("version"));
        ref.adapter = adapter_name(reader.optional("adapter") ? reader.text("adapter") : std::string());
        return ref;
    }

    engine_load readLoad(object_reader& reader)
    {
        engine_load load;
        load.running = reader.number<std::uint32_t>("running");
        load.waiting = reader.number<std::uint32_t>("waiting");
        load.batch = reader.number<std::uint32_t>("batch");
        load.kvFree = reader.number<std::uint64_t>("kv_free");
        return load;
    }

    template <typename Value> result<Value> finish(const object_reader& reader, Value value)
    {
        if (!reader.ok())
            return reader.fault();
        return value;
    }

} // namespace

std::string formatAttemptRequest(const attempt_request& request)
{
    // The prompt comes from a caller; invalid UTF-8 is replaced instead of ending the process by an exception.
    return json {
        { "attempt_id", request.id.text() }, { "model", request.model.model.text() },
        { "version", request.model.version.value() }, { "adapter", request.model.adapter.value() },
        { "prompt", request.prompt }, { "prefix_token_ids", request.prefix }, { "seed", request.seed },
        { "max_tokens", request.maxTokens }, { "priority", request.priority }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string formatOrder(const engine_order& order)
{
    return json {
        { "order", toString(order.kind) }, { "model", order.model.model.text() },
        { "version", order.model.version.value() }, { "adapter", order.model.adapter.value() }, { "role", order.role },
        { "fencing", order.fencing }, { "ticket", order.ticket }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
}

const char* toString(order_kind kind)
{
    switch (kind) {
    case order_kind::Load:
        return "load";
    case order_kind::Unload:
        return "unload";
    case order_kind::Role:
        return "role";
    case order_kind::Drain:
        return "drain";
    case order_kind::Undrain:
        break;
    }
    return "undrain";
}

result<token_message> parseToken(std::string_view text)
{
    object_reader reader(text);
    token_message message;
    message.position = reader.number<std::uint32_t>("position");
    message.next.id = reader.number<token_id>("token_id");
    message.next.text = reader.text("text");
    return finish(reader, std::move(message));
}

result<attempt_summary> parseSummary(std::string_view text)
{
    object_reader reader(text);
    attempt_summary summary;
    summary.finishReason = reader.text("finish_reason");
    summary.length = reader.number<std::uint32_t>("length");
    summary.promptTokens = reader.number<std::uint32_t>("prompt_tokens");
    summary.cachedTokens = reader.number<std::uint32_t>("cached_tokens");
    if (const json* load = reader.optional("load")) {
        object_reader loadReader(*load);
        summary.load = readLoad(loadReader);
        if (!loadReader.ok())
            return loadReader.fault();
    }
    return finish(reader, std::move(summary));
}

result<engine_state> parseState(std::string_view text)
{
    object_reader reader(text);
    engine_state state;
    if (const json* loaded = reader.list("loaded")) {
        for (const json& element : *loaded) {
            object_reader elementReader(element);
            state.loaded.push_back(readModel(elementReader));
            if (!elementReader.ok())
                return elementReader.fault();
        }
    }
    if (const json* loading = reader.optional("loading")) {
        object_reader loadingReader(*loading);
        state.loading = readModel(loadingReader);
        if (!loadingReader.ok())
            return loadingReader.fault();
    }
    state.role = reader.text("role");
    state.draining = reader.flag("draining");
    state.fencing = reader.number<std::uint64_t>("fencing");
    state.attempts = reader.number<std::uint32_t>("attempts");
    if (reader.optional("incarnation"))
        state.incarnation = reader.number<std::uint64_t>("incarnation");
    return finish(reader, std::move(state));
}

result<engine_load> parseLoad(std::string_view text)
{
    object_reader reader(text);
    const engine_load load = readLoad(reader);
    return finish(reader, load);
}

result<cache_events> parseCacheEvents(std::string_view text)
{
    object_reader reader(text);
    cache_events report;
    report.last = reader.number<std::uint64_t>("last");
    std::uint64_t previous = 0;
    if (const json* events = reader.list("events")) {
        for (const json& element : *events) {
            object_reader elementReader(element);
            cache_event event;
            event.sequence = elementReader.number<std::uint64_t>("seq");
            event.stored = elementReader.flag("stored");
            event.block = elementReader.number<std::uint64_t>("block");
            if (event.sequence <= previous)
                elementReader.fail("seq", "does not grow");
            if (!elementReader.ok())
                return elementReader.fault();
            previous = event.sequence;
            report.events.push_back(event);
        }
    }
    return finish(reader, std::move(report));
}

std::string parseCode(std::string_view text)
{
    object_reader reader(text);
    return reader.optional("code") ? reader.text("code") : std::string();
}

std::optional<bool> parseHasAttempt(std::string_view text)
{
    object_reader reader(text);
    const json* value = reader.optional("has_attempt");
    if (!value || !value->is_boolean())
        return std::nullopt;
    return value->get<bool>();
}

} // namespace oriolepick
