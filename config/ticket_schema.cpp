#include "config/ticket_schema.h"

#include "config/field_schema.h"
#include "config/ticket_json.h"

namespace oriolepick {

namespace {

    using nlohmann::json;

    template <std::size_t Index> void appendKind(json& alternatives)
    {
        std::variant_alternative_t<Index, object_state> settings;
        field_schema fields;
        describe(fields, settings);
        json object { { "type", "object" }, { "additionalProperties", false } };
        const std::string kind(toString(static_cast<object_kind>(Index)));
        object["properties"]
            = { { "kind", { { "const", kind } } }, { "fleet", field_schema::textSchema(text_form::Name) },
                  { "name", field_schema::textSchema(text_form::Name) }, { "state", fields.take() },
                  { "deleted", { { "type", "boolean" } } } };
        object["required"] = { "kind", "fleet", "name" };
        object["oneOf"] = { { { "required", { "state" } } }, { { "required", { "deleted" } } } };
        alternatives.push_back(std::move(object));
        if constexpr (Index + 1 < std::variant_size_v<object_state>)
            appendKind<Index + 1>(alternatives);
    }

} // namespace

json field_schema::textSchema(text_form form)
{
    json schema { { "type", "string" }, { "maxLength", MaxTextBytes } };
    switch (form) {
    case text_form::Name:
        return { { "type", "string" }, { "pattern", std::string(NamePattern) } };
    case text_form::OptionalName:
        return { { "type", "string" }, { "pattern", "^$|" + std::string(NamePattern) } };
    case text_form::Digest:
        return { { "type", "string" }, { "pattern", std::string(DigestPattern) } };
    case text_form::Role:
        return { { "enum", { "mixed", "prefill", "decode" } } };
    case text_form::Method:
        return { { "enum", { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" } } };
    case text_form::Address:
        schema["description"] = "ip:port";
        break;
    case text_form::Any:
        break;
    }
    return schema;
}

json field_schema::referenceSchema()
{
    return { { "type", "string" },
        { "pattern", "^([A-Za-z0-9][A-Za-z0-9._-]{0,63}/)?[A-Za-z0-9][A-Za-z0-9._-]{0,63}$" },
        { "description", "name in the object's own fleet, or fleet/name" } };
}

json field_schema::numberSchema(const char* type, const field_rule& rule, json value)
{
    json schema { { "type", type }, { "minimum", rule.least }, { "maximum", rule.most } };
    if (rule.needed == presence::Optional)
        schema["default"] = std::move(value);
    return schema;
}

std::string ticketSchema()
{
    auto alternatives = json::array();
    appendKind<0>(alternatives);
    json schema { { "$schema", "https://json-schema.org/draft/2020-12/schema" }, { "title", "Oriolepick ticket" },
        { "type", "object" }, { "additionalProperties", false }, { "required", { "ticket", "operator", "objects" } } };
    schema["properties"] = { { "ticket", { { "type", "integer" }, { "minimum", 1 }, { "maximum", 999'999'999'999 } } },
        { "operator", field_schema::textSchema(text_form::Any) }, { "note", field_schema::textSchema(text_form::Any) },
        { "objects", { { "type", "array" }, { "minItems", 1 }, { "maxItems", MaxTicketObjects } } } };
    schema["properties"]["objects"]["items"] = { { "oneOf", std::move(alternatives) } };
    return schema.dump(2) + "\n";
}

} // namespace oriolepick
