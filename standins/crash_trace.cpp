#include "standins/crash_trace.h"

#include "core/crash_ledger.h"
#include "core/seeded_random.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::uint64_t MinSeconds = 5;
    constexpr std::uint64_t MaxSeconds = 60;
    constexpr std::uint64_t MaxSecondsToCrash = 5;

    struct attempt {
        request_fingerprint fingerprint = 0;
        std::uint64_t endsAt = 0; ///< second of the end, or of the crash
        bool poison = false;
    };

    class trace {
    public:
        trace(const crash_trace_settings& settings, std::uint64_t seed)
            : m_settings(settings)
            , m_random(seed)
            , m_ledger(crash_ledger_settings {})
            , m_running(settings.targets)
        {
            for (std::size_t index = 0; index < settings.targets; ++index)
                m_names.emplace_back(fleet_name("refill"), "engine" + std::to_string(index));
        }

        crash_trace_figures run()
        {
            const auto seconds = static_cast<std::uint64_t>(m_settings.duration.count());
            for (m_second = 0; m_second < seconds; ++m_second)
                step();
            std::size_t lost = 0;
            for (const auto& [fingerprint, count] : m_lostTo) {
                lost += count;
                m_figures.maxTargetsPerPoison = std::max(m_figures.maxTargetsPerPoison, count);
                m_figures.poisonsQuarantined
                    += m_ledger.verdict(now(), fingerprint) == crash_verdict::Quarantined ? 1 : 0;
            }
            m_figures.poisons = m_lostTo.size();
            m_figures.meanTargetsPerPoison
                = m_lostTo.empty() ? 0 : static_cast<double>(lost) / static_cast<double>(m_lostTo.size());
            m_figures.neighbours = m_neighbours.size();
            m_figures.isolatedNeighbours = m_isolated.size();
            m_figures.quarantinedNeighbours = m_quarantined.size();
            m_figures.fingerprints = m_ledger.fingerprints();
            return m_figures;
        }

    private:
        wall_time now() const { return wall_time(std::chrono::hours(1000) + std::chrono::seconds(m_second)); }

        void step()
        {
            for (std::size_t index = 0; index < m_running.size(); ++index) {
                finishAttempts(index);
                fill(index);
            }
            const double crashChance = m_settings.crashesPerTargetHour / 3600;
            for (std::size_t index = 0; index < m_running.size(); ++index) {
                const auto& running = m_running[index];
                const auto killer = std::find_if(running.begin(), running.end(),
                    [this](const attempt& each) { return each.poison && each.endsAt <= m_second; });
                if (killer != running.end())
                    ++m_lostTo[killer->fingerprint];
                if (killer != running.end() || m_random.unit() < crashChance)
                    crash(index);
            }
        }

        void finishAttempts(std::size_t index)
        {
            auto& running = m_running[index];
            for (auto each = running.begin(); each != running.end();) {
                if (each->poison || each->endsAt > m_second) {
                    ++each;
                    continue;
                }
                m_ledger.attemptEnded(each->fingerprint, m_names[index]);
                if (m_ledger.verdict(now(), each->fingerprint) == crash_verdict::Isolated)
                    m_ledger.clear(now(), each->fingerprint);
                else
                    m_ledger.recordSuccess(now(), each->fingerprint);
                each = running.erase(each);
            }
        }

        void fill(std::size_t index)
        {
            while (m_running[index].size() < m_settings.batch) {
                const bool poison = m_random.unit() < m_settings.poisonShare;
                ++m_figures.requests;
                start(index, { ++m_lastFingerprint, 0, poison });
            }
        }

        void start(std::size_t index, attempt started)
        {
            started.endsAt = m_second
                + (started.poison ? 1 + m_random.below(MaxSecondsToCrash)
                                  : MinSeconds + m_random.below(MaxSeconds - MinSeconds));
            m_ledger.attemptStarted(started.fingerprint, m_names[index]);
            m_running[index].push_back(started);
        }

        void crash(std::size_t index)
        {
            ++m_figures.crashes;
            crash_event event { m_random.next(), m_names[index], now(), {} };
            const auto lost = std::exchange(m_running[index], {});
            for (const auto& each : lost) {
                event.suspects.push_back(each.fingerprint);
                m_ledger.attemptEnded(each.fingerprint, m_names[index]);
            }
            m_ledger.recordCrash(now(), event);
            for (const auto& each : lost) {
                if (!each.poison)
                    m_neighbours.insert(each.fingerprint);
                place(each);
            }
        }

        void place(const attempt& resumed)
        {
            const auto verdict = m_ledger.verdict(now(), resumed.fingerprint);
            if (!resumed.poison && verdict >= crash_verdict::Isolated)
                m_isolated.insert(resumed.fingerprint);
            if (verdict == crash_verdict::Quarantined) {
                if (!resumed.poison)
                    m_quarantined.insert(resumed.fingerprint);
                return;
            }
            const auto avoided = m_ledger.targetsToAvoid(now(), resumed.fingerprint);
            auto free = without(without(m_names, avoided.forbidden), avoided.discouraged);
            if (free.empty())
                free = without(m_names, avoided.forbidden);
            if (free.empty()) {
                ++m_figures.unplaced;
                return;
            }
            const auto chosen = std::find(m_names.begin(), m_names.end(), free[m_random.below(free.size())]);
            start(static_cast<std::size_t>(chosen - m_names.begin()), resumed);
        }

        static std::vector<target_id> without(const std::vector<target_id>& all, const std::vector<target_id>& excluded)
        {
            std::vector<target_id> rest;
            std::copy_if(all.begin(), all.end(), std::back_inserter(rest), [&excluded](const target_id& each) {
                return !std::binary_search(excluded.begin(), excluded.end(), each);
            });
            return rest;
        }

        crash_trace_settings m_settings;
        seeded_random m_random;
        crash_ledger m_ledger;
        std::vector<target_id> m_names;
        std::vector<std::vector<attempt>> m_running; ///< by target
        std::uint64_t m_second = 0;
        request_fingerprint m_lastFingerprint = 0;
        absl::flat_hash_map<request_fingerprint, std::size_t> m_lostTo; ///< targets by crashing request
        absl::flat_hash_set<request_fingerprint> m_neighbours;
        absl::flat_hash_set<request_fingerprint> m_isolated;
        absl::flat_hash_set<request_fingerprint> m_quarantined;
        crash_trace_figures m_figures;
    };

} // namespace

crash_trace_figures runCrashTrace(const crash_trace_settings& settings, std::uint64_t seed)
{
    return trace(settings, seed).run();
}

} // namespace oriolepick
