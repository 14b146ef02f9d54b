/// \file
/// Handles one request of a caller from its arrival to the end of the response: routing, attempts at targets, resuming.
#pragma once

#include "core/error_kind.h"
#include "core/instant.h"
#include "core/memory_reservation.h"
#include "core/request_queue.h"
#include "core/response_wait.h"
#include "core/stall_detector.h"
#include "gateway/gateway_parts.h"
#include "gateway/held_place.h"
#include "gateway/http_message.h"
#include "gateway/request_dialect.h"
#include "gateway/target_connection.h"
#include "gateway/target_prober.h"
#include "gateway/timer_queue.h"
#include "routing/attempt_policy.h"
#include "routing/engine_admission.h"
#include "routing/engine_selection.h"
#include "routing/event_splitter.h"
#include "routing/shared_crash_ledger.h"
#include "routing/target_tracker.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class response_sink;
class route_table;
struct route;
struct stop_schedule;
struct team_rules;

/// Created by a caller session, which is also the sink of the response.
class exchange : public response_listener, public std::enable_shared_from_this<exchange> {
public:
    /// \param sink must outlive this object unless cancel() is called before its destruction
    exchange(const gateway_parts& parts, http_request request, response_sink& sink);
    ~exchange() override;

    /// Routes the request and sends it to a target.
    void start();

    /// Cancels the request because the caller has disconnected: the current attempt ends and nothing more is sent.
    void cancel();

    /// Rejects the request if it waits for a target and cannot be expected to end before the node stops.
    void rejectIfWaitingAtShutdown();

    /// Ends the request because the node stops now: sends a final response, or aborts a started stream so that the
    /// caller can resume it at another node.
    void abortForShutdown();

    /// The queued bytes of a streamed response were sent to the caller.
    void onSinkDrained();

    bool isFinished() const { return m_finished; }

    /// \return the identifier of the caller's attempt, empty if the request has none
    const std::string& attempt() const { return m_caller.attempt; }

    bool maySend() const override;
    void onSent() override;
    void onHead(const http_response_head& head, const target_reply& reply) override;
    void onBody(std::string bytes) override;
    void onComplete(bool reusable) override;
    void onFailure(transport_failure failure) override;

private:
    // routing, in exchange.cpp
    bool decode();
    bool admit();
    std::chrono::milliseconds remainingTime() const;
    std::uint32_t priority() const;
    std::uint32_t priorityClass() const;
    std::string fingerprintText() const;
    std::string sharedPartsText() const;
    std::uint64_t routedByVersion() const;

    // choice of an engine, in exchange_engine_choice.cpp
    bool hasUsableCopy() const;
    void probeCopyHolder(const target_entry& holder);
    void sendToCopyHolder(const target_entry& holder);
    std::vector<availability_zone> avoidedPaths() const;
    bool pollEngines();
    void onPollResponse(std::size_t index, const target_prober::answer& answer);
    void onPollCompleted();
    void recordFailedProbe(const target_entry& target, const target_prober::answer& answer);
    generation_demand makeGenerationDemand() const;
    std::uint64_t estimatedRemainingEvents() const;
    bool rejectIfDeadlineUnreachable();
    std::chrono::milliseconds longestTime() const;
    bool endsBefore(const stop_schedule& stop) const;
    bool rejectIfEndingAfterShutdown();
    void logEngineChoice(const polled_engine& engine, const generation_demand& demand, std::size_t polledCount);

    // the admission queue, in exchange_engine_choice.cpp
    bool mayQueue() const;
    std::chrono::milliseconds maxQueueTime(const generation_demand& demand) const;
    void waitInQueue();
    void leaveQueue();

    // places at targets, in exchange_placement.cpp
    bool askForPlace();
    void releaseUnsentPlace();
    std::vector<target_name> targetsWithoutPlace() const;
    place_demand makePlaceDemand(std::vector<target_name> excluded) const;
    std::chrono::milliseconds latestUsefulStart() const;
    void probeGranted(const target_entry& target);
    void onPlaceGranted(const target_name& name, held_place place);
    void onPlaceRefused(std::chrono::milliseconds retryAfter);
    void decideLocally(std::string_view reason);
    void holdPlace(const target_entry& target);
    void recordEventAtPlace();
    void recordCopyAtPlace(std::uint64_t heldTokens);
    bool mayAskReceiversAgain(attempt_outcome attemptOutcome) const;

