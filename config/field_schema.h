/// \file
/// Describes the fields of one object as JSON schema.
#pragma once

#include "config/field_rule.h"
#include "config/ticket_fields.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace oriolepick {

/// A visitor of describe() that collects the schema of each field, with the default of an optional one.
class field_schema {
public:
    template <typename Value> void operator()(const char* name, Value& value, const field_rule& rule)
    {
        m_properties[name] = schemaOf(value, rule);
        if (rule.needed == presence::Required)
            m_required.push_back(name);
    }

    /// \return the schema of the object whose fields were visited
    nlohmann::json take()
    {
        nlohmann::json schema { { "type", "object" }, { "additionalProperties", false } };
        schema["properties"] = std::move(m_properties);
        if (!m_required.empty())
            schema["required"] = std::move(m_required);
        return schema;
    }

    /// \return the schema of a text
    static nlohmann::json textSchema(text_form form);
    /// \return the schema of a reference "name" or "fleet/name"
    static nlohmann::json referenceSchema();

private:
    static const char* wholeNumberType(const field_rule& rule)
    {
        return rule.fractions == fraction_rule::Refused ? "integer" : "number";
    }
    static nlohmann::json numberSchema(const char* type, const field_rule& rule, nlohmann::json value);

    static nlohmann::json schemaOf(const std::string&, const field_rule& rule) { return textSchema(rule.form); }
    static nlohmann::json schemaOf(bool, const field_rule&) { return { { "type", "boolean" } }; }
    static nlohmann::json schemaOf(int value, const field_rule& rule)
    {
        return numberSchema(wholeNumberType(rule), rule, value);
    }
    static nlohmann::json schemaOf(double value, const field_rule& rule) { return numberSchema("number", rule, value); }
    static nlohmann::json schemaOf(std::chrono::milliseconds value, const field_rule& rule)
    {
        return numberSchema(wholeNumberType(rule), rule, value.count());
    }
    template <typename Tag> static nlohmann::json schemaOf(const identifier<Tag>&, const field_rule& rule)
    {
        return textSchema(rule.form);
    }
    template <typename Tag> static nlohmann::json schemaOf(const qualified_name<Tag>&, const field_rule&)
    {
        return referenceSchema();
    }
    template <typename Value> static nlohmann::json schemaOf(std::optional<Value>&, const field_rule& rule)
    {
        Value value;
        return schemaOf(value, rule);
    }
    template <typename Value> static nlohmann::json schemaOf(std::vector<Value>&, const field_rule& rule)
    {
        Value value {};
        nlohmann::json schema { { "type", "array" }, { "maxItems", MaxListItems } };
        schema["items"] = schemaOf(value, rule);
        if (rule.fewestItems)
            schema["minItems"] = rule.fewestItems;
        return schema;
    }
    template <typename Value, std::enable_if_t<std::is_enum_v<Value>, int> = 0>
    static nlohmann::json schemaOf(Value, const field_rule&)
    {
        auto words = nlohmann::json::array();
        for (const auto& entry : enum_words<Value>::Words)
            words.push_back(std::string(entry.second));
        return { { "enum", std::move(words) } };
    }
    template <typename Value, std::enable_if_t<std::is_class_v<Value>, int> = 0>
    static auto schemaOf(Value& object, const field_rule&)
        -> decltype(describe(std::declval<field_schema&>(), object), nlohmann::json())
    {
        field_schema schema;
        describe(schema, object);
        return schema.take();
    }

    nlohmann::json m_properties = nlohmann::json::object();
    nlohmann::json m_required = nlohmann::json::array();
};

} // namespace oriolepick
