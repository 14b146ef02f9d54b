/// \file
/// Handling of target responses to an attempt of an exchange: complete responses, streams and failures.
#include "gateway/exchange.h"

#include "gateway/crash_detector.h"
#include "gateway/gateway_metrics.h"
#include "gateway/response_sink.h"
#include "gateway/target_connection_pool.h"
#include "gateway/target_notice_handler.h"
#include "routing/generation_time_estimator.h"
#include "routing/response_time_estimator.h"
#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Largest response that is buffered as a whole; a larger one counts as a fault of the target.
    constexpr std::size_t MaxBufferedResponseBytes = 16'777'216;
    constexpr std::size_t ResponseGrowthDivisor = 4; ///< grows by a fourth: few copies and little unused memory
    constexpr std::size_t MinResponseCapacityBytes = 1'024; ///< typical responses need a single allocation
    /// Largest event of a stream; an event with a few tokens and their metadata is far smaller.
    constexpr std::size_t MaxEventBytes = 262'144;

} // namespace

void exchange::onHead(const http_response_head& head, const target_reply& reply)
{
    m_head = head;
    m_reply = reply;
    if (m_attemptWait)
        m_attemptWait->restart(m_parts.timers.now());
    const bool misaddressed = reply.actualTarget && *reply.actualTarget != m_target->name;
    if (!misaddressed)
        m_parts.notices.apply(m_target->name, m_target->address, m_target->startedAt, reply);
    m_streaming = m_route->kind == route_kind::Stream && head.status == 200 && reply.signedByTarget && !reply.encoded;
}

void exchange::onBody(std::string bytes)
{
    if (!(m_streaming ? reserveEventMemory(bytes.size()) : reserveResponseMemory(bytes.size()))) {
        recordTargetFault(target_fault::InvalidResponse, m_streaming ? "event_too_large" : "answer_too_large");
        m_history.mayHaveRun = true;
        ++m_history.answered;
        retryOrFail(attempt_outcome::Lost);
        return;
    }
    if (!m_streaming) {
        m_body += bytes;
        return;
    }
    m_events.feed(bytes);
    forwardEvents();
    m_responseMemory.set(m_events.pendingBytes());
}

bool exchange::reserveEventMemory(std::size_t additionalBytes)
{
    const auto heldBytes = m_events.pendingBytes() + additionalBytes;
    return heldBytes <= MaxEventBytes && m_responseMemory.tryResize(heldBytes);
}

// Sets the capacity explicitly: std::string would at least double it, beyond the reserved memory.
bool exchange::reserveResponseMemory(std::size_t additionalBytes)
{
    const auto heldBytes = m_body.size() + additionalBytes;
    if (heldBytes <= m_body.capacity())
        return true;
    const auto capacity = std::max(heldBytes + heldBytes / ResponseGrowthDivisor, MinResponseCapacityBytes);
    if (heldBytes > MaxBufferedResponseBytes || !m_responseMemory.tryResize(capacity))
        return false;
    std::string grown;
    grown.reserve(capacity);
    grown.append(m_body);
    m_body.swap(grown);
    return true;
}

