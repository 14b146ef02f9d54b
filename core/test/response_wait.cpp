// Guards against sound peers that count as unresponsive because the process that waits for them runs late, in virtual
// time: an event loop whose turns take up to 600 ms connects to a peer, sends a request and awaits the response.
#include "core/response_wait.h"
#include "core/seeded_random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Limit { 60 };
constexpr milliseconds ConnectTime { 1 };
constexpr milliseconds LongestTurn { 600 };

/// A time limit that counts from the start of the connection and looks at the clock alone.
class plain_wait {
public:
    explicit plain_wait(instant now)
        : m_due(now + Limit)
    {
    }
    void restart(instant) { }
    instant due() const { return m_due; }
    bool isUnresponsive(instant now, bool) const { return now >= m_due; }

private:
    instant m_due;
};

/// A process that does other work in each turn of its event loop, before or after it handles its connection.
template <typename Wait> class late_process {
public:
    /// \param responseTime of the peer; nothing if it never responds
    late_process(seeded_random& random, Wait wait, instant start, std::optional<milliseconds> responseTime)
        : m_random(random)
        , m_wait(std::move(wait))
        , m_now(start)
        , m_responseTime(responseTime)
        , m_input(start + ConnectTime)
    {
    }

    /// Runs turns until the response is read or the peer counts as unresponsive.
    /// \return whether the peer counts as unresponsive
    bool run()
    {
        while (!m_responded) {
            const auto polledAt = m_now;
            const bool ready = m_input && *m_input <= polledAt;
            work();
            if (ready)
                readInput();
            work();
            const bool inputPending = m_input && *m_input <= m_now;
            if (!m_responded && m_wait.due() <= polledAt && m_wait.isUnresponsive(m_now, inputPending))
                return true;
        }
        return false;
    }

    instant now() const { return m_now; }

private:
    void work() { m_now += milliseconds(1 + m_random.below(m_random.below(4) ? 10 : LongestTurn.count() / 2)); }

    void readInput()
    {
        m_input.reset();
        m_responded = m_connected;
        if (m_connected)
            return;
        m_connected = true; // the request is sent now
        m_wait.restart(m_now);
        if (m_responseTime)
            m_input = m_now + *m_responseTime;
    }

    seeded_random& m_random;
    Wait m_wait;
    instant m_now;
    std::optional<milliseconds> m_responseTime;
    std::optional<instant> m_input; // arrival of what the peer sent, until it is handled
    bool m_connected = false;
    bool m_responded = false;
};

TEST(ResponseWait, ASoundPeerIsNeverUnresponsiveForALateProcess)
{
    constexpr int Processes = 100'000;
    seeded_random random(43);
    int condemned = 0;
    int condemnedByClock = 0;
    for (int process = 0; process < Processes; ++process) {
        const instant start { std::chrono::hours(1) };
        const milliseconds responseTime(1 + random.below(Limit.count() - 1));
        condemned += late_process<response_wait>(random, { Limit, start }, start, responseTime).run();
        condemnedByClock += late_process<plain_wait>(random, plain_wait(start), start, responseTime).run();
    }
    EXPECT_EQ(condemned, 0);
    EXPECT_GT(condemnedByClock, Processes / 100) << "the simulated processes are not late";
}

TEST(ResponseWait, AnUnresponsivePeerIsFoundByALateProcess)
{
    seeded_random random(44);
    for (int process = 0; process < 10'000; ++process) {
        const instant start { std::chrono::hours(1) };
        late_process<response_wait> late(random, { Limit, start }, start, std::nullopt);
        EXPECT_TRUE(late.run());
        // The connection is noticed a turn late, and the limit and the further check may each end in a turn.
        EXPECT_LE(late.now() - start, ConnectTime + 2 * Limit + 4 * LongestTurn);
    }
}

TEST(ResponseWait, APunctualProcessFindsAnUnresponsivePeerAtTheLimit)
{
    const instant start { std::chrono::hours(1) };
    response_wait wait(Limit, start);
    EXPECT_EQ(wait.due(), start + Limit);
    EXPECT_FALSE(wait.isUnresponsive(start + Limit - milliseconds(1), false));
    EXPECT_TRUE(wait.isUnresponsive(start + Limit, false));
}

TEST(ResponseWait, InputThatIsNeverReadDoesNotPutOffTheResultForEver)
{
    const instant start { std::chrono::hours(1) };
    response_wait wait(Limit, start);
    auto now = wait.due();
    while (!wait.isUnresponsive(now, true) && now < start + std::chrono::seconds(10))
        now = wait.due();
    EXPECT_LT(now, start + std::chrono::seconds(3));
}

} // namespace
