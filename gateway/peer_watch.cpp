#include "gateway/peer_watch.h"

#include "gateway/send_state.h"

namespace oriolepick {

bool peer_watch::isGone(const send_state& state, instant now)
{
    const bool acknowledged = m_silentSince && now - *m_silentSince > state.sinceAcknowledgement;
    if (!state.awaitsAcknowledgement || acknowledged)
        m_silentSince.reset();
    if (!state.awaitsAcknowledgement)
        return false;
    if (!m_silentSince)
        m_silentSince = now;
    return now - *m_silentSince >= m_patience;
}

} // namespace oriolepick
