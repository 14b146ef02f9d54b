/// \file
/// Writes the described fields of one object as JSON, each field always and references always with their fleet.
#pragma once

#include "config/ticket_fields.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace oriolepick {

/// A visitor of describe() that collects the fields.
class field_writer {
public:
    template <typename Value> void operator()(const char* name, Value& value, const field_rule&)
    {
        if (auto json = written(value); !json.is_null())
            m_object[name] = std::move(json);
    }

    /// \return the JSON object of all fields visited
    nlohmann::json take() { return std::move(m_object); }

private:
    static nlohmann::json written(const std::string& text) { return text; }
    static nlohmann::json written(bool flag) { return flag; }
    static nlohmann::json written(int number) { return number; }
    static nlohmann::json written(double number) { return number; }
    static nlohmann::json written(std::chrono::milliseconds time) { return time.count(); }
    template <typename Tag> static nlohmann::json written(const identifier<Tag>& id) { return id.value(); }
    template <typename Tag> static nlohmann::json written(const qualified_name<Tag>& id) { return id.text(); }

    template <typename Value> static nlohmann::json written(std::optional<Value>& held)
    {
        return held ? written(*held) : nlohmann::json();
    }

    template <typename Value> static nlohmann::json written(std::vector<Value>& list)
    {
        auto json = nlohmann::json::array();
        for (auto& value : list)
            json.push_back(written(value));
        return json;
    }

    template <typename Value, std::enable_if_t<std::is_enum_v<Value>, int> = 0>
    static nlohmann::json written(Value chosen)
    {
        for (const auto& [enumerator, word] : enum_words<Value>::Words) {
            if (enumerator == chosen)
                return std::string(word);
        }
        return nullptr;
    }

    template <typename Value, std::enable_if_t<std::is_class_v<Value>, int> = 0>
    static auto written(Value& object) -> decltype(describe(std::declval<field_writer&>(), object), nlohmann::json())
    {
        field_writer writer;
        describe(writer, object);
        return writer.take();
    }

    nlohmann::json m_object = nlohmann::json::object();
};

} // namespace oriolepick