    // resuming a stream of another node, in exchange_engine_choice.cpp
    void findRunCopy();
    void publishRunCopy();

    // versions of targets, in exchange_version_choice.cpp
    std::optional<version_condition> versionCondition() const;
    target_query withVersionCondition(target_query query) const;
    target_query withExposure(target_query query) const;
    bool mayReceive(const target_entry& target) const;
    bool isAllowedVersion(const target_entry& target) const;
    bool areAllowedVersions(const std::vector<target_name>& targets) const;
    bool awaitExposure();
    bool dropExposure();
    void recordVersionStart(const target_entry& target);
    void recordVersionEnd();
    void recordVersionAnswer(bool failed);
    void recordVersionResponse(bool isInvalid);
    void recordVersionFirstEvent();
    void recordVersionWait(std::chrono::milliseconds least = {});

    // attempts, in exchange_attempts.cpp
    void dispatch();
    bool rejectIfQuarantined();
    bool tryQuarantinedParts();
    void dispatchAt(instant due);
    void sendWithPermit(const target_entry& target);
    void waitForTarget();
    std::chrono::milliseconds randomDelay(std::chrono::milliseconds range);
    std::chrono::milliseconds retryAfter(const service_outlook& outlook);
    bool isGeneration() const;
    void send(const target_entry& target);
    void chooseCopyHolder(const target_entry& target);
    target_instruction instructionFor(const target_entry& target) const;
    void endAttempt();
    void startAttemptTimeout();
    void armAttemptTimeout();
    void onAttemptTimeout();
    void onLatePermit(const target_entry& next);
    void abandonLateAttempt();
    bool hasTakenMore();
    void retryOrFail(attempt_outcome attemptOutcome);
    void conclude(retry_decision decision, attempt_outcome attemptOutcome, std::string_view reason);
    double retryReserve() const;
    void waitForRetryBudget();
    void recordTargetFault(target_fault fault, std::string_view faultName, std::string_view problem = {});

    // responses of targets, in exchange_responses.cpp with the overrides of response_listener
    bool reserveEventMemory(std::size_t additionalBytes);
    bool reserveResponseMemory(std::size_t additionalBytes);

    // streams, in exchange_stream.cpp
    void maintainCopy();
    void recheckCopyHolder();
    void requestCopy();
    void sendCopyRequest();
    void onCopyResponse(const std::optional<std::string>& handle);
    void forwardEvents();
    void observePath(std::chrono::milliseconds pause, std::uint64_t count);
    bool forwardEvent(const stream_event& event);
    void startStallDetection();
    void checkForStall();
    void scheduleStallCheck(instant due);
    void onProbe(std::uint32_t attempt, const target_prober::answer& answer);
    void onSilentProbe(const target_prober::answer& answer);
    bool isStalled(instant now) const;
    std::chrono::milliseconds probeInterval() const;
    bool canUseCopy(instant now) const;
    bool shouldKeepWaiting(instant now) const;
    bool isRestartWorthwhile(instant now) const;
    bool canContinueElsewhere(instant now);
    bool abandonSuspect(std::string_view faultName, std::string_view problem = {});
    void failUnresponsiveTarget(std::string_view faultName, bool isGone, std::string_view problem);

    // responses to the caller, in exchange.cpp
    void onDeadline();
    void failWith(error_kind kind, std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter = {});
    void deliverResponse();
    void keepTargetFailure();
    void finish(std::string_view outcome);

    const gateway_parts& m_parts;
    http_request m_request;
    response_sink* m_sink;
    caller_request m_caller;
    std::shared_ptr<const route_table> m_table; // keeps m_route and m_team alive
    const route* m_route = nullptr;
    const team_rules* m_team = nullptr;
    service_name m_service;
    crash_suspect m_suspect; // the fingerprints of the request and of its shared parts
    instant m_startedAt;
    instant m_deadline;
    timer_handle m_deadlineTimer = 0;
    timer_handle m_waitTimer = 0;
    timer_handle m_watchTimer = 0; // detects a stalled stream or a late response

