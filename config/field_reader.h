/// \file
/// Reads the described fields of one JSON object and collects every error by field path.
#pragma once

#include "config/field_rule.h"
#include "config/nearest_name.h"
#include "config/ticket_fields.h"
#include "core/names.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace oriolepick {

/// \return \p value as JSON, shortened for an error message
std::string shownValue(const nlohmann::json& value);

/// A visitor of describe() that fills in the fields from JSON.
class field_reader {
public:
    /// \param object the JSON object; anything else is reported as an error
    /// \param path the object's own path, for error messages
    /// \param fleet the fleet of references without a fleet
    /// \param errors where errors are appended
    field_reader(
        const nlohmann::json& object, std::string path, const fleet_name& fleet, std::vector<field_error>& errors);

    /// Reads one field.
    template <typename Value> void operator()(const char* name, Value& value, const field_rule& rule)
    {
        m_known.emplace_back(name);
        if (!m_object.is_object())
            return;
        const auto found = m_object.find(name);
        if (found != m_object.end())
            return read(*found, joined(name), value, rule);
        if (rule.needed == presence::Required)
            fail(joined(name), "is missing");
    }

    /// Accepts a field that somebody else reads.
    void allow(const char* name) { m_known.emplace_back(name); }

    /// Reports the fields that were not read. Call it once after the last field.
    void finish();

private:
    std::string joined(const char* name) const { return m_path.empty() ? name : m_path + "." + name; }
    void fail(const std::string& path, std::string problem);
    void failValue(const std::string& path, const nlohmann::json& value, std::string_view problem);
    bool inRange(const nlohmann::json& value, const std::string& path, const field_rule& rule);
    std::optional<std::int64_t> wholeNumber(
        const nlohmann::json& value, const std::string& path, const field_rule& rule);
    std::optional<std::pair<fleet_name, std::string>> reference(const nlohmann::json& value, const std::string& path);

    void read(const nlohmann::json& value, const std::string& path, std::string& text, const field_rule& rule);
    void read(const nlohmann::json& value, const std::string& path, bool& flag, const field_rule& rule);
    void read(const nlohmann::json& value, const std::string& path, int& number, const field_rule& rule);
    void read(const nlohmann::json& value, const std::string& path, double& number, const field_rule& rule);
    void read(
        const nlohmann::json& value, const std::string& path, std::chrono::milliseconds& time, const field_rule& rule);

    template <typename Tag>
    void read(const nlohmann::json& value, const std::string& path, identifier<Tag>& id, const field_rule& rule)
    {
        std::string text;
        read(value, path, text, rule);
        id = identifier<Tag>(std::move(text));
    }

    template <typename Tag>
    void read(const nlohmann::json& value, const std::string& path, qualified_name<Tag>& id, const field_rule&)
    {
        if (auto parts = reference(value, path))
            id = qualified_name<Tag>(std::move(parts->first), std::move(parts->second));
    }

    template <typename Value>
    void read(const nlohmann::json& value, const std::string& path, std::optional<Value>& held, const field_rule& rule)
    {
        if (!value.is_null())
            read(value, path, held.emplace(), rule);
    }

    template <typename Value>
    void read(const nlohmann::json& value, const std::string& path, std::vector<Value>& list, const field_rule& rule)
    {
        if (!value.is_array())
            return failValue(path, value, "is not a list");
        if (value.size() < rule.fewestItems)
            return fail(path, "needs at least " + std::to_string(rule.fewestItems) + " item");
        if (value.size() > MaxListItems)
            return fail(path, "has more than " + std::to_string(MaxListItems) + " items");
        for (std::size_t index = 0; index < value.size(); ++index)
            read(value[index], path + "[" + std::to_string(index) + "]", list.emplace_back(), rule);
    }

    template <typename Value, std::enable_if_t<std::is_enum_v<Value>, int> = 0>
    void read(const nlohmann::json& value, const std::string& path, Value& chosen, const field_rule&)
    {
        std::string words;
        for (const auto& [enumerator, word] : enum_words<Value>::Words) {
            if (value.is_string() && value.get_ref<const std::string&>() == word) {
                chosen = enumerator;
                return;
            }
            words += (words.empty() ? "" : ", ") + std::string(word);
        }
        failValue(path, value, "is none of " + words);
    }

    template <typename Value, std::enable_if_t<std::is_class_v<Value>, int> = 0>
    auto read(const nlohmann::json& value, const std::string& path, Value& object, const field_rule&)
        -> decltype(describe(std::declval<field_reader&>(), object))
    {
        field_reader reader(value, path, m_fleet, m_errors);
        describe(reader, object);
        reader.finish();
    }

    const nlohmann::json& m_object;
    std::string m_path;
    const fleet_name& m_fleet;
    std::vector<field_error>& m_errors;
    std::vector<std::string> m_known;
};

} // namespace oriolepick
