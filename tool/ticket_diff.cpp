#include "tool/ticket_diff.h"

#include "config/ticket_json.h"
#include "core/fleet_state.h"

#include <nlohmann/json.hpp>

#include <set>

namespace oriolepick {

namespace {

    using nlohmann::json;

    json stateOf(const ticket_object& object)
    {
        return object.state ? encodeObject(object).at("state") : json();
    }

    std::string textAt(const json& flat, const std::string& field)
    {
        const auto found = flat.find(field);
        return found == flat.end() ? std::string() : found->dump();
    }

} // namespace

std::vector<field_change> changesOf(const ticket& change, const fleet_state& before)
{
    std::vector<field_change> changes;
    for (const auto& object : change.objects) {
        const auto old = stateOf({ object.key, before.find(object.key) });
        const auto fresh = stateOf(object);
        if (old.is_null() || fresh.is_null()) {
            if (old != fresh)
                changes.push_back(
                    { object.key, "", old.is_null() ? "" : old.dump(), fresh.is_null() ? "" : fresh.dump() });
            continue;
        }
        const auto oldFields = old.flatten();
        const auto newFields = fresh.flatten();
        std::set<std::string> names;
        for (const auto& fields : { oldFields, newFields }) {
            for (const auto& [name, value] : fields.items())
                names.insert(name);
        }
        for (const auto& name : names) {
            auto from = textAt(oldFields, name);
            auto to = textAt(newFields, name);
            if (from != to)
                changes.push_back({ object.key, name, std::move(from), std::move(to) });
        }
    }
    return changes;
}

} // namespace oriolepick
