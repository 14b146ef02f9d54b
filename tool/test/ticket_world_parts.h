/// \file
/// Parts of ticket_world: an object store in memory, one step of a history, and the reference fold.
#pragma once

#include "config/ticket_json.h"
#include "core/fleet_state.h"
#include "ports/object_store.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class memory_objects : public object_store {
public:
    result<void> put(const std::string& name, const std::string& bytes, std::chrono::milliseconds) override
    {
        m_objects[name] = bytes;
        return success();
    }
    result<std::optional<std::string>> get(const std::string& name, std::chrono::milliseconds) const override
    {
        const auto found = m_objects.find(name);
        return found == m_objects.end() ? std::nullopt : std::optional(found->second);
    }
    result<void> remove(const std::string& name, std::chrono::milliseconds) override
    {
        m_objects.erase(name);
        return success();
    }

private:
    std::map<std::string, std::string> m_objects;
};

/// One step of a history: what happens, and two numbers that choose where and how.
struct history_step {
    int kind;
    unsigned first;
    unsigned second;
};

/// The accepted tickets folded by plain JSON, independently of fleet_state.
class reference_fold {
public:
    void apply(const std::string& content)
    {
        const auto change = nlohmann::json::parse(content);
        for (const auto& object : change.at("objects")) {
            const auto key = object.at("kind").get<std::string>() + " " + object.at("fleet").get<std::string>() + "/"
                + object.at("name").get<std::string>();
            if (object.contains("deleted"))
                m_objects.erase(key);
            else
                m_objects[key] = object;
        }
        m_folds.push_back(m_objects);
    }

    void requireEqual(const fleet_state& state) const
    {
        RC_ASSERT(state.number() <= m_folds.size());
        std::map<std::string, nlohmann::json> held;
        for (const auto& object : state.objects())
            held[object.key.text()] = encodeObject(object);
        const auto& expected = state.number() ? m_folds[state.number() - 1] : std::map<std::string, nlohmann::json>();
        RC_ASSERT(held == expected);
    }

    ticket_number number() const { return m_folds.size(); }

private:
    std::map<std::string, nlohmann::json> m_objects;
    std::vector<std::map<std::string, nlohmann::json>> m_folds;
};

} // namespace oriolepick
