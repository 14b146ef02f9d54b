/// \file
/// A map that copies share until one of them is edited.
#pragma once

#include <memory>

namespace oriolepick {

/// Holds a \p Map by pointer. Copies are cheap; edit() gives a copy of its own first. One holder is edited by one
/// thread only, and copies may be read by others meanwhile.
template <typename Map> class copy_on_write_map {
public:
    using map_type = Map;

    const Map& operator*() const { return *m_map; }
    const Map* operator->() const { return m_map.get(); }

    /// \return the map for changes that no other holder sees
    Map& edit()
    {
        if (m_map.use_count() > 1)
            m_map = std::make_shared<Map>(*m_map);
        return *m_map;
    }

private:
    std::shared_ptr<Map> m_map = std::make_shared<Map>();
};

} // namespace oriolepick
