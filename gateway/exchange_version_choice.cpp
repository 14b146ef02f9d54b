/// \file
/// Versions of targets in an exchange: which ones may receive the request while a rollout is in progress, and what
/// their responses say about them.
#include "gateway/exchange.h"

#include "gateway/admission_queue.h"
#include "gateway/rollout_driver.h"
#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

std::optional<version_condition> exchange::versionCondition() const
{
    return m_parts.rollouts ? m_parts.rollouts->conditionOf(m_service) : std::nullopt;
}

target_query exchange::withVersionCondition(target_query query) const
{
    query.version = versionCondition();
    return query;
}

// With a permit only canaries may be chosen. If there is none, no target is chosen, and the permit is dropped.
target_query exchange::withExposure(target_query query) const
{
    if (!m_isExposed)
        return withVersionCondition(std::move(query));
    query.only = m_parts.rollouts->canariesOf(m_service);
    if (query.only.empty())
        query.only.emplace_back(); // no target has an empty name
    return query;
}

bool exchange::isAllowedVersion(const target_entry& target) const
{
    const auto condition = versionCondition();
    return !condition || condition->allows(target.version);
}

bool exchange::areAllowedVersions(const std::vector<target_name>& targets) const
{
    const auto condition = versionCondition();
    return !condition || std::all_of(targets.begin(), targets.end(), [&](const target_name& name) {
        const auto* target = m_parts.targetTracker.find(name);
        return !target || condition->allows(target->version);
    });
}

bool exchange::mayReceive(const target_entry& target) const
{
    return (m_isExposed && m_parts.rollouts->mayExposeTo(target)) || isAllowedVersion(target);
}

// Only new requests are exposed to a version that is not trusted yet, and only at their first attempt. One that would
// join the admission queue asks when its turn comes, since a permit is not kept.
// \return whether the decision is pending; then the request is dispatched again
bool exchange::awaitExposure()
{
    if (!m_parts.rollouts || m_exposureAsked || m_attempts || m_caller.lastEvent)
        return false;
    const bool mustQueue
        = isGeneration() && mayQueue() && !m_isScheduled && m_parts.admissionQueue.hasWaiting(m_service);
    if (mustQueue || !m_parts.rollouts->mayExpose(m_service))
        return false;
    m_exposureAsked = true;
    const auto granted = m_parts.rollouts->requestPermit(m_service, [self = weak_from_this()](bool isGranted) {
        const auto exchange = self.lock();
        if (!exchange || exchange->m_finished)
            return;
        exchange->m_isExposed = isGranted;
        exchange->dispatch();
    });
    if (!granted)
        return true;
    m_isExposed = *granted;
    return false;
}

// \return whether there was a permit to drop
bool exchange::dropExposure()
{
    return std::exchange(m_isExposed, false);
}

void exchange::recordVersionStart(const target_entry& target)
{
    if (!m_parts.rollouts)
        return;
    m_startsRun = !m_lastEvent && !m_continuesCopy;
    // Requests that no target receives do not entitle a version to more.
    if (m_attempts == 1 && !m_caller.lastEvent)
        m_parts.rollouts->recordRequest(m_service);
    m_parts.rollouts->recordStart(target);
}

void exchange::recordVersionEnd()
{
    if (m_parts.rollouts)
        m_parts.rollouts->recordEnd(*m_target);
}

void exchange::recordVersionAnswer(bool failed)
{
    if (m_parts.rollouts)
        m_parts.rollouts->recordAnswer(*m_target, m_route->name, failed,
            std::chrono::duration_cast<std::chrono::milliseconds>(m_parts.timers.now() - m_sentAt));
}

// A refusal says nothing about the version. A status of 503 without the target's receipt may be one.
void exchange::recordVersionResponse(bool isInvalid)
{
    const bool isRefusal = m_head.status == 503 && !m_reply.signedByTarget;
    if (isInvalid || !isRefusal)
        recordVersionAnswer(isInvalid || m_head.status >= 500);
}

// The rest of a stream that began elsewhere comes without a prompt to read.
void exchange::recordVersionFirstEvent()
{
    if (m_startsRun)
        recordVersionAnswer(false);
}

// A response that is not awaited any longer would have taken at least this time. Without a record, a version that hangs
// would not be found slow.
void exchange::recordVersionWait(std::chrono::milliseconds least)
{
    if (m_parts.rollouts && m_link && m_sent && m_startsRun && !m_eventReceived
        && m_parts.timers.now() >= m_sentAt + least)
        recordVersionAnswer(false);
}

} // namespace oriolepick
