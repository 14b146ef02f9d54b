#include "config/crash_row_json.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    using nlohmann::json;

    constexpr std::size_t MaxRowBytes = 65'536;
    constexpr std::size_t MaxMarks = 64;
    /// The bound keeps the conversion to the clock's nanoseconds in range.
    constexpr std::int64_t MaxMs = 9'000'000'000'000;

    error malformed(const std::string& field, const std::string& problem)
    {
        return error { error_kind::BadRequest, "crash row: " + field + ": " + problem, {} };
    }

    std::int64_t millisecondsOf(wall_time time)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }

    result<wall_time> timeField(const json& object, const char* name)
    {
        const auto found = object.find(name);
        if (found == object.end() || !found->is_number_integer() || *found < 0 || *found > MaxMs)
            return malformed(name, "milliseconds since the epoch are required");
        return wall_time(std::chrono::milliseconds(found->get<std::int64_t>()));
    }

    result<crash_mark> markFrom(const json& item)
    {
        if (!item.is_object() || item.size() != 3)
            return malformed("marks", "an object with crash, target and at_ms is required");
        const auto crash = item.find("crash");
        if (crash == item.end() || !crash->is_number_unsigned())
            return malformed("marks.crash", "an unsigned number is required");
        const auto target = item.find("target");
        const auto name = target != item.end() && target->is_string() ? target_id::parse(target->get<std::string>())
                                                                      : std::optional<target_id>();
        if (!name)
            return malformed("marks.target", "a name \"fleet/name\" is required");
        const auto at = timeField(item, "at_ms");
        if (!at)
            return at.error();
        return crash_mark { crash->get<std::uint64_t>(), *name, at.value() };
    }

} // namespace

std::string crash_row_json::encode(const crash_row& row) const
{
    auto marks = json::array();
    for (const auto& mark : row.marks) {
        marks.push_back(
            { { "crash", mark.crash }, { "target", mark.target.text() }, { "at_ms", millisecondsOf(mark.at) } });
    }
    const json object { { "marks", std::move(marks) }, { "cleared_ms", millisecondsOf(row.clearedAt) },
        { "holder", row.holder }, { "until_ms", millisecondsOf(row.heldUntil) } };
    return object.dump(-1, ' ', true, json::error_handler_t::replace);
}

result<crash_row> crash_row_json::decode(std::string_view value) const
{
    if (value.size() > MaxRowBytes)
        return malformed("value", "longer than " + std::to_string(MaxRowBytes) + " bytes");
    const auto object = json::parse(value.begin(), value.end(), nullptr, false);
    if (!object.is_object() || object.size() != 4)
        return malformed("value", "an object with marks, cleared_ms, holder and until_ms is required");
    const auto marks = object.find("marks");
    if (marks == object.end() || !marks->is_array() || marks->size() > MaxMarks)
        return malformed("marks", "an array of at most " + std::to_string(MaxMarks) + " is required");
    crash_row row;
    for (const auto& item : *marks) {
        auto mark = markFrom(item);
        if (!mark)
            return mark.error();
        row.marks.push_back(std::move(mark.value()));
    }
    const auto holder = object.find("holder");
    if (holder == object.end() || !holder->is_string())
        return malformed("holder", "a string is required");
    row.holder = holder->get<std::string>();
    const auto cleared = timeField(object, "cleared_ms");
    if (!cleared)
        return cleared.error();
    row.clearedAt = cleared.value();
    const auto until = timeField(object, "until_ms");
    if (!until)
        return until.error();
    row.heldUntil = until.value();
    return row;
}

} // namespace oriolepick
