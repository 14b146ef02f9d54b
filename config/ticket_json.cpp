#include "config/ticket_json.h"

#include "config/field_reader.h"
#include "config/field_writer.h"
#include "config/ticket_fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace oriolepick {

namespace {

    using nlohmann::json;

    constexpr int DeepestNesting = 16;
    constexpr int KindCount = static_cast<int>(object_kind::Objective) + 1;

    /// Adds an error for each name that occurs twice in one JSON object: the parser would silently keep the last.
    class repeated_name_check {
    public:
        explicit repeated_name_check(std::vector<field_error>& errors)
            : m_errors(errors)
        {
        }

        bool operator()(int depth, json::parse_event_t event, json& parsed)
        {
            if (depth > DeepestNesting) {
                if (!m_tooDeep)
                    m_errors.push_back({ "", "is nested deeper than " + std::to_string(DeepestNesting) + " levels" });
                m_tooDeep = true;
                return false;
            }
            if (event == json::parse_event_t::object_start)
                m_names.emplace_back();
            else if (event == json::parse_event_t::object_end && !m_names.empty())
                m_names.pop_back();
            else if (event == json::parse_event_t::key && !m_names.empty()
                && !m_names.back().insert(parsed.get<std::string>()).second)
                m_errors.push_back({ parsed.get<std::string>(), "occurs more than once in one object" });
            return true;
        }

    private:
        std::vector<field_error>& m_errors;
        std::vector<std::set<std::string>> m_names;
        bool m_tooDeep = false;
    };

    std::optional<object_kind> kindByWord(std::string_view word)
    {
        for (int index = 0; index < KindCount; ++index) {
            if (toString(static_cast<object_kind>(index)) == word)
                return static_cast<object_kind>(index);
        }
        return std::nullopt;
    }

    template <std::size_t Index = 0> object_state emptyState(object_kind kind)
    {
        if constexpr (Index + 1 < std::variant_size_v<object_state>) {
            if (static_cast<std::size_t>(kind) != Index)
                return emptyState<Index + 1>(kind);
        }
        return std::variant_alternative_t<Index, object_state>();
    }

    /// The fields around an object's state.
    struct object_frame {
        std::string kind;
        std::string fleet;
        std::string name;
        bool deleted = false;
    };

    template <typename Visitor> void describe(Visitor& visit, object_frame& frame)
    {
        visit("kind", frame.kind, field_rule { presence::Required });
        visit("fleet", frame.fleet, RequiredName);
        visit("name", frame.name, RequiredName);
        visit("deleted", frame.deleted, Flag);
    }

    std::optional<object_kind> readKind(
        const std::string& word, const std::string& path, std::vector<field_error>& errors)
    {
        const auto kind = kindByWord(word);
        if (kind || word.empty())
            return kind;
        std::vector<std::string> known;
        known.reserve(KindCount);
        for (int index = 0; index < KindCount; ++index)
            known.emplace_back(toString(static_cast<object_kind>(index)));
        const auto nearest = nearestName(word, known);
        errors.push_back({ path + ".kind",
            shownValue(json(word)) + " is no kind of object"
                + (nearest ? ", did you mean '" + *nearest + "'?" : std::string()) });
        return std::nullopt;
    }

} // namespace

std::optional<json> parseCheckedJson(std::string_view text, std::size_t mostBytes, std::vector<field_error>& errors)
{
    if (text.size() > mostBytes) {
        errors.push_back({ "",
            "has " + std::to_string(text.size()) + " bytes, more than the limit of " + std::to_string(mostBytes) });
        return std::nullopt;
    }
    repeated_name_check check(errors);
    auto parsed = json::parse(text.begin(), text.end(), std::ref(check), false);
    if (parsed.is_discarded() && errors.empty())
        errors.push_back({ "", "is not JSON" });
    if (!errors.empty())
        return std::nullopt;
    return parsed;
}