void exchange::onComplete(bool reusable)
{
    const auto now = m_parts.timers.now();
    m_parts.timers.cancel(m_watchTimer);
    auto link = std::move(m_link);
    m_link.reset();
    m_parts.targetTracker.attemptEnded(m_target->name);
    recordVersionEnd();
    if (reusable && !m_reply.leaving)
        m_parts.targetConnections.release(std::move(link));
    else
        link->abandon();
    m_sent = false;

    if (m_streaming) {
        if (m_events.pendingBytes()) {
            recordTargetFault(target_fault::InvalidResponse, "stream_cut_in_event");
            recordVersionAnswer(true);
            m_history.mayHaveRun = true;
            ++m_history.lost;
            retryOrFail(attempt_outcome::Lost);
            return;
        }
        m_parts.targetTracker.recordSuccess(m_target->name);
        m_parts.crashes.recordCompletion(m_suspect.request);
        if (m_eventsForwarded && m_attempts == 1)
            m_parts.generationTimes.record(m_service, m_eventsForwarded - 1,
                std::chrono::duration_cast<std::chrono::milliseconds>(now - m_firstEventAt));
        if (!m_responseStarted)
            m_sink->beginStream(m_head);
        m_sink->endStream();
        finish("answered");
        return;
    }
    ++m_history.answered;
    if (m_reply.notRun) {
        const bool misaddressed = m_reply.actualTarget && *m_reply.actualTarget != m_target->name;
        // A target that works but does not hold the copy, or that was not meant, does not use up an attempt. Nor does
        // one that did not run its part of a stream that has begun; the retry budget limits those.
        if (m_continuesCopy || misaddressed || m_responseStarted)
            --m_history.answered;
        if (m_continuesCopy) {
            m_parts.metrics.count("copies_missing");
        } else {
            recordTargetFault(misaddressed ? target_fault::AddressReused : target_fault::AtCapacity,
                misaddressed ? "misaddressed" : "full");
            m_triedTargets.push_back(m_target->name);
        }
        if (misaddressed)
            m_parts.onTargetsOutdated();
        retryOrFail(attempt_outcome::NotRun);
        return;
    }
    m_history.mayHaveRun = true;
    if (m_reply.signedByTarget)
        m_parts.crashes.recordCompletion(m_suspect.request);
    const bool success = m_head.status >= 200 && m_head.status < 300;
    const bool isInvalid = m_reply.encoded || (success && !m_reply.signedByTarget);
    recordVersionResponse(isInvalid);
    if (isInvalid) {
        recordTargetFault(target_fault::InvalidResponse, "unsigned_answer");
        m_triedTargets.push_back(m_target->name);
        retryOrFail(attempt_outcome::Lost);
        return;
    }
    if (promisesNotRun(m_head.status)) {
        // Passed on, the status would be a promise to the caller that the target has not given.
        m_parts.metrics.count("unproven_refusals");
        m_triedTargets.push_back(m_target->name);
        retryOrFail(attempt_outcome::Lost);
        return;
    }
    if (m_head.status >= 500) {
        m_parts.metrics.count("target_errors");
        m_triedTargets.push_back(m_target->name);
        if (!m_responseStarted && decideRetry(m_history, attempt_outcome::TargetError) == retry_decision::Deliver) {
            deliverResponse();
            return;
        }
        keepTargetFailure();
        retryOrFail(attempt_outcome::TargetError);
        return;
    }
    m_parts.targetTracker.recordSuccess(m_target->name);
    if (success)
        m_parts.crashes.recordStart(m_suspect.parts);
    if (m_responseStarted) {
        failWith(error_kind::GenerationLost, "the target did not go on with the stream");
        return;
    }
    if (m_route->kind != route_kind::Stream)
        m_parts.responseTimes.record(
            m_service, std::chrono::duration_cast<std::chrono::milliseconds>(now - m_attemptAt));
    deliverResponse();
}

void exchange::onFailure(transport_failure failure)
{
    const bool sent = failure != transport_failure::NotSent;
    const bool malformed = failure == transport_failure::Malformed;
    recordTargetFault(malformed ? target_fault::InvalidResponse : target_fault::Unreachable,
        !sent                                            ? "not_connected"
            : malformed                                  ? "malformed_response"
            : failure == transport_failure::Reset        ? "reset"
            : failure == transport_failure::Unresponsive ? "unresponsive"
                                                         : "closed");
    if (malformed)
        recordVersionAnswer(true);
    if (sent) {
        if (!malformed)
            m_parts.crashes.recordLostAttempt(m_suspect, *m_target, m_eventReceived);
        m_history.mayHaveRun = true;
        ++(malformed ? m_history.answered : m_history.lost);
    }
    retryOrFail(sent ? attempt_outcome::Lost : attempt_outcome::NotSent);
}

} // namespace oriolepick
