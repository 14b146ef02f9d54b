#include "config/field_reader.h"

#include <algorithm>
#include <limits>

namespace oriolepick {

std::string shownValue(const nlohmann::json& value)
{
    constexpr std::size_t LongestShown = 60;
    if (value.is_structured())
        return value.is_array() ? "a list" : "an object";
    // Replaces invalid UTF-8 instead of throwing: the value comes from outside.
    auto text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > LongestShown)
        text = text.substr(0, LongestShown) + "...";
    return text;
}

field_reader::field_reader(
    const nlohmann::json& object, std::string path, const fleet_name& fleet, std::vector<field_error>& errors)
    : m_object(object)
    , m_path(std::move(path))
    , m_fleet(fleet)
    , m_errors(errors)
{
    if (!m_object.is_object())
        failValue(m_path, m_object, "is not an object");
}

void field_reader::finish()
{
    if (!m_object.is_object())
        return;
    for (const auto& [name, value] : m_object.items()) {
        if (std::find(m_known.begin(), m_known.end(), name) == m_known.end())
            fail(joined(name.c_str()), unknownFieldProblem(name, m_known));
    }
}

void field_reader::fail(const std::string& path, std::string problem)
{
    m_errors.push_back({ path, std::move(problem) });
}

void field_reader::failValue(const std::string& path, const nlohmann::json& value, std::string_view problem)
{
    fail(path, shownValue(value) + " " + std::string(problem));
}

bool field_reader::inRange(const nlohmann::json& value, const std::string& path, const field_rule& rule)
{
    const double number = value.get<double>();
    if (std::isfinite(number) && number >= rule.least && number <= rule.most)
        return true;
    failValue(
        path, value, "is outside " + nlohmann::json(rule.least).dump() + " to " + nlohmann::json(rule.most).dump());
    return false;
}

std::optional<std::int64_t> field_reader::wholeNumber(
    const nlohmann::json& value, const std::string& path, const field_rule& rule)
{
    const bool mayHaveFraction = rule.fractions != fraction_rule::Refused;
    if (!value.is_number() || (!mayHaveFraction && std::floor(value.get<double>()) != value.get<double>())) {
        failValue(path, value, mayHaveFraction ? "is not a number" : "is not a whole number");
        return std::nullopt;
    }
    if (!inRange(value, path, rule))
        return std::nullopt;
    const auto number = value.get<double>();
    return static_cast<std::int64_t>(
        rule.fractions == fraction_rule::RoundedUp ? std::ceil(number) : std::floor(number));
}

std::optional<std::pair<fleet_name, std::string>> field_reader::reference(
    const nlohmann::json& value, const std::string& path)
{
    if (!value.is_string()) {
        failValue(path, value, "is not a text");
        return std::nullopt;
    }
    const auto& text = value.get_ref<const std::string&>();
    const auto separator = text.find('/');
    const bool qualified = separator != std::string::npos;
    auto fleet = qualified ? text.substr(0, separator) : m_fleet.value();
    auto name = qualified ? text.substr(separator + 1) : text;
    if (!isName(fleet) || !isName(name)) {
        failValue(path, value, "is not a reference of the form name or fleet/name");
        return std::nullopt;
    }
    return std::pair(fleet_name(std::move(fleet)), std::move(name));
}

void field_reader::read(const nlohmann::json& value, const std::string& path, std::string& text, const field_rule& rule)
{
    if (!value.is_string())
        return failValue(path, value, "is not a text");
    text = value.get<std::string>();
    if (const auto problem = problemOfText(rule.form, text); !problem.empty())
        failValue(path, value, problem);
}

void field_reader::read(const nlohmann::json& value, const std::string& path, bool& flag, const field_rule&)
{
    if (!value.is_boolean())
        return failValue(path, value, "is neither true nor false");
    flag = value.get<bool>();
}

void field_reader::read(const nlohmann::json& value, const std::string& path, int& number, const field_rule& rule)
{
    if (const auto whole = wholeNumber(value, path, rule))
        number = static_cast<int>(*whole);
}

void field_reader::read(const nlohmann::json& value, const std::string& path, double& number, const field_rule& rule)
{
    if (!value.is_number())
        return failValue(path, value, "is not a number");
    if (inRange(value, path, rule))
        number = value.get<double>();
}

void field_reader::read(
    const nlohmann::json& value, const std::string& path, std::chrono::milliseconds& time, const field_rule& rule)
{
    if (const auto whole = wholeNumber(value, path, rule))
        time = std::chrono::milliseconds(*whole);
}

} // namespace oriolepick
