/// \file
/// What one node believes about targets: their registrations, its own work on them, and which of them failed lately.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "routing/routing_names.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class seeded_random;

/// A target as it registered itself.
struct target_entry {
    target_name name;
    service_name service;
    std::string address; ///< "IP:PORT"
    availability_zone zone;
    std::uint32_t slots = 1; ///< requests that it runs at once
    bool draining = false; ///< takes no new requests
    std::uint64_t startedAt = 0; ///< Unix milliseconds of this incarnation, 0 when not given
    std::uint64_t renewalCount = 0; ///< grows with each renewal of one incarnation
};

/// Thresholds of target_tracker.
struct target_tracker_settings {
    /// First time that a target which failed gets no requests; a crashed engine is back after about a second.
    std::chrono::milliseconds initialBackoff { 700 };
    /// Longest such time: a target that fails again and again still gets a request this often.
    std::chrono::milliseconds maxBackoff { 5'000 };
    /// Registrations that lapsed while the registry was away return within about two seconds of its own return.
    std::chrono::milliseconds expiryGrace { 2'200 };
    /// How long the last renewal of a target that is gone is remembered.
    std::chrono::milliseconds removalRetention { 30'000 };
    /// How long a target that was gone before it was known is not taken back: late renewals come within seconds, and
    /// hardly any target starts again under its name.
    std::chrono::milliseconds unknownRemovalHold { 10'000 };
    /// Load in slots that a target of another zone must be below a local one to be chosen. Crossing a zone costs a
    /// millisecond and priced bytes, a queue place costs more.
    double crossZonePenalty = 0.02;
};

/// What a new attempt asks for.
struct target_query {
    service_name service;
    std::optional<availability_zone> zone; ///< whose targets win ties
    std::vector<target_name> excluded; ///< tried before
    std::optional<availability_zone> avoidedZone; ///< targets of other zones go first
};

/// Why a target is avoided.
enum class target_fault {
    Unreachable, ///< no connection, or it broke
    NoResponse, ///< nothing was heard when something was due
    InvalidResponse, ///< bytes that are no answer, or a failure of the target itself
    AtCapacity, ///< it refused for lack of places
    AddressReused, ///< another incarnation has its address
};

/// Not synchronized: one per event loop.
class target_tracker {
public:
    /// \param random breaks ties, so that nodes with equal views spread their requests; outlives this object
    target_tracker(target_tracker_settings settings, seeded_random& random);

    /// \return whether \p entry says anything that is not known, beside that the target still lives. A renewal that
    /// reached the registry after its target was gone says nothing.
    bool isUpdate(const target_entry& entry, instant now) const;

    /// Adds or renews a registration. One that is older than what is known of the same incarnation changes nothing, and
    /// a target that drains does so until it is gone: renewals may reach the registry late.
    void put(const target_entry& entry, instant now);

    /// A registration is gone. Within the grace after the registry's return the target is kept until the grace ends.
    void remove(const target_name& target, instant now);

    /// The registry answers again after an outage.
    void registryRecovered(instant now);

    /// Replaces all registrations by \p entries, as after a whole reading of the registry.
    void replaceAll(const std::vector<target_entry>& entries, instant now);

    void attemptStarted(const target_name& target, instant now);
    void attemptEnded(const target_name& target);

    /// \p target has said in an answer that it leaves: this incarnation gets nothing new any more, whatever the
    /// registry says of it.
    void recordShutdownNotice(const target_name& target);

    /// \p target has asked in an answer for no request of this node until \p until.
    void recordPause(const target_name& target, instant until);

    /// Avoids \p target for a time that grows with failures in a row.
    void recordFault(const target_name& target, target_fault fault, instant now);

    /// Who replaced \p target could not be found out: it is asked again after a while.
    void recordReplacementUnknown(const target_name& target, instant now);

    /// \p target answered properly.
    void recordSuccess(const target_name& target);

    /// \return the target for a new attempt, or nothing when none is left
    std::optional<target_entry> choose(const target_query& query, instant now);

    /// \return up to \p count targets for a new attempt, the best first
    std::vector<target_entry> candidates(const target_query& query, std::size_t count, instant now);

    /// \return attempts of this node at \p target that began after \p since and still run
    std::uint32_t attemptsSince(const target_name& target, instant since) const;

    /// \return whether \p target takes new requests now, whether avoided or not
    bool takesRequests(const target_name& target, instant now) const;

    /// \return whether \p target has asked for no request of any kind at \p now
    bool isPaused(const target_name& target, instant now) const;

    /// \return when the first pause ends, if all targets of \p service that would take requests have asked for one
    std::optional<instant> allPausedUntil(const service_name& service, instant now) const;

    /// \return whether the incarnation of \p target is still registered, takes requests, and nothing speaks against it
    bool canResumeAt(const target_entry& target, instant now) const;

    /// \return the registration of \p target, or null
    const target_entry* find(const target_name& target) const;

    /// \return targets of \p service that take new requests, whether avoided or not
    std::size_t usableTargets(const service_name& service, instant now) const;

    /// \return requests of this node that run on \p target
    std::uint32_t ownInFlight(const target_name& target) const;

    std::size_t size() const { return m_targets.size(); }

private:
    struct state {
        target_entry entry;
        std::uint32_t inFlight = 0;
        std::deque<instant> recentStarts; // of the last attempts, the oldest first
        std::uint32_t consecutiveFaults = 0;
        instant backoffUntil;
        bool replaced = false; // another target has the address: no use until it registers anew
        bool hasShutdownNotice = false; // in an answer; the registry may not say so yet, or never
        instant pausedUntil; // asked for in an answer
        std::optional<instant> expiresAt; // removed from the registry, kept until then
    };

    using target_map = std::map<target_name, state>; // ordered, so that decisions do not depend on hash order

    target_map::iterator erase(target_map::iterator target);
    std::optional<double> scoreOf(const target_query& query, const target_name& name, const state& target, instant now);
    void removeExpired(instant now);
    static bool isInService(const state& target, instant now);
    static bool isUsable(const state& target, instant now);
    static bool isExcluded(const target_query& query, const target_name& name);

    target_tracker_settings m_settings;
    seeded_random& m_random;
    /// What was last known of a target that is gone.
    struct removal_record {
        std::uint64_t startedAt;
        std::uint64_t renewalCount;
        instant at;
        bool wasKnown; // otherwise the two above are not
    };

    bool isOutdated(const target_entry& entry, instant now) const;

    std::map<target_name, removal_record> m_removals;
    target_map m_targets;
    absl::flat_hash_map<std::string, target_name> m_newestByAddress; // by address
    std::optional<instant> m_registryRecoveredAt;
};

} // namespace oriolepick
