/// \file
/// Configuration documents of a given size, as the platform's operator writes them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolepick {

/// A document of which single routes can be changed.
class config_documents {
public:
    /// \param routes number of routes; services and teams are in proportion
    explicit config_documents(std::size_t routes);

    /// Changes one route.
    /// \param position which route; the remainder by the number of routes counts
    void changeRoute(std::size_t position);

    /// \return the whole document under \p version
    std::string text(std::uint64_t version) const;

private:
    std::vector<std::string> m_routes;
    std::vector<std::uint64_t> m_timeoutsMs; // by route
    std::vector<std::string> m_services;
    std::vector<std::string> m_teams;
};

} // namespace oriolepick
