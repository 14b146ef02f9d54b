/// \file
/// One order as one node follows it.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/seeded_random.h"
#include "routing/rollout_actions.h"
#include "routing/rollout_coordinator.h"
#include "routing/rollout_decider.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolepick {

/// Counts the responses of this node, reports them to the decider, follows the state that it announces, and requests
/// permits from it. Contains the decider, which is active at one node. See rollout_coordinator for the invariants.
class service_rollout {
public:
    /// \param nodeStart start time of this process
    service_rollout(const rollout_order& order, const node_id& self, std::uint64_t nodeStart,
        const rollout_settings& settings, seeded_random random, instant now);

    const rollout_order& order() const { return m_order; }

    void setNodes(const std::vector<node_id>& others, instant now);
    void setTargets(const std::vector<rollout_target>& targets, instant now);

    /// Ends the order, which was withdrawn.
    void withdraw(rollout_actions& out, instant now);

    void recordRequest() { ++m_requests; }
    void recordStart(const std::string& version);
    void recordAnswer(
        std::string_view route, const target_name& target, bool isNew, bool failed, std::chrono::milliseconds duration);

    /// \param number of the permit, if the decision is pending
    exposure_decision requestPermit(rollout_actions& out, std::uint64_t number, instant now);

    void receiveReport(rollout_actions& out, const node_id& from, const rollout_report& report, instant now);
    void receiveState(rollout_actions& out, const node_id& from, const rollout_state& state, instant now);
    void receiveRequest(rollout_actions& out, const node_id& from, const exposure_request& request, instant now);

    /// \return whether the answer was to a request of this object
    bool receiveAnswer(rollout_actions& out, const exposure_answer& answer, instant now);

    rollout_decider& decider() { return m_decider; }

    /// Performs all due work.
    /// \param oldInFlight attempts of this node in flight at targets of other versions
    void tick(rollout_actions& out, std::uint64_t oldInFlight, instant now);
    instant nextDue() const;

    version_choice choice(instant now) const;
    bool mayExpose(instant now) const;
    bool isCanary(const target_name& target) const { return m_canaries.count(target) > 0; }
    std::optional<rollout_phase> phase() const { return m_phase; }

private:
    struct pending_permit {
        node_id decider;
        instant askedAt;
    };
    using cell_key = std::pair<std::uint8_t, std::uint64_t>; // group of routes, target

    bool isFollowing() const { return !m_phase || !isFinal(*m_phase); }
    bool isFresh(instant now) const;
    void setPhase(rollout_actions& out, rollout_phase phase, std::string reason);
    void denyPending(rollout_actions& out);
    void sendReport(rollout_actions& out, std::uint64_t oldInFlight, instant now);
    void chooseDecider(instant now);
    rollout_report makeReport(std::uint64_t oldInFlight);
    void announce(rollout_actions& out, const rollout_state& state) const;
    void followOwnDecider(rollout_actions& out, instant now);

    rollout_order m_order;
    node_id m_self;
    std::uint64_t m_nodeStart;
    rollout_settings m_settings;
    seeded_random m_random;
    rollout_decider m_decider;
    bool m_withdrawn = false;

    std::vector<node_id> m_others;
    std::vector<node_id> m_candidates; // for the decider, the best one first
    std::size_t m_candidate = 0; // that receives the reports
    instant m_candidateAt; // when it was chosen or last announced the state

    std::map<target_name, std::uint64_t> m_canaries;
    std::size_t m_newTargets = 0;
    std::size_t m_oldTargets = 0;

    std::optional<rollout_phase> m_phase;
    std::uint64_t m_stateRevision = 0;
    std::uint64_t m_suspendedRevision = 0; // at which a decider announced a bad verdict
    double m_share = 0;
    instant m_stateAt;
    node_id m_stateFrom;
    std::optional<rollout_state> m_result; // final state, to be announced
    std::uint32_t m_announcements = 0; // left
    instant m_announceAt;

    std::uint64_t m_requests = 0;
    std::map<cell_key, response_counts> m_cells;
    std::set<cell_key> m_changed; // cells that the last reports did not contain
    cell_key m_nextCell {}; // to be repeated
    std::uint64_t m_sequence = 0;
    instant m_reportAt;
    std::map<std::uint64_t, pending_permit> m_pending;
};

} // namespace oriolepick