std::optional<ticket_object> readObject(const json& value, const std::string& path, std::vector<field_error>& errors)
{
    const auto before = errors.size();
    object_frame frame;
    const fleet_name none;
    field_reader reader(value, path, none, errors);
    describe(reader, frame);
    reader.allow("state"); // read below: its fields depend on the kind
    reader.finish();
    const auto found = value.is_object() ? value.find("state") : value.end();
    const auto state = value.is_object() && found != value.end() ? *found : json();
    const auto kind = readKind(frame.kind, path, errors);
    if (!kind)
        return std::nullopt;
    ticket_object object { { *kind, fleet_name(frame.fleet), frame.name }, std::nullopt };
    if (frame.deleted != state.is_null())
        errors.push_back({ path, "needs either a state or \"deleted\": true" });
    if (!state.is_null()) {
        object.state = emptyState(*kind);
        std::visit(
            [&](auto& settings) {
                field_reader fields(state, path + ".state", object.key.fleet, errors);
                describe(fields, settings);
                fields.finish();
            },
            *object.state);
    }
    if (errors.size() != before)
        return std::nullopt;
    return object;
}

checked_parse<ticket> parseTicket(std::string_view text)
{
    checked_parse<ticket> parse;
    const auto root = parseCheckedJson(text, MaxTicketBytes, parse.errors);
    if (!root)
        return parse;
    if (!root->is_object()) {
        parse.errors.push_back({ "", "is not an object" });
        return parse;
    }
    ticket change;
    const std::vector<std::string> known { "ticket", "operator", "note", "objects" };
    const auto number = root->find("ticket");
    if (number == root->end())
        parse.errors.push_back({ "ticket", "is missing" });
    else if (!number->is_number_unsigned() || !number->get<ticket_number>()
        || number->get<ticket_number>() > 999'999'999'999)
        parse.errors.push_back({ "ticket", shownValue(*number) + " is not a number from 1 to 999999999999" });
    else
        change.number = number->get<ticket_number>();
    const auto readText = [&](const char* name, std::string& into, bool needed) {
        const auto found = root->find(name);
        if (found == root->end()) {
            if (needed)
                parse.errors.push_back({ name, "is missing" });
        } else if (!found->is_string() || found->get_ref<const std::string&>().size() > MaxTextBytes)
            parse.errors.push_back({ name, shownValue(*found) + " is not a text of at most 2048 bytes" });
        else
            into = found->get<std::string>();
    };
    readText("operator", change.operatorName, true);
    readText("note", change.note, false);
    const auto objects = root->find("objects");
    if (objects == root->end() || !objects->is_array() || objects->empty() || objects->size() > MaxTicketObjects)
        parse.errors.push_back({ "objects", "is not a list of 1 to " + std::to_string(MaxTicketObjects) + " objects" });
    else {
        for (std::size_t index = 0; index < objects->size(); ++index) {
            if (auto object = readObject((*objects)[index], "objects[" + std::to_string(index) + "]", parse.errors))
                change.objects.push_back(std::move(*object));
        }
    }
    for (const auto& [name, value] : root->items()) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            parse.errors.push_back({ name, unknownFieldProblem(name, known) });
    }
    if (parse.errors.empty())
        parse.value = std::move(change);
    return parse;
}

json encodeObject(const ticket_object& object)
{
    json value { { "kind", std::string(toString(object.key.kind)) }, { "fleet", object.key.fleet.value() },
        { "name", object.key.name } };
    if (!object.state) {
        value["deleted"] = true;
        return value;
    }
    auto state = *object.state;
    std::visit(
        [&](auto& settings) {
            field_writer writer;
            describe(writer, settings);
            value["state"] = writer.take();
        },
        state);
    return value;
}

std::string encodeTicket(const ticket& change)
{
    json value { { "ticket", change.number }, { "operator", change.operatorName }, { "note", change.note } };
    value["objects"] = json::array();
    for (const auto& object : change.objects)
        value["objects"].push_back(encodeObject(object));
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace oriolepick
