/// \file
/// Requests places at targets for the requests of one node, and reports their use to the allocators.
#pragma once

#include "core/instant.h"
#include "core/response_wait.h"
#include "core/seeded_random.h"
#include "routing/place_directory.h"
#include "routing/place_messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace oriolepick {

/// A request that needs a place.
struct place_demand {
    service_name service;
    std::uint32_t rank = 0; ///< 0 is the most urgent
    std::uint64_t team = 0; ///< hash of the team's name, 0 without teams
    /// Remaining time in which a start at a target is useful at all, by the deadline of the request.
    std::chrono::milliseconds latestStart { 0 };
    std::chrono::milliseconds objective { 0 }; ///< remaining time to the objective of the response or first event
    std::uint64_t promptTokens = 0; ///< engines only
    std::uint64_t outputTokens = 0; ///< engines only: upper bound
    std::chrono::milliseconds prefillTime { 0 }; ///< engines only
    std::chrono::milliseconds waited { 0 }; ///< since the caller's first attempt if it was refused before, else 0
    std::vector<target_name> excluded {}; ///< targets that were tried before or are backed off from
};

/// The request must be sent to the target now. Its use counts from now until place_client::end().
struct place_granted {
    target_name target;
};

/// The request can't be served in time.
struct place_refused {
    std::chrono::milliseconds retryAfter { 0 };
};

/// No allocator can be asked: the node chooses a target as it does without allocators.
struct decide_locally { };

/// The decision on a request, sent once for each number unless it is canceled.
struct place_decided {
    std::uint64_t number = 0;
    std::variant<place_granted, place_refused, decide_locally> decision;
};

/// An allocator did not answer; it is not asked for a while.
struct allocator_unresponsive {
    place_shard shard;
    node_id allocator;
};

using place_action = std::variant<send_place_message, place_decided, allocator_unresponsive>;

/// Result of place_client::acquire().
struct place_result {
    std::uint64_t number = 0; ///< place_decided with this number is among the actions or follows
    std::vector<place_action> actions;
};

/// How the use of a target ended.
enum class place_end {
    Completed, ///< the target responded, or the caller left
    Refused, ///< the target refused the request for lack of capacity
    Failed, ///< the connection broke or there was no valid response
};