    // the attempt in progress
    std::shared_ptr<target_connection> m_link;
    std::optional<target_entry> m_target;
    std::optional<target_entry> m_copyHolder; // target that receives a copy of the run
    bool m_continuesCopy = false;
    bool m_sent = false;
    http_response_head m_head;
    target_reply m_reply;
    bool m_streaming = false; // the response in progress is a stream of events
    bool m_eventReceived = false; // in the current attempt
    std::string m_body;
    event_splitter m_events;
    memory_reservation m_responseMemory; // of m_body and m_events
    stall_detector m_stall;
    held_place m_place; // the use of the target, from the grant or the start of the attempt
    held_place m_copyPlace; // the memory that a copy of the run takes at another engine
    instant m_attemptAt;
    instant m_sentAt; // when the request was passed to the connection, or the attempt began
    std::optional<response_wait> m_attemptWait; // for the response of a repeatable request
    std::uint64_t m_takenBytes = 0; // by the target on its connection, when the wait for a response was last checked
    bool m_isUploading = false; // the target had not taken the whole request at that check
    bool m_suspected = false; // the target is silent, and no other can continue
    bool m_probing = false;
    std::uint32_t m_probesSinceLastEvent = 0;
    std::optional<instant> m_runReportedAt; // when the target last reported that it may hold the run

    bool m_isExposed = false; // this attempt has a permit for a version in a rollout
    bool m_startsRun
        = false; // the attempt continues no stream, so the time to its first event is that of a whole prompt

    // the request as a whole
    bool m_exposureAsked = false; // a permit was requested; a request gets one at most
    std::vector<polled_engine> m_polledEngines;
    std::size_t m_pendingPolls = 0;
    queue_number m_queueNumber = 0; // while the request waits in the admission queue
    std::uint64_t m_placeRequest = 0; // while the request waits for a place
    instant m_placeAskedAt;
    std::uint32_t m_unusablePlaces = 0; // granted since the last attempt, at targets that take no requests
    bool m_decidesLocally = false; // the next attempt needs no place
    bool m_asksReceiversOnly = false; // no further target may receive the request
    std::vector<target_name> m_receivers; // targets that the request was sent to
    bool m_isTrial = false; // tests whether quarantined parts of the prompt still crash targets
    bool m_isScheduled = false; // the admission queue lets this request look for a slot
    bool m_prefilledAlone = false; // the engine had no other prompts to prefill
    attempt_history m_history;
    struct target_failure {
        http_response_head head;
        std::string body;
    };
    std::optional<target_failure> m_targetFailure; // delivered if no further attempt brings a response
    std::vector<target_name> m_triedTargets;
    std::optional<availability_zone> m_lostZone; // zone of the last lost target
    bool m_usesLossyPaths = false; // the engines with better paths have no place
    attempt_outcome m_deniedOutcome = attempt_outcome::Lost; // of the attempt whose retry waits for budget
    instant m_budgetWaitEnds;
    bool m_wasUnsent = false; // the last attempt ended before its request was sent
    std::optional<run_copy> m_copy; // from which the next attempt continues
    std::optional<run_copy> m_requestedCopy; // made on request at the copy holder
    instant m_copyRequestedAt; // last copy request; in the future while lack of memory delays the next one
    instant m_copyHolderProbedAt; // when the copy holder was last probed
    bool m_copyRequestPending = false;
    std::uint32_t m_publishedAttempt = 0; // attempt whose copy was last published to other nodes
    bool m_responseStarted = false;
    std::optional<std::uint64_t> m_lastEvent;
    instant m_firstEventAt;
    std::uint64_t m_eventsForwarded = 0;
    bool m_sinkBlocked = false;
    bool m_finished = false;
    std::uint32_t m_attempts = 0;
};

} // namespace oriolepick
