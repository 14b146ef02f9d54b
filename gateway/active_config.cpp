#include "gateway/active_config.h"

#include "routing/route_table.h"

namespace oriolepick {

active_config::active_config()
    : m_idleLimit(caller_limits {}.idleTimeout)
{
}

bool active_config::apply(routing_config config, instant now)
{
    if (m_table && config.version <= m_version)
        return false;
    m_version = config.version;
    m_idleLimit.apply(config.limits.idleTimeout, now);
    m_table = std::make_shared<const route_table>(std::move(config));
    m_since = now;
    return true;
}

} // namespace oriolepick
