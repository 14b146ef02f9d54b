/// \file
/// Moves services to new versions of their targets, and back if a version is bad.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/seeded_random.h"
#include "routing/rollout_actions.h"
#include "routing/rollout_ledger.h"
#include "routing/rollout_messages.h"
#include "routing/rollout_order.h"
#include "routing/rollout_settings.h"
#include "routing/rollout_target.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

class service_rollout;

/// Whether a request may be sent to a canary of the new version.
enum class exposure_decision {
    Granted, ///< the request must be sent now; a permit is valid for one attempt of one request
    Denied,
    Pending, ///< exposure_decided follows within the answer timeout
};

/// Result of rollout_coordinator::requestPermit().
struct exposure_result {
    exposure_decision decision = exposure_decision::Denied;
    std::uint64_t number = 0; ///< of a pending decision
    std::vector<rollout_action> actions;
};

/// Which targets a request may be sent to.
struct version_choice {
    enum class kind {
        Any,
        OldOnly, ///< all targets but those of the version
        NewOnly, ///< only targets of the version
    };
    kind which = kind::Any;
    std::string version;
};

/// Decides and follows the rollouts of all services at one node. For each service one node is the decider: nodes report
/// to the first one by rendezvous hashing of the service over the nodes believed alive, or to the next one while it
/// does not answer, and a node decides while half of the nodes report to it. Its authority comes from the ledger, see
/// rollout_ledger.
///
/// Invariants:
/// - While observing, a request is sent to the new version only with a permit. Each permit is counted in a ledger that
///   the store has confirmed, by the one decider that reserved it, and used at most once. The ledger reserves at most
///   exposureMargin * (exposureShare * reported requests + exposureSlack), however many deciders there are: a decider
///   that did not write the last ledger treats all that is reserved there as spent.
/// - A decider grants and announces only under a ledger that it wrote itself, with the store's confirmation not older
///   than about 1.5 s, and only as long as it holds no bad verdict. A permit that arrives later than the answer timeout
///   is not used.
/// - A node sends requests to the new version only while a state of the last 2 s says so, or after Done. The state
///   of a higher ledger revision wins; final phases never change within one order.
/// - Without a decider, the store or any peer, the old version serves.
/// - Services without an order cause no messages, store calls or timers; neither does an order that is decided, except
///   for answers to nodes that do not know it.
///
/// While shifting, exposure is not limited: a version that turns bad then is rolled back, but may have exceeded it.
///
/// All times are passed in, random choices come from the generator passed, and the same events give the same actions.
/// Not synchronized: one instance per event loop.
class rollout_coordinator {
public:
    using actions = std::vector<rollout_action>;

    /// \param nodeStart start time of this process, greater than that of the last one of the same node
    rollout_coordinator(
        const node_id& self, std::uint64_t nodeStart, const rollout_settings& settings, seeded_random random);
    ~rollout_coordinator();

    /// Sets the nodes that are believed alive, without this node.
    actions setNodes(std::vector<node_id> others, instant now);

    /// Sets the registered targets of a service. Call orderSeen() first for orders that are known at the start.
    actions setTargets(const service_name& service, const std::vector<rollout_target>& targets, instant now);

    /// Records the order of a service, new or unchanged. A revision other than the last one is a new order.
    actions orderSeen(const rollout_order& order, instant now);

    /// Records that a service has no order any more. An undecided rollout ends as rolled back at this node.
    actions orderRemoved(const service_name& service, instant now);

    /// Records that a request reached a service; once per request, before its target is chosen.
    void recordRequest(const service_name& service, instant now);

    /// Records a response, not a broken connection.
    /// \param route name of the route that the request came by
    /// \param isNew whether the target has the version of the order
    /// \param duration to the response, or to the first event of a stream
    void recordAnswer(const service_name& service, std::string_view route, const target_name& target, bool isNew,
        bool failed, std::chrono::milliseconds duration);

    /// Records the start or end of an attempt at a target. Call for every attempt of every service while the feature is
    /// on: an order must know of the attempts that began before it.
    /// \param version of the target, as at the start
    void recordStart(const service_name& service, const std::string& version);
    void recordEnd(const service_name& service, const std::string& version);

    /// Asks whether a new request may be sent to a canary. Call if choiceFor() returned OldOnly and mayExpose().
    exposure_result requestPermit(const service_name& service, instant now);

    actions receive(const node_id& from, const rollout_message& message, instant now);

    /// \param revision of the row, 0 if it does not exist
    /// \param storeNow clock of the store
    actions ledgerRead(const service_name& service, std::uint64_t revision, const std::optional<rollout_ledger>& ledger,
        std::chrono::milliseconds storeNow, instant now);

    /// Records that the ledger could not be read.
    actions ledgerUnreadable(const service_name& service, instant now);

    /// \param revision of the written row if \p outcome is Committed
    /// \param storeNow clock of the store if \p outcome is Committed
    actions ledgerCommitted(const service_name& service, commit_outcome outcome, std::uint64_t revision,
        std::chrono::milliseconds storeNow, instant now);

    /// Performs all due work. Call at nextDue() or later.
    actions tick(instant now);

    /// \return the time of the next due work of tick(), instant::max() without any
    instant nextDue() const;

    /// \return the targets that a request may be sent to now without a permit
    version_choice choiceFor(const service_name& service, instant now) const;

    /// \return whether requestPermit() may grant
    bool mayExpose(const service_name& service, instant now) const;

    /// \return whether requests with permits may be sent to \p target
    bool isCanary(const service_name& service, const target_name& target) const;

    /// \return the phase of the last order of a service, if known
    std::optional<rollout_phase> phaseOf(const service_name& service) const;

private:
    struct version_use {
        std::string version;
        std::uint64_t inFlight;
    };
    struct service_targets {
        std::vector<rollout_target> targets; // for an order that follows
        std::set<std::string> versions; // of the targets
        std::map<std::string, instant> heldBack; // versions that an order in transit may name, until when
        std::set<std::string> rejected; // versions of orders that ended otherwise than as done
    };

    service_rollout* find(const service_name& service) const;
    std::uint64_t oldInFlight(const service_name& service, const std::string& version) const;

    node_id m_self;
    std::uint64_t m_nodeStart;
    rollout_settings m_settings;
    seeded_random m_random;
    std::vector<node_id> m_others;
    std::uint64_t m_lastNumber = 0; // of permits
    std::map<service_name, std::unique_ptr<service_rollout>> m_rollouts; // of services with an order
    absl::flat_hash_map<service_name, service_targets> m_targets;
    absl::flat_hash_map<service_name, std::vector<version_use>> m_inFlight;
};

} // namespace oriolepick
