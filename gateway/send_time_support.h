/// \file
/// Whether the system keeps the times of what was sent on connections.
#pragma once

namespace oriolepick {

struct send_state;

/// Some systems leave the times of send_state at zero. That is learned from the states of this process's connections,
/// some of which are quiet for longer than the unit of the times.
class send_time_support {
public:
    /// Learns from the state of any connection.
    void observe(const send_state& state);

    bool isKnown() const { return m_known; } ///< the times are kept
    bool isRuledOut() const { return !m_known && m_statesWithoutTimes >= MaxStatesWithoutTimes; }

private:
    /// Streams that send at the moment of an observation have times of zero, too.
    static constexpr int MaxStatesWithoutTimes = 16;

    bool m_known = false;
    int m_statesWithoutTimes = 0;
};

} // namespace oriolepick
