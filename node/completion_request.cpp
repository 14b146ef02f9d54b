#include "node/completion_request.h"

#include "config/nearest_name.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>

namespace oriolepick {

namespace {

    using json = nlohmann::json;

    constexpr std::int64_t LongestDeadlineMs = 86'400'000;

    /// Collects the problems of all fields, so that a caller sees them at once.
    class problem_list {
    public:
        void add(std::string_view field, const std::string& problem)
        {
            m_text += (m_text.empty() ? "" : "; ") + std::string(field) + ": " + problem;
        }
        bool empty() const { return m_text.empty(); }
        const std::string& text() const { return m_text; }

    private:
        std::string m_text;
    };

    using field_reader = void (*)(const json&, completion_request&, problem_list&);

    struct field_row {
        std::string_view name;
        field_reader read;
    };

    bool readInteger(const json& value, std::string_view name, std::int64_t minimum, std::int64_t maximum,
        problem_list& problems, std::int64_t& number)
    {
        if (!value.is_number_integer() || (value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX)) {
            problems.add(name, "must be an integer");
            return false;
        }
        number = value.get<std::int64_t>();
        if (number >= minimum && number <= maximum)
            return true;
        problems.add(
            name, std::to_string(number) + " is outside " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return false;
    }

    void readModel(const json& value, completion_request& request, problem_list& problems)
    {
        if (!value.is_string() || value.get_ref<const std::string&>().empty()
            || value.get_ref<const std::string&>().size() > 256)
            return problems.add("model", "must be a string of 1 to 256 bytes");
        request.model = value.get<std::string>();
    }

    void readPrompt(const json& value, completion_request& request, problem_list& problems)
    {
        if (!value.is_string() || value.get_ref<const std::string&>().empty())
            return problems.add("prompt", "must be a non-empty string");
        request.prompt = value.get<std::string>();
    }

    void readMaximumTokens(const json& value, completion_request& request, problem_list& problems)
    {
        std::int64_t number = 0;
        if (readInteger(value, "max_tokens", 1, MaximumCompletionTokens, problems, number))
            request.maximumTokens = static_cast<std::uint32_t>(number);
    }

    void readSeed(const json& value, completion_request& request, problem_list& problems)
    {
        std::int64_t number = 0;
        if (readInteger(value, "seed", 0, INT64_MAX, problems, number))
            request.seed = static_cast<std::uint64_t>(number);
    }

    void readStream(const json& value, completion_request& request, problem_list& problems)
    {
        if (!value.is_boolean())
            return problems.add("stream", "must be true or false");
        request.stream = value.get<bool>();
    }

    void readPriority(const json& value, completion_request& request, problem_list& problems)
    {
        std::int64_t number = 0;
        if (readInteger(value, "priority", 0, 9, problems, number))
            request.priority = static_cast<int>(number);
    }

    void readDeadline(const json& value, completion_request& request, problem_list& problems)
    {
        std::int64_t number = 0;
        if (readInteger(value, "deadline_ms", 1, LongestDeadlineMs, problems, number))
            request.deadline = std::chrono::milliseconds(number);
    }

    void readExtension(const json& value, completion_request& request, problem_list& problems)
    {
        if (!value.is_object())
            return problems.add("oriolepick", "must be an object");
        for (const auto& [name, field] : value.items()) {
            if (name != "received_token_ids") {
                problems.add("oriolepick." + name, unknownFieldProblem(name, { "received_token_ids" }));
                continue;
            }
            if (!field.is_array() || field.size() > MaximumCompletionTokens
                || !std::all_of(field.begin(), field.end(),
                    [](const json& id) { return id.is_number_unsigned() && id.get<std::uint64_t>() <= UINT32_MAX; })) {
                problems.add("oriolepick.received_token_ids", "must be an array of at most 65536 token numbers");
                continue;
            }
            request.receivedTokens = field.get<token_list>();
        }
    }

    constexpr std::array<field_row, 8> Fields { {
        { "model", readModel },
        { "prompt", readPrompt },
        { "max_tokens", readMaximumTokens },
        { "seed", readSeed },
        { "stream", readStream },
        { "priority", readPriority },
        { "deadline_ms", readDeadline },
        { "oriolepick", readExtension },
    } };

} // namespace

result<completion_request> parseCompletionRequest(std::string_view body)
{
    const auto document = json::parse(body, nullptr, false);
    if (document.is_discarded() || !document.is_object())
        return error { error_kind::BadRequest, "body: not a JSON object", {} };
    completion_request request;
    problem_list problems;
    std::vector<std::string> known;
    for (const auto& field : Fields)
        known.emplace_back(field.name);
    for (const auto& [name, value] : document.items()) {
        const auto field = std::find_if(
            Fields.begin(), Fields.end(), [&, &key = name](const field_row& row) { return row.name == key; });
        if (field != Fields.end()) {
            field->read(value, request, problems);
            continue;
        }
        problems.add(name.substr(0, 64), unknownFieldProblem(name, known));
    }
    for (const auto* required : { "model", "prompt" }) {
        if (!document.contains(required))
            problems.add(required, "is required");
    }
    if (!problems.empty())
        return error { error_kind::BadRequest, problems.text(), {} };
    return request;
}

} // namespace oriolepick
