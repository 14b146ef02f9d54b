#include "ports/table_json.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    using nlohmann::json;

    error malformed(const std::string& field, const std::string& problem)
    {
        return error { error_kind::BadRequest, field + ": " + problem, {} };
    }

    const json* member(const json& object, const char* name)
    {
        const auto found = object.find(name);
        return found == object.end() ? nullptr : &*found;
    }

    result<json> parseObject(std::string_view body)
    {
        auto parsed = json::parse(body.begin(), body.end(), nullptr, false);
        if (!parsed.is_object())
            return malformed("body", "not a JSON object");
        return parsed;
    }

    result<std::string> textMember(const json& object, const char* name, const std::string& path)
    {
        const auto* value = member(object, name);
        if (!value || !value->is_string())
            return malformed(path + "." + name, "a string is required");
        return value->get<std::string>();
    }

    result<std::uint64_t> versionMember(const json& object, const std::string& path)
    {
        const auto* value = member(object, "version");
        if (!value || !value->is_number_unsigned())
            return malformed(path + ".version", "an unsigned number is required");
        return value->get<std::uint64_t>();
    }

    result<const json*> arrayMember(const json& object, const char* name)
    {
        const auto* value = member(object, name);
        if (!value || !value->is_array())
            return malformed(name, "an array is required");
        return value;
    }

    result<table_condition> conditionFrom(const json& item, const std::string& path)
    {
        if (!item.is_object())
            return malformed(path, "not an object");
        auto key = textMember(item, "key", path);
        if (!key)
            return key.error();
        const auto* absent = member(item, "absent");
        if (absent && *absent == true && item.size() == 2)
            return table_condition { std::move(key.value()), std::nullopt };
        const auto version = versionMember(item, path);
        if (!version)
            return version.error();
        const auto* epoch = member(item, "epoch");
        if (epoch && !epoch->is_number_unsigned())
            return malformed(path + ".epoch", "an unsigned number is required");
        if (item.size() != (epoch ? 3U : 2U))
            return malformed(path, "needs \"key\" and either \"absent\":true or \"version\"");
        return table_condition { std::move(key.value()),
            store_version(epoch ? epoch->get<store_epoch>() : 0, version.value()) };
    }

    result<table_write> writeFrom(const json& item, const std::string& path)
    {
        if (!item.is_object())
            return malformed(path, "not an object");
        auto key = textMember(item, "key", path);
        if (!key)
            return key.error();
        const auto* removal = member(item, "delete");
        if (removal && *removal == true && item.size() == 2)
            return table_write { std::move(key.value()), std::nullopt };
        auto value = textMember(item, "value", path);
        if (!value)
            return value.error();
        if (item.size() != 2)
            return malformed(path, "needs \"key\" and either \"delete\":true or \"value\"");
        return table_write { std::move(key.value()), std::move(value.value()) };
    }

    result<table_row> rowFrom(const json& item, const std::string& path, store_epoch epoch)
    {
        if (!item.is_object())
            return malformed(path, "not an object");
        auto key = textMember(item, "key", path);
        if (!key)
            return key.error();
        auto value = textMember(item, "value", path);
        if (!value)
            return value.error();
        const auto version = versionMember(item, path);
        if (!version)
            return version.error();
        return table_row { std::move(key.value()), std::move(value.value()), store_version(epoch, version.value()) };
    }

    json rowJson(const table_row& row)
    {
        return json { { "key", row.key }, { "value", row.value }, { "version", row.version.number() } };
    }

    std::string indexed(const char* name, std::size_t index)
    {
        return std::string(name) + "[" + std::to_string(index) + "]";
    }

} // namespace

result<std::string> encodeTransaction(const table_transaction& transaction)
{
    auto conditions = json::array();
    for (const auto& condition : transaction.conditions) {
        json item { { "key", condition.key } };
        if (condition.version) {
            item["version"] = condition.version->number();
            // A store that was never restored may not know epochs.
            if (condition.version->epoch())
                item["epoch"] = condition.version->epoch();
        } else
            item["absent"] = true;
        conditions.push_back(std::move(item));
    }
    auto writes = json::array();
    for (const auto& write : transaction.writes) {
        json item { { "key", write.key } };
        if (write.value)
            item["value"] = *write.value;
        else
            item["delete"] = true;
        writes.push_back(std::move(item));
    }
    const json body { { "conditions", std::move(conditions) }, { "writes", std::move(writes) } };
    try {
        return body.dump();
    } catch (const json::type_error&) {
        return malformed("transaction", "a key or value is not UTF-8");
    }
}

result<table_transaction> parseTransaction(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object)
        return object.error();
    const auto conditions = arrayMember(object.value(), "conditions");
    if (!conditions)
        return conditions.error();
    const auto writes = arrayMember(object.value(), "writes");
    if (!writes)
        return writes.error();
    if (object.value().size() != 2)
        return malformed("body", "has a field other than \"conditions\" and \"writes\"");
    table_transaction transaction;
    for (const auto& item : *conditions.value()) {
        auto condition = conditionFrom(item, indexed("conditions", transaction.conditions.size()));
        if (!condition)
            return condition.error();
        transaction.conditions.push_back(std::move(condition.value()));
    }
    for (const auto& item : *writes.value()) {
        auto write = writeFrom(item, indexed("writes", transaction.writes.size()));
        if (!write)
            return write.error();
        transaction.writes.push_back(std::move(write.value()));
    }
    return transaction;
}

std::vector<store_version> parseVersions(
    std::string_view body, const std::vector<table_write>& writes, store_epoch epoch)
{
    const auto object = json::parse(body.begin(), body.end(), nullptr, false);
    const auto* known = object.is_object() ? member(object, "versions") : nullptr;
    if (!known || !known->is_object())
        return {};
    std::vector<store_version> versions;
    versions.reserve(writes.size());
    for (const auto& write : writes) {
        const auto* version = write.value ? member(*known, write.key.c_str()) : nullptr;
        if (write.value && (!version || !version->is_number_unsigned()))
            return {};
        versions.push_back(version ? store_version(epoch, version->get<std::uint64_t>()) : store_version());
    }
    return versions;
}

result<std::vector<std::string>> parseFailedKeys(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object)
        return object.error();
    const auto failed = arrayMember(object.value(), "failed");
    if (!failed)
        return failed.error();
    std::vector<std::string> keys;
    for (const auto& item : *failed.value()) {
        if (!item.is_string())
            return malformed(indexed("failed", keys.size()), "a string is required");
        keys.push_back(item.get<std::string>());
    }
    return keys;
}

std::string encodeRow(const table_row& row)
{
    return rowJson(row).dump(-1, ' ', false, json::error_handler_t::replace);
}

result<table_row> parseRow(std::string_view body, store_epoch epoch)
{
    const auto object = parseObject(body);
    if (!object)
        return object.error();
    return rowFrom(object.value(), "row", epoch);
}

std::string encodeRows(const std::vector<table_row>& rows)
{
    auto items = json::array();
    for (const auto& row : rows)
        items.push_back(rowJson(row));
    return json { { "rows", std::move(items) } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<table_row>> parseRows(std::string_view body, store_epoch epoch)
{
    const auto object = parseObject(body);
    if (!object)
        return object.error();
    const auto items = arrayMember(object.value(), "rows");
    if (!items)
        return items.error();
    std::vector<table_row> rows;
    for (const auto& item : *items.value()) {
        auto row = rowFrom(item, indexed("rows", rows.size()), epoch);
        if (!row)
            return row.error();
        rows.push_back(std::move(row.value()));
    }
    return rows;
}

} // namespace oriolepick
