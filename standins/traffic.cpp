#include "standins/traffic.h"

#include "standins/program_options.h"

#include <absl/strings/numbers.h>

#include <functional>
#include <map>
#include <sstream>

namespace oriolepick {

namespace {

    using field_setters = std::map<std::string, std::function<bool(const std::string&)>>;

    std::function<bool(const std::string&)> textInto(std::string& field)
    {
        return [&field](const std::string& value) {
            field = value;
            return true;
        };
    }

    template <typename Number> std::function<bool(const std::string&)> numberInto(Number& field)
    {
        return [&field](const std::string& value) { return absl::SimpleAtoi(value, &field); };
    }

    std::function<bool(const std::string&)> rateInto(double& field)
    {
        return [&field](const std::string& value) { return absl::SimpleAtod(value, &field) && field > 0; };
    }

    bool readList(const std::string& value, std::vector<std::uint32_t>& numbers)
    {
        numbers.clear();
        std::istringstream parts(value);
        for (std::string part; std::getline(parts, part, ':');) {
            std::uint32_t number = 0;
            if (!absl::SimpleAtoi(part, &number) || !number)
                return false;
            numbers.push_back(number);
        }
        return !numbers.empty();
    }

    bool readFields(const std::string& text, const field_setters& setters)
    {
        std::istringstream parts(text);
        for (std::string part; std::getline(parts, part, ',');) {
            const auto separator = part.find('=');
            const auto setter = setters.find(part.substr(0, separator));
            if (separator == std::string::npos || setter == setters.end()
                || !setter->second(part.substr(separator + 1)))
                return false;
        }
        return true;
    }

} // namespace

std::optional<completion_traffic> parseCompletionTraffic(const std::string& text)
{
    completion_traffic traffic;
    const field_setters setters {
        { "bearer", textInto(traffic.bearer) },
        { "model", textInto(traffic.model) },
        { "ref",
            [&](const std::string& value) {
                const auto ref = parseModelRef(value);
                traffic.ref = ref.value_or(model_ref {});
                return ref.has_value();
            } },
        { "rate", rateInto(traffic.rate) },
        { "prompt", numberInto(traffic.promptBytes) },
        { "shared", numberInto(traffic.sharedBytes) },
        { "tokens", [&](const std::string& value) { return readList(value, traffic.maxTokens); } },
        { "priority",
            [&](const std::string& value) {
                traffic.sendsPriority = true;
                return absl::SimpleAtoi(value, &traffic.priority);
            } },
        { "deadline", numberInto(traffic.deadlineMs) },
        { "length", numberInto(traffic.fixedLength) },
        { "text", textInto(traffic.promptText) },
    };
    if (!readFields(text, setters) || traffic.model.empty() || traffic.ref.model.empty())
        return std::nullopt;
    return traffic;
}

std::optional<call_traffic> parseCallTraffic(const std::string& text)
{
    call_traffic traffic;
    const field_setters setters {
        { "bearer", textInto(traffic.bearer) },
        { "service", textInto(traffic.service) },
        { "path", textInto(traffic.path) },
        { "method", textInto(traffic.method) },
        { "rate", rateInto(traffic.rate) },
        { "repeatable",
            [&](const std::string& value) {
                traffic.repeatable = value == "yes";
                return value == "yes" || value == "no";
            } },
    };
    if (!readFields(text, setters) || traffic.service.empty() || traffic.path.empty() || traffic.path.front() != '/')
        return std::nullopt;
    return traffic;
}

} // namespace oriolepick
