/// \file
/// Simulated plain service in virtual time: few targets with short queues behind many nodes, and callers that return
/// after a refusal. The load pattern answered: 250 requests per second in waves of +-55% with bursts of 1.7, three
/// targets of 6 slots, one of them lost.
#pragma once

#include "routing/test/place_fleet.h"

#include <cmath>
#include <deque>
#include <iostream>

namespace oriolepick {

/// Figures of one run or of a part of it.
struct place_figures {
    std::size_t callers = 0;
    std::size_t attempts = 0; ///< of callers, at nodes
    std::size_t arrivals = 0; ///< at targets
    std::size_t rejected = 0; ///< by targets
    std::size_t refused = 0; ///< callers' attempts that got a refusal
    std::size_t refusedCallers = 0; ///< refused at least once
    std::size_t givenUp = 0; ///< callers without an answer before the deadline
    std::size_t good = 0; ///< answered within the objective
    std::size_t late = 0;
    double wastedMs = 0; ///< waits in a target's queue while another one had a free slot
    double loadRatio = 0; ///< sum of samples of greatest to mean load
    std::size_t samples = 0;

    double rejectedShare() const
    {
        return arrivals ? static_cast<double>(rejected) / static_cast<double>(arrivals) : 0;
    }
    double refusedShare() const { return attempts ? static_cast<double>(refused) / static_cast<double>(attempts) : 0; }
    double refusedCallerShare() const
    {
        return callers ? static_cast<double>(refusedCallers) / static_cast<double>(callers) : 0;
    }
    double givenUpShare() const { return callers ? static_cast<double>(givenUp) / static_cast<double>(callers) : 0; }
    double meanRatio() const { return samples ? loadRatio / static_cast<double>(samples) : 0; }
};

/// Callers, nodes and targets of a plain service.
class place_simulation : public place_fleet {
public:
    static constexpr std::size_t Targets = 3;
    static constexpr std::uint32_t Slots = 6;
    static constexpr std::size_t Queue = 24;
    static constexpr ms Deadline { 2'500 };
    static constexpr double MeanWorkMs = 30;
    static constexpr double SlowFactor = 2.5;
    static constexpr double SlowShare = 0.15;
    /// Requests per second that all targets together complete.
    static constexpr double Capacity = Targets * Slots * 1'000 / (MeanWorkMs * (1 + SlowShare * (SlowFactor - 1)));

    place_simulation(const place_fleet_settings& settings, std::uint64_t seed)
        : place_fleet(settings, seed)
        , m_targets(Targets)
    {
        place_service service { service_name("plain"), false, 0, {} };
        for (std::size_t number = 0; number < Targets; ++number)
            service.targets.push_back({ target_name("t" + std::to_string(number)),
                availability_zone(std::string(1, static_cast<char>('a' + number % Zones))), Slots, true });
        setService(std::move(service));
        sample();
    }

    /// Sends requests for \p time.
    /// \param waves with waves of +-55% in 10 s and bursts of 1.7 for 0.7 s in each 5 s
    void runLoad(ms time, double perSecond, bool waves)
    {
        m_loadFrom = m_now;
        m_perSecond = perSecond;
        m_waves = waves;
        if (!std::exchange(m_hasArrivals, true))
            scheduleArrival();
        run(time);
    }

    void loseTarget(std::size_t number)
    {
        m_targets[number].up = false;
        for (auto& queued : std::exchange(m_targets[number].queue, {}))
            queued.done(place_end::Failed, false);
        changeTarget(number, false);
    }

    void restoreTarget(std::size_t number)
    {
        m_targets[number] = {};
        changeTarget(number, true);
    }

    std::size_t inFlight() const
    {
        std::size_t sum = 0;
        for (const auto& target : m_targets)
            sum += target.running + target.queue.size();
        return sum;
    }

    place_figures figures;

private:
    using completion = std::function<void(place_end how, bool ran)>;

    struct arrival {
        completion done;
    };
    struct target {
        bool up = true;
        std::size_t running = 0;
        std::deque<arrival> queue;
    };
    struct call {
        std::size_t node = 0;
        bool isSafe = false;
        bool wasRefused = false;
        instant firstAt;
        instant attemptAt;
        std::uint32_t answered = 0; // targets that answered this attempt
        std::vector<target_name> tried {};

        ms objective() const { return isSafe ? ms(150) : ms(200); }
        std::uint32_t maxTargets() const { return isSafe ? 2 : 1; }
    };
    using call_ptr = std::shared_ptr<call>;

    void scheduleArrival()
    {
        const auto t = std::chrono::duration<double>(m_now - m_loadFrom).count();
        auto rate = m_perSecond;
        if (m_waves)
            rate *= (1 + 0.55 * std::sin(2 * 3.14159265 * t / 10)) * (std::fmod(t, 5) < 0.7 ? 1.7 : 1);
        const auto gap = std::chrono::duration<double>(-std::log(1 - m_loadRandom.unit()) / rate);
        atExactly(m_now + std::chrono::duration_cast<instant::duration>(gap), [this] {
            startCaller();
            scheduleArrival();
        });
    }

    void startCaller()
    {
        ++figures.callers;
        auto caller = std::make_shared<call>();
        caller->isSafe = m_loadRandom.below(2);
        caller->firstAt = m_now;
        attempt(caller);
    }

    void attempt(const call_ptr& caller)
    {
        do
            caller->node = m_random.below(m_nodes.size());
        while (!m_nodes[caller->node].running);
        ++figures.attempts;
        caller->attemptAt = m_now;
        caller->answered = 0;
        caller->tried.clear();
        onNode(caller->node, us(0), [this, caller] { dispatch(caller); });
    }

    void dispatch(const call_ptr& caller)
    {
        if (!m_fleet.allocates) {
            decideLocally(caller);
            return;
        }
        place_demand demand;
        demand.service = m_service.name;
        demand.objective = caller->objective();
        demand.latestStart = std::chrono::duration_cast<ms>(caller->firstAt + Deadline - ms(100) - m_now);
        demand.waited = std::chrono::duration_cast<ms>(m_now - caller->firstAt);
        if (caller->firstAt == caller->attemptAt)
            demand.waited = ms(0);
        demand.excluded = caller->tried;
        acquire(caller->node, demand, [this, caller](std::uint64_t number, const place_decided& decided) {
            if (const auto* granted = std::get_if<place_granted>(&decided.decision))
                sendTo(caller, granted->target, number);
            else if (const auto* refused = std::get_if<place_refused>(&decided.decision))
                refuse(caller, refused->retryAfter);
            else
                decideLocally(caller);
        });
    }

    void decideLocally(const call_ptr& caller)
    {
        auto& node = m_nodes[caller->node];
        const auto chosen = node.tracker->choose({ m_service.name, node.zone, caller->tried, {} }, m_now);
        if (!chosen) {
            refuse(caller, ms(1'000));
            return;
        }
        sendTo(caller, chosen->name, node.client->begin(m_service.name, chosen->name, 0, false, m_now));
    }

    void sendTo(const call_ptr& caller, const target_name& name, std::uint64_t use)
    {
        m_nodes[caller->node].tracker->attemptStarted(name, m_now);
        at(ms(1), [this, caller, name, use] {
            arrive(static_cast<std::size_t>(name.value()[1] - '0'), [this, caller, name, use](place_end how, bool ran) {
                onNode(caller->node, transit(),
                    [this, caller, name, use, how, ran] { onEnded(caller, name, use, how, ran); });
            });
        });
    }

    void onEnded(const call_ptr& caller, const target_name& name, std::uint64_t use, place_end how, bool ran)
    {
        auto& tracker = *m_nodes[caller->node].tracker;
        tracker.attemptEnded(name);
        if (how == place_end::Completed)
            tracker.recordSuccess(name);
        else
            tracker.recordFault(
                name, how == place_end::Refused ? target_fault::AtCapacity : target_fault::Unreachable, m_now);
        if (m_fleet.allocates)
            end(caller->node, use, how);
        else
            m_nodes[caller->node].client->end(use, how, m_now);
        if (how == place_end::Completed) {
            ++(m_now - caller->attemptAt <= caller->objective() ? figures.good : figures.late);
            return;
        }
        caller->tried.push_back(name);
        caller->answered += how == place_end::Refused;
        if (ran || caller->answered >= caller->maxTargets())
            refuse(caller, ms(1'000));
        else
            dispatch(caller);
    }

    void refuse(const call_ptr& caller, ms retryAfter)
    {
        ++figures.refused;
        figures.refusedCallers += !std::exchange(caller->wasRefused, true);
        if (m_now + retryAfter > caller->firstAt + Deadline) {
            ++figures.givenUp;
            return;
        }
        at(retryAfter, [this, caller] { attempt(caller); });
    }

    void arrive(std::size_t number, completion done)
    {
        auto& target = m_targets[number];
        ++figures.arrivals;
        if (!target.up) {
            --figures.arrivals;
            done(place_end::Failed, false);
        } else if (target.running + target.queue.size() >= Slots + Queue) {
            ++figures.rejected;
            done(place_end::Refused, false);
        } else {
            target.queue.push_back({ std::move(done) });
            startNext(number);
        }
    }

    void startNext(std::size_t number)
    {
        auto& target = m_targets[number];
        while (target.running < Slots && !target.queue.empty()) {
            auto next = std::move(target.queue.front());
            target.queue.pop_front();
            ++target.running;
            const auto phase = (m_now.time_since_epoch() + ms(700) * number) % ms(2'000);
            const auto work = MeanWorkMs * (0.5 + m_random.unit()) * (phase < ms(300) ? SlowFactor : 1);
            atExactly(m_now + us(static_cast<std::int64_t>(work * 1'000)), [this, number, done = next.done] {
                auto& ran = m_targets[number];
                done(ran.up ? place_end::Completed : place_end::Failed, !ran.up);
                if (!ran.up || !ran.running)
                    return;
                --ran.running;
                startNext(number);
            });
        }
    }

    void sample()
    {
        constexpr ms Period { 5 };
        std::size_t greatest = 0;
        std::size_t sum = 0;
        std::size_t queued = 0;
        std::size_t up = 0;
        bool hasFree = false;
        for (const auto& target : m_targets) {
            if (!target.up)
                continue;
            ++up;
            greatest = std::max(greatest, target.running + target.queue.size());
            sum += target.running + target.queue.size();
            queued += target.queue.size();
            hasFree |= target.running < Slots;
        }
        if (hasFree)
            figures.wastedMs += static_cast<double>(queued) * Period.count();
        // With less than a request in each slot, the ratio shows chance and no overload.
        if (sum >= up * Slots / 2) {
            figures.loadRatio += static_cast<double>(greatest * up) / static_cast<double>(sum);
            ++figures.samples;
        }
        at(Period, [this] { sample(); });
    }

    std::vector<target> m_targets;
    instant m_loadFrom;
    double m_perSecond = 0;
    bool m_waves = false;
    bool m_hasArrivals = false;
    seeded_random m_loadRandom { 42 }; // the same load in all runs
};

} // namespace oriolepick
