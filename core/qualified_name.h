/// \file
/// Names qualified by their fleet. Fleets use equal names for different objects, so objects are never identified by an
/// unqualified name. The text form is "fleet/name".
#pragma once

#include "core/identifier.h"

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace oriolepick {

/// Name of a fleet, for example "atelier".
using fleet_name = identifier<struct fleet_name_tag>;

/// The name of an object of kind \p Tag in one fleet.
template <typename Tag> class qualified_name {
public:
    qualified_name() = default;
    qualified_name(fleet_name fleet, std::string name)
        : m_fleet(std::move(fleet))
        , m_name(std::move(name))
    {
    }

    /// Parses "fleet/name".
    /// \return the name, or nothing when a part is empty or the separator is missing
    static std::optional<qualified_name> parse(std::string_view text)
    {
        const auto separator = text.find('/');
        if (separator == std::string_view::npos || !separator || separator + 1 == text.size())
            return std::nullopt;
        return qualified_name(
            fleet_name(std::string(text.substr(0, separator))), std::string(text.substr(separator + 1)));
    }

    const fleet_name& fleet() const { return m_fleet; }
    const std::string& name() const { return m_name; }
    bool empty() const { return m_name.empty(); }

    /// \return the text form "fleet/name"
    std::string text() const { return m_fleet.value() + "/" + m_name; }

    friend bool operator==(const qualified_name& left, const qualified_name& right)
    {
        return left.m_fleet == right.m_fleet && left.m_name == right.m_name;
    }
    friend bool operator!=(const qualified_name& left, const qualified_name& right) { return !(left == right); }
    friend bool operator<(const qualified_name& left, const qualified_name& right)
    {
        return std::tie(left.m_fleet, left.m_name) < std::tie(right.m_fleet, right.m_name);
    }
    template <typename State> friend State AbslHashValue(State state, const qualified_name& id)
    {
        return State::combine(std::move(state), id.m_fleet, id.m_name);
    }
    friend std::ostream& operator<<(std::ostream& stream, const qualified_name& id) { return stream << id.text(); }

private:
    fleet_name m_fleet;
    std::string m_name;
};

} // namespace oriolepick
