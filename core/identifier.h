/// \file
/// Strongly typed string identifiers, so that, for example, a team name cannot be passed as a target name.
#pragma once

#include <absl/hash/hash.h>

#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace oriolepick {

/// A string identifier whose type is distinct for each \p Tag.
template <typename Tag> class identifier {
public:
    identifier() = default;
    explicit identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const identifier& left, const identifier& right) { return left.m_value == right.m_value; }
    friend bool operator!=(const identifier& left, const identifier& right) { return !(left == right); }
    friend bool operator<(const identifier& left, const identifier& right) { return left.m_value < right.m_value; }
    template <typename State> friend State AbslHashValue(State state, const identifier& id)
    {
        return State::combine(std::move(state), id.m_value);
    }
    friend std::ostream& operator<<(std::ostream& stream, const identifier& id) { return stream << id.m_value; }

private:
    std::string m_value;
};

} // namespace oriolepick
