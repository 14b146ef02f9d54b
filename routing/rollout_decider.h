/// \file
/// The part of a rollout that decides for all nodes, on behalf of the node that is its decider.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "routing/rollout_actions.h"
#include "routing/rollout_order.h"
#include "routing/rollout_settings.h"
#include "routing/version_comparison.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolepick {

/// Decides one order: reserves exposure in the ledger, grants permits, judges the new version and writes the phases. A
/// node decides while at least half of the nodes report to it, so at most one in a connected fleet; the ledger fences
/// any other. See rollout_coordinator for the invariants. Not synchronized.
class rollout_decider {
public:
    /// \param writer random number of this decider
    /// \param seenAt when this node learned of the order
    rollout_decider(const rollout_order& order, const rollout_settings& settings, std::uint64_t writer, instant seenAt);

    /// Sets all nodes that are believed alive, including this one.
    void setNodes(std::vector<node_id> nodes);

    /// Sets the numbers of registered targets of the order's version and of all others.
    void setTargets(std::size_t newTargets, std::size_t oldTargets, instant now);

    /// Merges the report of a node, which may be this one.
    void receive(const node_id& from, const rollout_report& report, instant now);

    /// Grants one permit, if the ledger has one left.
    bool grant(instant now);

    /// Ends the rollout as rolled back, because the order was withdrawn.
    void withdraw(instant now);

    void ledgerRead(std::uint64_t revision, const std::optional<rollout_ledger>& ledger,
        std::chrono::milliseconds storeNow, instant now);
    void ledgerUnreadable(instant now);
    void ledgerCommitted(commit_outcome outcome, std::uint64_t revision, instant now);

    /// Performs all due work.
    void tick(rollout_actions& out, instant now);

    /// \return the time of the next due work of tick(), instant::max() without any
    instant nextDue() const { return m_due; }

    /// \return the state to announce, if this node has authority or knows the result
    std::optional<rollout_state> state(instant now) const;

    /// \return why this node decided against the version; empty if it did not
    const std::string& reason() const { return m_reason; }

    /// \return whether the bad verdict has to be announced without delay
    bool takeUrgent() { return std::exchange(m_urgent, false); }

private:
    enum class store_call { None, Read, Commit };
    struct node_status {
        std::uint64_t start = 0;
        std::uint64_t sequence = 0;
        instant at;
        std::uint64_t oldInFlight = 0;
        bool shifting = false;
    };

    bool isActive(instant now) const;
    bool hasAuthority(instant now) const;
    bool isBad() const { return !m_reason.empty(); }
    std::chrono::milliseconds elapsed(instant now) const;
    std::chrono::milliseconds part(double share) const;
    bool isIdle(instant now) const;
    double budget() const;
    double plannedExposure(std::chrono::milliseconds when) const;
    void updateShare(instant now);
    void judge(instant now);
    void condemn(std::string reason);
    std::optional<rollout_phase> nextPhase(instant now);
    std::optional<rollout_phase> phaseAfterObserving(instant now);
    bool mustReserve(instant now) const;
    void reserve(rollout_ledger& ledger) const;
    void read(rollout_actions& out, instant now);
    void commit(rollout_actions& out, rollout_ledger ledger, instant now);
    void callStore(rollout_actions& out, instant now);
    void loseOwnership(instant now);

    rollout_order m_order;
    rollout_settings m_settings;
    std::uint64_t m_writer;
    instant m_startedAt; // of the rollout, on the local clock
    std::vector<node_id> m_nodes;
    std::size_t m_newTargets = 0;
    std::size_t m_oldTargets = 0;
    instant m_onlyNewSince = instant::max();

    // what the nodes reported
    version_comparison m_comparison;
    std::map<node_id, node_status> m_status;
    std::deque<std::pair<instant, std::uint64_t>> m_requestSamples; // of the last second
    double m_rate = 0; // requests per second

    // the ledger, as last confirmed by the store
    std::optional<rollout_ledger> m_ledger;
    std::uint64_t m_revision = 0;
    bool m_current = false; // no write with an unknown result since
    bool m_owned = false; // written by this decider
    instant m_confirmedAt; // start of the last store call that confirmed it
    std::uint64_t m_spent = 0; // of the reserved permits

    store_call m_call = store_call::None;
    instant m_calledAt;
    rollout_ledger m_proposed; // by the commit that was called
    instant m_callAt; // no store call before
    instant m_reserveAt; // no reservation before
    instant m_takeoverAt; // no takeover of the ledger of another decider before
    std::chrono::milliseconds m_takeoverDelay { 0 };

    double m_share = 0;
    instant m_judgeAt;
    instant m_shiftedAt;
    std::string m_reason; // of a bad verdict
    bool m_urgent = false;
    instant m_due;
};

} // namespace oriolepick
