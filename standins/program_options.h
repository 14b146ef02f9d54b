/// \file
/// Checked access to the command line of the emulators.
#pragma once

#include "core/names.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// Options of one program. A missing or malformed option ends the program with a message that names it.
class program_options {
public:
    /// \param usage docopt text
    program_options(const char* usage, int argc, char** argv);
    ~program_options();

    /// \return the value, empty when the option is absent
    std::string text(const std::string& name) const;
    std::uint64_t number(const std::string& name) const;
    double real(const std::string& name) const;
    bool flag(const std::string& name) const;
    std::vector<std::string> list(const std::string& name) const;

    /// \return what \p parse makes of \p value
    template <typename Value>
    Value checked(
        const std::string& name, const std::string& value, std::optional<Value> (*parse)(const std::string&)) const
    {
        const auto parsed = parse(value);
        if (!parsed)
            fail(name, value);
        return *parsed;
    }

private:
    struct values;

    [[noreturn]] void fail(const std::string& name, const std::string& value) const;

    std::unique_ptr<values> m_values;
};

/// \return the model in "fleet/model@version" or "fleet/model@version+adapter", or nothing
std::optional<model_ref> parseModelRef(const std::string& text);

} // namespace oriolepick