/// Settings of place_client.
struct place_client_settings {
    std::chrono::milliseconds answerTimeout { 25 }; ///< several round trips in a zone
    std::chrono::milliseconds remoteAnswerTimeout { 60 }; ///< between zones
    std::chrono::milliseconds renewInterval { 50 }; ///< shortest time between renewals while requests wait in a line
    /// A request that may wait for long is renewed less often, this many times until its decision.
    std::int64_t renewals = 4;
    std::chrono::milliseconds maxRenewInterval { 500 };
    /// Intervals without news of a waiting request after which its allocator counts as dead: 100 ms for short waits.
    std::int64_t silentIntervals = 2;
    /// Part of the time limit after which a request without an answer is sent again: most lost messages so cost a delay
    /// only. Allocators answer a repeated request once.
    double resendShare = 0.6;
    std::uint32_t maxMissedAnswers = 2; ///< in a row, until the allocator is not asked
    std::chrono::milliseconds unresponsiveTime { 1'000 }; ///< for which an unresponsive allocator is not asked
    std::chrono::milliseconds reportInterval { 50 }; ///< shortest time between two reports on a shard of engines
    /// Shortest time between two reports on a shard of plain targets, whose requests may take only 30 ms: with 50 ms,
    /// the allocator would see places in use for longer than the requests take.
    std::chrono::milliseconds plainReportInterval { 10 };
    /// A report on engines is repeated once after this time, since messages get lost. It also confirms grants.
    std::chrono::milliseconds repeatInterval { 900 };
    /// Time between two reports on engines without changes. Generations take 4 to 10 s; frequent reports would cost
    /// several times as many messages as the requests.
    std::chrono::milliseconds refreshInterval { 5'000 };
    /// The same for plain targets: few requests take longer.
    std::chrono::milliseconds plainRefreshInterval { 60 };
    /// How long a target is contained in reports after its last use, so that the counts of completed requests arrive.
    std::chrono::milliseconds useRetention { 1'000 };
    std::chrono::milliseconds troubleRetention { 1'000 }; ///< for which a refusal or fault is reported
};

/// Keeps the requests and uses of one node. Reports of uses are sent when a use ends, with the next request, or when
/// they are due; nothing is sent while nothing is in flight. Not synchronized: one instance per event loop.
class place_client {
public:
    using actions = std::vector<place_action>;

    /// \param directory shared with place_allocator; must outlive this object. After it changed, call tick().
    /// \param startedAt start of the node in Unix milliseconds
    place_client(place_directory& directory, const place_client_settings& settings, seeded_random random,
        std::uint64_t startedAt);

    /// Requests a place. After the decision Granted the use has begun under the same number.
    place_result acquire(const place_demand& demand, instant now);

    /// Withdraws a request without a decision.
    actions cancel(std::uint64_t number, instant now);

    /// Records a request that was sent without a place, or a copy of a run on another engine.
    /// \param isCopy takes memory but no slot
    /// \return the number of the use
    std::uint64_t begin(
        const service_name& service, const target_name& target, std::uint64_t promptTokens, bool isCopy, instant now);

    /// Records that the engine has read the prompt.
    void recordPromptRead(std::uint64_t number, instant now);

    /// Records the memory of a run or copy in tokens. Causes no message by itself.
    void recordTokens(std::uint64_t number, std::uint64_t heldTokens);

    /// Ends a use. Must be called once for each granted place, also if the request was not sent after all.
    actions end(std::uint64_t number, place_end how, instant now);

    /// Handles place_answer and place_line_state; ignores other messages.
    actions receive(const node_id& from, const place_message& message, instant now);

    /// Performs all due work. Call at nextDue() or later, and after a change of the directory.
    /// \param inputPending messages of other nodes wait to be read
    actions tick(instant now, bool inputPending = false);

    /// \return the time of the next due work of tick()
    instant nextDue() const;

    /// \return the number of requests without a decision
    std::size_t pending() const { return m_pending.size(); }

private:
    struct pending_request {
        place_demand demand;
        place_shard shard;
        node_id allocator;
        instant askedAt;
        instant latestStart;
        response_wait wait;
        std::optional<instant> decisionBy; // the allocator answered that the request waits
        std::chrono::milliseconds renewEvery { 0 };
        std::optional<instant> resendAt;
        std::vector<place_shard> refusedBy;
        std::chrono::milliseconds retryAfter { 0 }; // the shortest of the refusals
    };
    struct use_record {
        place_shard shard;
        target_name name;
        target_hash target = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t heldTokens = 0;
        bool isRead = false;
        bool isCopy = false;
        instant startedAt;
    };
    struct target_record {
        target_use use;
        instant usedAt;
        std::optional<instant> refusedAt;
        std::optional<instant> faultAt;
    };
    struct shard_record {
        node_id reportedTo; // allocator that received the last report
        std::map<target_hash, target_record> targets;
        std::uint32_t inFlight = 0; // including copies
        std::optional<instant> reportDue;
        instant reportedAt;
        std::optional<instant> repeatDue; // reportDue as it was set after the last report: nothing has changed since
        bool isRepeated = false; // the last report repeats the one before
        std::optional<instant> renewDue;
    };
    struct allocator_record {
        std::uint32_t missed = 0;
        instant unresponsiveUntil;
    };

    bool ask(actions& out, std::uint64_t number, pending_request& pending, instant now);
    void decide(actions& out, std::uint64_t number, place_decided decided);
    void onAnswer(actions& out, const node_id& from, const place_answer& answer, instant now);
    void onLineState(const node_id& from, const place_line_state& state, instant now);
    void onTimeout(actions& out, std::uint64_t number, instant now);
    void checkPending(actions& out, instant now, bool inputPending);
    void sendDueReports(actions& out, instant now);
    void sendDueRenewals(actions& out, instant now);
    void resend(actions& out, std::uint64_t number, pending_request& pending, instant now);
    place_request requestOf(std::uint64_t number, const pending_request& pending, instant now) const;
    std::chrono::milliseconds nextReportWithin(const place_shard& shard, const shard_record& record) const;
    bool hasEngines(const place_shard& shard) const;
    void scheduleReport(const place_shard& shard, std::chrono::milliseconds within, instant now);
    place_report makeReport(const place_shard& shard, shard_record& record, instant now);
    void sendReport(actions& out, const place_shard& shard, shard_record& record, instant now);
    void addUse(std::uint64_t number, const place_shard& shard, const target_name& target, std::uint64_t promptTokens,
        bool isCopy, instant now);
    void followDirectory(instant now);
    bool isUnresponsive(const node_id& allocator, instant now) const;

    place_directory& m_directory;
    place_client_settings m_settings;
    seeded_random m_random;
    std::uint64_t m_startedAt;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_seenRevision = 0;
    std::map<std::uint64_t, pending_request> m_pending;
    std::map<std::uint64_t, use_record> m_uses;
    std::map<place_shard, shard_record> m_shards;
    std::map<node_id, allocator_record> m_allocators;
};

} // namespace oriolepick
