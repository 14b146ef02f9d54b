#include "config/snapshot_json.h"

#include "config/ticket_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace oriolepick {

namespace {

    using nlohmann::json;

    /// Reads the list \p name of \p root and hands each item with its path to \p read.
    template <typename Function>
    void eachItem(const json& root, const char* name, std::vector<field_error>& errors, Function&& read)
    {
        const auto list = root.find(name);
        if (list == root.end() || !list->is_array()) {
            errors.push_back({ name, "is not a list" });
            return;
        }
        for (std::size_t index = 0; index < list->size(); ++index)
            read((*list)[index], name + ("[" + std::to_string(index) + "]"));
    }

    std::optional<ticket_number> readNumber(const json& root, const char* name)
    {
        const auto number = root.find(name);
        if (number == root.end() || !number->is_number_unsigned())
            return std::nullopt;
        return number->get<ticket_number>();
    }

} // namespace

std::string encodeSnapshot(const fleet_state& state)
{
    json value { { "number", state.number() }, { "objects", json::array() }, { "retired", json::array() } };
    for (const auto& object : state.objects())
        value["objects"].push_back(encodeObject(object));
    std::vector<deployment_id> retired;
    for (const auto& entry : state.retired())
        retired.push_back(entry.first);
    std::sort(retired.begin(), retired.end());
    for (const auto& id : retired) {
        const auto& entry = *state.retired().at(id);
        ticket_object object;
        object.key = { object_kind::Deployment, id.fleet(), id.name() };
        object.state = entry.settings;
        value["retired"].push_back({ { "retired_by", entry.deletingTicket }, { "object", encodeObject(object) } });
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::shared_ptr<const fleet_state>> parseSnapshot(std::string_view text)
{
    std::vector<field_error> errors;
    const auto invalid = [&] { return error { error_kind::TicketInvalid, "snapshot: " + toString(errors) }; };
    const auto root = parseCheckedJson(text, MaxSnapshotBytes, errors);
    if (root && !root->is_object())
        errors.push_back({ "", "is not an object" });
    if (!errors.empty())
        return invalid();
    const auto number = readNumber(*root, "number");
    if (!number)
        errors.push_back({ "number", "is missing or no ticket number" });
    std::vector<ticket_object> objects;
    eachItem(*root, "objects", errors, [&](const json& item, const std::string& path) {
        if (auto object = readObject(item, path, errors); object && object->state)
            objects.push_back(std::move(*object));
    });
    std::vector<std::pair<deployment_id, retired_deployment>> retired;
    eachItem(*root, "retired", errors, [&](const json& item, const std::string& path) {
        const auto by = item.is_object() ? readNumber(item, "retired_by") : std::nullopt;
        if (!by || !item.contains("object"))
            return errors.push_back({ path, "is not a retired deployment" });
        const auto object = readObject(item["object"], path + ".object", errors);
        if (!object)
            return;
        if (object->key.kind != object_kind::Deployment || !object->state)
            return errors.push_back({ path + ".object", "is not a deployment" });
        retired.push_back({ deployment_id(object->key.fleet, object->key.name),
            { std::get<deployment_settings>(*object->state), *by } });
    });
    if (!errors.empty())
        return invalid();
    return std::shared_ptr<const fleet_state>(std::make_shared<fleet_state>(*number, objects, retired));
}

} // namespace oriolepick
