/// \file
/// State of targets as seen by one node: registrations, attempts of this node, and recent failures.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "routing/address_claims.h"
#include "routing/registration_version.h"
#include "routing/routing_names.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolepick {

class seeded_random;
struct target_departure;

/// The registration of a target.
struct target_entry {
    target_name name;
    service_name service;
    std::string address; ///< "IP:PORT"
    availability_zone zone;
    std::uint32_t slots = 1; ///< number of concurrent requests
    bool draining = false; ///< the target accepts no new requests
    std::uint64_t startedAt = 0; ///< start of this incarnation in Unix milliseconds, 0 if not reported
    std::uint64_t renewalCount = 0; ///< increases with each renewal of the registration within one incarnation
    std::string version {}; ///< of the program that the target runs, as the target registered it

    /// \return the place of this registration among those of the target
    registration_version registrationVersion() const { return { startedAt, renewalCount }; }
};

/// Thresholds of target_tracker.
struct target_tracker_settings {
    /// Back-off after the first failure; a crashed engine is available again after about a second.
    std::chrono::milliseconds initialBackoff { 700 };
    /// Upper bound of the back-off: a target that fails repeatedly still gets a request this often.
    std::chrono::milliseconds maxBackoff { 5'000 };
    /// Grace for registrations that expired during an outage of the registry: they return within about two seconds
    /// after the registry recovers.
    std::chrono::milliseconds expiryGrace { 2'200 };
    /// How long the last renewal of a removed target is remembered.
    std::chrono::milliseconds removalRetention { 30'000 };
    /// A target whose connections break sooner after its removal has crashed.
    std::chrono::milliseconds minServiceAfterRemoval { 1'000 };
    /// Renewals that a target may have sent before its removal without their being known: a registration expires after
    /// three missed renewals. They may reach the registry after the removal.
    std::uint64_t maxUnseenRenewals = 3;
    /// How long the incarnation of a removed target is not used when it is registered again: a renewal that it wrote
    /// before its removal may reach the registry seconds later, and its registration then expires after three missed
    /// renewals. The number of renewals does not tell them apart, because only the reader of the registry knows it. The
    /// registration is kept until then, as is any registration of a target that was removed before it was known.
    std::chrono::milliseconds removalHold { 10'000 };
    /// Renewals after which a registration that appears is not the first one of its incarnation: the first ones may be
    /// late.
    std::uint64_t maxFirstRenewals = 8;
    /// Penalty for a target in another zone, as load in slots. A request to another zone costs a millisecond and
    /// charged traffic; a place in a queue costs more.
    double crossZonePenalty = 0.02;
};

/// \param contactBound time after the return of the registry from which on a removal must end the use of a target
/// \param leavingBound longest use of a target after its removal
/// \param newsBound longest time until the return of the registry is known
/// \return settings whose grace for expired registrations ends in time for a target that leaves at the contact bound
target_tracker_settings makeTargetTrackerSettings(std::chrono::milliseconds contactBound,
    std::chrono::milliseconds leavingBound, std::chrono::milliseconds newsBound);

/// Which versions of targets may be chosen.
struct version_condition {
    std::string version;
    bool isExcluded = false; ///< all versions but this one may be chosen; otherwise only this one

    /// \return whether a target of \p candidate may be chosen
    bool allows(const std::string& candidate) const { return (candidate == version) != isExcluded; }
};

/// Requirements of a new attempt.
struct target_query {
    service_name service;
    std::optional<availability_zone> zone; ///< targets of this zone are preferred
    std::vector<target_name> excluded; ///< targets that are not chosen, since they were tried before
    std::optional<availability_zone> avoidedZone; ///< targets of this zone are chosen last
    std::vector<availability_zone> lossyZones {}; ///< targets of other zones are preferred, see path_monitor
    std::optional<version_condition> version {}; ///< nothing for targets of all versions
    std::vector<target_name> only {}; ///< if not empty, no other target is chosen
};

/// When a service without an available target may accept requests again.
struct service_outlook {
    instant next; ///< the first target becomes available
    /// Time that the targets need for the callers that are refused meanwhile: their returns must be spread over it.
    std::chrono::milliseconds spread { 0 };
    bool limited = false; ///< because of a target's request limit, not of pauses alone
};

/// Reason to back off from a target.
enum class target_fault {
    Unreachable, ///< the connection failed or broke
    NoResponse, ///< no response or event in time
    InvalidResponse, ///< an invalid response, or a failure reported by the target
    AtCapacity, ///< the target refused the request because all slots are in use
    AddressReused, ///< another incarnation uses the address
};

/// Tracks targets and selects one for each attempt. Not synchronized: one instance per event loop.
class target_tracker {
public:
    /// \param random breaks ties, so that nodes with equal views distribute their requests; must outlive this object
    target_tracker(target_tracker_settings settings, seeded_random& random);

    /// \return whether \p entry says more than the last renewal, to this node or to another one. A renewal that reached
    /// the registry after the removal of its target says nothing, unless this node never knew the target.
    bool isUpdate(const target_entry& entry) const;

    /// \return whether \p entry was written before what is known of its target, and reached the registry late
    bool isOutdated(const target_entry& entry) const;

    /// Adds or renews a registration. An outdated one is ignored, and a draining target remains draining until its
    /// removal, because renewals may reach the registry late. An incarnation that was removed, other than by an outage
    /// of the registry, is used target_tracker_settings::removalHold after its removal, if it is still registered then.
    /// In that time after the first registrations were known, this also holds for a target that was not among them and
    /// is no new incarnation: it may have been removed just before.
    ///
    /// Of several targets with one address, one is used: the last one that was renewed, at first the one that started
    /// last. An entry may be another writer's, which renews nothing. So an entry that names another service than is
    /// known of its target, or of the target at its address, is used from its own next renewal on; until then a known
    /// target of this name gets no requests, and its next renewal ends that.
    void put(const target_entry& entry, instant now);

    /// Removes a registration. Within the grace after the recovery of the registry, the target is kept until the
    /// grace ends.
    /// \param last the last registration that another node knew, if any
    void remove(const target_name& target, instant now, const std::optional<target_entry>& last = {});

    /// Records that \p last is the last registration of a target that was removed at some time. Whether it may return
    /// is not known.
    void recordFormerRemoval(const target_entry& last, instant now);

    /// \return what other nodes must know about targets that leave or have left: the registry may show them a late
    /// renewal in place of a removal that they have missed
    std::vector<target_departure> departures(instant now) const;

    /// Applies the departures that another node knows. An incarnation that was removed is not used for as long as at
    /// that node, although the registry may contain it.
    void mergeDepartures(const std::vector<target_departure>& departures, instant now);

    /// Records that another writer's entry, which names no target, stands in place of the registration of \p target.
    /// The target gets no new requests until its next renewal.
    void recordOverwritten(const target_name& target);

    /// Records that the registry has recovered from an outage.
    void registryRecovered(instant now);

    /// Replaces all registrations by \p entries, as after a complete read of the registry. Within the grace after a
    /// recovery of the registry, the entry of a target that was removed before is outdated: the registry may have been
    /// restored from a copy that is older than the removal.
    /// \param overwritten targets whose registrations are overwritten, as for recordOverwritten()
    void replaceAll(
        const std::vector<target_entry>& entries, instant now, const std::vector<target_name>& overwritten = {});

    void attemptStarted(const target_name& target, instant now);
    void attemptEnded(const target_name& target);

    /// Records that a response of \p target announced its shutdown: this incarnation gets no new requests, whatever
    /// the registry contains.
    void recordShutdownNotice(const target_name& target);

    /// Records that a response of \p target asked this node to send no requests until \p until.
    void recordPause(const target_name& target, instant until);

    /// Records that the request limit of \p target is used up until \p until.
    /// \param spread time over which the returns of refused callers must be spread
    void recordLimitReached(const target_name& target, instant until, std::chrono::milliseconds spread);

    /// Backs off from \p target for a time that grows with consecutive failures.
    void recordFault(const target_name& target, target_fault fault, instant now);

    /// Records that the replacement of \p target could not be identified: the target is tried again after a
    /// back-off.
    void recordReplacementUnknown(const target_name& target, instant now);

    /// Records a valid response of \p target, which ends its back-off.
    void recordSuccess(const target_name& target);

    /// \return the target for a new attempt, or nothing if no target remains
    std::optional<target_entry> choose(const target_query& query, instant now);

    /// \return up to \p count targets for a new attempt, the best first
    std::vector<target_entry> candidates(const target_query& query, std::size_t count, instant now);

    /// \return the number of attempts of this node at \p target that started after \p since
    std::uint32_t attemptsSince(const target_name& target, instant since) const;

    /// \return whether \p target accepts new requests at \p now, regardless of a back-off
    bool takesRequests(const target_name& target, instant now) const;

    /// \return whether \p target ends as planned: it drains, has announced its shutdown, or was removed a while ago. A
    /// target that leaves without notice still serves for a while after its removal. Neither is one whose registration
    /// is overwritten taken for crashed.
    bool leavesAsPlanned(const target_name& target, instant now) const;

    /// \return whether \p target has requested a pause that covers \p now
    bool isPaused(const target_name& target, instant now) const;

    /// \param condition for the targets that count
    /// \return the outlook, if all targets in service of \p service pause or have reached their request limit
    std::optional<service_outlook> allUnavailable(
        const service_name& service, instant now, const std::optional<version_condition>& condition = {}) const;

    /// \return the targets in service of \p service that have reached their request limit
    std::vector<target_name> limitedTargets(const service_name& service, instant now) const;

    /// \return whether the incarnation of \p target is still registered, accepts requests and has no recorded fault
    bool canResumeAt(const target_entry& target, instant now) const;

    /// \return the registration of \p target, or null
    const target_entry* find(const target_name& target) const;

    /// Calls \p visitor with each registration, and whether the target is available: it accepts new requests, is not
    /// backed off from and has not reached its request limit.
    void visit(const std::function<void(const target_entry& entry, bool isAvailable)>& visitor, instant now) const;

    /// \return the number of targets of \p service that accept new requests, regardless of a back-off
    std::size_t usableTargets(const service_name& service, instant now) const;

    /// \return the services of the known targets
    std::set<service_name> services() const;

    /// \return the registered targets of \p service, with draining ones and those whose registration has expired in an
    /// outage and may return
    std::vector<target_entry> registeredTargets(const service_name& service, instant now) const;

    /// \return the number of requests of this node in flight on \p target
    std::uint32_t ownInFlight(const target_name& target) const;

    std::size_t size() const { return m_targets.size(); }

private:
    struct state {
        target_entry entry;
        std::uint32_t inFlight = 0;
        std::deque<instant> recentStarts; // start times of the last attempts, oldest first
        std::uint32_t consecutiveFaults = 0;
        instant backoffUntil;
        bool replaced = false; // another process responds at the address; not used until a new incarnation registers
        bool isDisplaced = false; // another target owns the address; not used until the next renewal
        bool hasShutdownNotice = false; // announced in a response; the registry may report the shutdown later or never
        instant pausedUntil; // requested in a response
        instant limitedUntil; // no permit is available
        std::chrono::milliseconds limitSpread { 0 };
        bool isOverwritten = false; // another writer's entry stands in place of the registration
        std::optional<instant> expiresAt; // removed from the registry but kept until this time
    };

    /// An entry that is not used yet, because it contradicts what is known.
    struct unconfirmed_entry {
        target_entry entry;
        bool isRefuted = false; // the known target was renewed since
    };

    using target_map = std::map<target_name, state>; // ordered, so that decisions do not depend on the hash order

    target_map::iterator erase(target_map::iterator target);
    std::optional<double> scoreOf(const target_query& query, const target_name& name, const state& target, instant now);
    void removeExpired(instant now);
    static bool isInService(const state& target, instant now);
    static bool isUsable(const state& target, instant now);
    static bool isExcluded(const target_query& query, const target_name& name, const target_entry& entry);

    target_tracker_settings m_settings;
    seeded_random& m_random;
    /// Last known state of a removed target.
    struct removal_record {
        std::optional<registration_version> last; // the last one known, unless the target was not known
        instant at;
        bool mayReturn; // the registration may have expired in an outage of the registry
        std::optional<target_entry> held; // registered again, used after removalHold
        bool isReported = false; // by the registry; otherwise the target was only missing in a table that was read
    };

    bool holdBack(const target_entry& entry, instant now);
    removal_record* removalBefore(const target_entry& entry, instant now);
    bool isRegistered(const target_name& target) const;
    bool contradicts(const target_entry& entry) const;
    void mergeRemoval(const target_departure& departure, instant at);
    removal_record& recordRemoval(const target_name& target, instant now, const std::optional<target_entry>& last);
    void admit(const target_entry& entry);
    bool holdUnconfirmed(const target_entry& entry);
    void dropUnconfirmed(const target_name& target);
    void refuteOthers(const target_entry& renewed);
    bool ownsAddress(const target_name& target) const;
    void settleOwner(const target_name& target, bool isRenewal);
    void passOnAddress(const target_entry& former);
    void withdrawClaim(const std::string& address, const target_name& target);
    void settleOthers(const std::string& address);
    bool isInGrace(instant now) const;
    bool wasRemovedForGood(const target_name& target) const;
    void recordForgottenRemovals(const std::vector<target_entry>& entries);
    void admitHeld(instant now);

    std::map<target_name, removal_record> m_removals;
    target_map m_targets;
    std::map<target_name, unconfirmed_entry> m_unconfirmed;
    address_claims m_claims;
    std::optional<instant> m_registryRecoveredAt;
    std::optional<instant> m_loadedAt; // when the registrations were first known
};

} // namespace oriolepick
