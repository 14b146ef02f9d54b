#include "gateway/send_time_support.h"

#include "gateway/send_state.h"

namespace oriolepick {

void send_time_support::observe(const send_state& state)
{
    if (state.sinceAcknowledgement.count() > 0 || state.sinceData.count() > 0)
        m_known = true;
    else if (!m_known)
        ++m_statesWithoutTimes;
}

} // namespace oriolepick
