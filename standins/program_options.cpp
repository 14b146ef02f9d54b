#include "standins/program_options.h"

#include <absl/strings/numbers.h>
#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <map>

namespace oriolepick {

struct program_options::values {
    std::map<std::string, docopt::value> byName;
};

program_options::program_options(const char* usage, int argc, char** argv)
    : m_values(std::make_unique<values>())
{
    m_values->byName = docopt::docopt(usage, { argv + 1, argv + argc }, true);
}

program_options::~program_options() = default;

std::string program_options::text(const std::string& name) const
{
    const auto& value = m_values->byName.at(name);
    return value.isString() ? value.asString() : std::string();
}

std::uint64_t program_options::number(const std::string& name) const
{
    const std::string value = text(name);
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(value, &number))
        fail(name, value);
    return number;
}

double program_options::real(const std::string& name) const
{
    const std::string value = text(name);
    double number = 0;
    if (!absl::SimpleAtod(value, &number) || number < 0)
        fail(name, value);
    return number;
}

bool program_options::flag(const std::string& name) const
{
    const auto& value = m_values->byName.at(name);
    return value.isBool() && value.asBool();
}

std::vector<std::string> program_options::list(const std::string& name) const
{
    const auto& value = m_values->byName.at(name);
    return value.isStringList() ? value.asStringList() : std::vector<std::string> {};
}

void program_options::fail(const std::string& name, const std::string& value) const
{
    std::cerr << "option " << name << ": value \"" << value << "\" is malformed\n";
    std::exit(2);
}

std::optional<model_ref> parseModelRef(const std::string& text)
{
    const auto at = text.find('@');
    if (at == std::string::npos)
        return std::nullopt;
    const auto model = model_id::parse(text.substr(0, at));
    const auto plus = text.find('+', at);
    const std::string version = text.substr(at + 1, plus == std::string::npos ? plus : plus - at - 1);
    if (!model || version.empty())
        return std::nullopt;
    const std::string adapter = plus == std::string::npos ? std::string() : text.substr(plus + 1);
    return model_ref { *model, model_version(version), adapter_name(adapter) };
}

} // namespace oriolepick
