/// \file
/// A map with copy-on-write semantics.
#pragma once

#include <memory>

namespace oriolepick {

/// Holds a \p Map that is shared between copies, so copying is cheap; edit() first detaches a shared map. Only one
/// thread may edit an object, and other threads may read its copies at the same time.
template <typename Map> class copy_on_write_map {
public:
    using map_type = Map;

    const Map& operator*() const { return *m_map; }
    const Map* operator->() const { return m_map.get(); }

    /// \return the map, detached from all copies, for modification
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
