#include "standins/fault_json.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    using nlohmann::json;

    constexpr std::uint64_t MaxDelayMs = 3'600'000;

    error malformed(const std::string& field, const std::string& problem)
    {
        return error { error_kind::BadRequest, field + ": " + problem, {} };
    }

    result<std::chrono::milliseconds> delayFrom(const std::string& name, const json& value)
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > MaxDelayMs)
            return malformed(name, "milliseconds from 0 to " + std::to_string(MaxDelayMs) + " are required");
        return std::chrono::milliseconds(value.get<std::int64_t>());
    }

    result<std::uint64_t> countFrom(const std::string& name, const json& value)
    {
        if (!value.is_number_unsigned())
            return malformed(name, "an unsigned number is required");
        return value.get<std::uint64_t>();
    }

    template <typename Member, typename Parse>
    result<void> assign(Member& member, const Parse& parse, const std::string& name, const json& value)
    {
        const auto parsed = parse(name, value);
        if (!parsed)
            return parsed.error();
        member = parsed.value();
        return success();
    }

    result<void> setMember(fault_order& order, const std::string& name, const json& value)
    {
        auto& faults = order.faults;
        if (name == "delay_before_ms")
            return assign(faults.delayBefore, delayFrom, name, value);
        if (name == "delay_after_ms")
            return assign(faults.delayAfter, delayFrom, name, value);
        if (name == "down_requests")
            return assign(faults.downRequests, countFrom, name, value);
        if (name == "lose_responses")
            return assign(faults.loseResponses, countFrom, name, value);
        if (name == "down") {
            if (!value.is_boolean())
                return malformed(name, "true or false is required");
            faults.down = value.get<bool>();
            return success();
        }
        if (name == "lose_probability") {
            if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > 1)
                return malformed(name, "a number from 0 to 1 is required");
            faults.loseProbability = value.get<double>();
            return success();
        }
        return malformed(name, "unknown field");
    }

} // namespace

result<fault_order> parseFaultOrder(std::string_view body)
{
    const auto object = json::parse(body.begin(), body.end(), nullptr, false);
    if (!object.is_object())
        return malformed("body", "not a JSON object");
    fault_order order;
    for (const auto& [name, value] : object.items()) {
        if (name == "service") {
            if (!value.is_string())
                return malformed(name, "a string is required");
            order.service = value.get<std::string>();
            continue;
        }
        if (const auto assigned = setMember(order, name, value); !assigned)
            return assigned.error();
    }
    for (const auto* known : { "table", "objects", "instances", "weights" }) {
        if (order.service == known)
            return order;
    }
    return malformed("service", "one of table, objects, instances and weights is required");
}

} // namespace oriolepick
