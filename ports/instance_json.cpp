#include "ports/instance_json.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    using nlohmann::json;

    error malformed(const std::string& field, const std::string& problem)
    {
        return error { error_kind::BadRequest, field + ": " + problem, {} };
    }

    result<instance_record> instanceFrom(const json& item, const std::string& path)
    {
        if (!item.is_object())
            return malformed(path, "not an object");
        for (const auto* name : { "address", "zone", "kind", "state" }) {
            const auto found = item.find(name);
            if (found == item.end() || !found->is_string())
                return malformed(path + "." + name, "a string is required");
        }
        instance_record record;
        record.address = item["address"].get<std::string>();
        record.zone = availability_zone(item["zone"].get<std::string>());
        record.kind = item["kind"].get<std::string>();
        const auto state = item["state"].get<std::string>();
        if (state != "live" && state != "leaving")
            return malformed(path + ".state", "\"" + state + "\" is neither \"live\" nor \"leaving\"");
        record.state = state == "live" ? instance_state::Live : instance_state::Leaving;
        return record;
    }

} // namespace

std::string encodeInstances(const std::vector<instance_record>& instances)
{
    auto items = json::array();
    for (const auto& record : instances) {
        items.push_back(json { { "address", record.address }, { "zone", record.zone.value() }, { "kind", record.kind },
            { "state", record.state == instance_state::Live ? "live" : "leaving" } });
    }
    return json { { "instances", std::move(items) } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<instance_record>> parseInstances(std::string_view body)
{
    const auto object = json::parse(body.begin(), body.end(), nullptr, false);
    if (!object.is_object())
        return malformed("body", "not a JSON object");
    const auto items = object.find("instances");
    if (items == object.end() || !items->is_array())
        return malformed("instances", "an array is required");
    std::vector<instance_record> records;
    for (const auto& item : *items) {
        auto record = instanceFrom(item, "instances[" + std::to_string(records.size()) + "]");
        if (!record)
            return record.error();
        records.push_back(std::move(record.value()));
    }
    return records;
}

} // namespace oriolepick
