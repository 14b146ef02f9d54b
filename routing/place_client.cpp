/// \file
/// Requests of place_client. Uses and their reports are in place_client_uses.cpp.
#include "routing/place_client.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// After the latest start an allocator refuses the request; the message takes a moment.
    constexpr std::chrono::milliseconds DecisionDelay { 50 };
    /// Retry-after of a request whose refusal was lost.
    constexpr std::chrono::milliseconds DefaultRetryAfter { 1'000 };
    /// Shards that are asked for one request: each further one costs a message and a round trip.
    constexpr std::size_t MaxShards = 2;

} // namespace

place_client::place_client(
    place_directory& directory, const place_client_settings& settings, seeded_random random, std::uint64_t startedAt)
    : m_directory(directory)
    , m_settings(settings)
    , m_random(random)
    , m_startedAt(startedAt)
{
}

bool place_client::isUnresponsive(const node_id& allocator, instant now) const
{
    const auto found = m_allocators.find(allocator);
    return found != m_allocators.end() && now < found->second.unresponsiveUntil;
}

place_result place_client::acquire(const place_demand& demand, instant now)
{
    place_result result;
    followDirectory(now);
    result.number = ++m_lastNumber;
    const auto latestStart = now + demand.latestStart;
    pending_request pending { demand, {}, {}, now, latestStart, response_wait(m_settings.answerTimeout, now), {}, {},
        {}, {}, std::chrono::milliseconds(0) };
    if (m_directory.nodeCount() < 2 || !ask(result.actions, result.number, pending, now))
        result.actions.emplace_back(place_decided { result.number, decide_locally {} });
    return result;
}

bool place_client::ask(actions& out, std::uint64_t number, pending_request& pending, instant now)
{
    auto excluded = pending.refusedBy;
    std::optional<place_shard> shard;
    while ((shard = m_directory.chooseShard(pending.demand.service, excluded, m_random, now))
        && isUnresponsive(m_directory.allocatorOf(*shard), now))
        excluded.push_back(*shard);
    if (!shard)
        return false;
    pending.shard = *shard;
    pending.allocator = m_directory.allocatorOf(*shard);
    pending.askedAt = now;
    pending.decisionBy.reset();
    const bool isLocal = m_directory.zoneOf(pending.allocator) == m_directory.self().zone;
    const auto limit = isLocal ? m_settings.answerTimeout : m_settings.remoteAnswerTimeout;
    pending.wait = response_wait(limit, now);
    pending.resendAt = now + std::chrono::duration_cast<instant::duration>(limit * m_settings.resendShare);
    auto request = requestOf(number, pending, now);
    m_pending.insert_or_assign(number, pending);
    m_directory.recordRequested(*shard);
    auto& record = m_shards[*shard];
    // The report saves a message that would be due soon.
    if (record.reportDue || record.reportedTo != pending.allocator)
        request.report = makeReport(*shard, record, now);
    out.emplace_back(send_place_message { pending.allocator, std::move(request) });
    return true;
}

place_request place_client::requestOf(std::uint64_t number, const pending_request& pending, instant now) const
{
    const auto& demand = pending.demand;
    place_request request { number, pending.shard, demand.rank, demand.team,
        std::chrono::floor<std::chrono::milliseconds>(pending.latestStart - now), demand.objective, demand.promptTokens,
        demand.outputTokens, demand.prefillTime, demand.waited, {}, {} };
    for (const auto& target : demand.excluded)
        request.excluded.push_back(hashOf(target));
    return request;
}

void place_client::resend(actions& out, std::uint64_t number, pending_request& pending, instant now)
{
    if (!pending.resendAt || now < *pending.resendAt)
        return;
    pending.resendAt.reset();
    out.emplace_back(send_place_message { pending.allocator, requestOf(number, pending, now) });
}

void place_client::decide(actions& out, std::uint64_t number, place_decided decided)
{
    m_pending.erase(number);
    out.emplace_back(std::move(decided));
}

place_client::actions place_client::cancel(std::uint64_t number, instant /*now*/)
{
    actions out;
    const auto found = m_pending.find(number);
    if (found == m_pending.end())
        return out;
    out.emplace_back(send_place_message { found->second.allocator, place_cancel { found->second.shard, number } });
    m_pending.erase(found);
    return out;
}

place_client::actions place_client::receive(const node_id& from, const place_message& message, instant now)
{
    actions out;
    if (const auto* answer = std::get_if<place_answer>(&message))
        onAnswer(out, from, *answer, now);
    else if (const auto* state = std::get_if<place_line_state>(&message))
        onLineState(from, *state, now);
    return out;
}

void place_client::onAnswer(actions& out, const node_id& from, const place_answer& answer, instant now)
{
    m_allocators.erase(from);
    const auto found = m_pending.find(answer.number);
    if (found == m_pending.end() || found->second.allocator != from || !(found->second.shard == answer.shard))
        return; // the answer came after the time limit, or twice
    m_directory.recordRoom(answer.shard, answer.room, now);
    auto& pending = found->second;
    if (answer.outcome == place_outcome::Granted) {
        const auto demand = std::move(pending.demand);
        addUse(answer.number, answer.shard, answer.target, demand.promptTokens, false, now);
        decide(out, answer.number, { answer.number, place_granted { answer.target } });
    } else if (answer.outcome == place_outcome::Waiting) {
        pending.resendAt.reset();
        pending.decisionBy = now + answer.decisionWithin;
        pending.renewEvery = std::clamp(
            answer.decisionWithin / m_settings.renewals, m_settings.renewInterval, m_settings.maxRenewInterval);
        pending.wait = response_wait(pending.renewEvery * m_settings.silentIntervals, now);
        auto& due = m_shards[answer.shard].renewDue;
        due = std::min(due.value_or(instant::max()), now + pending.renewEvery);
    } else {
        if (!pending.refusedBy.empty())
            pending.retryAfter = std::min(pending.retryAfter, answer.retryAfter);
        else
            pending.retryAfter = answer.retryAfter;
        pending.refusedBy.push_back(answer.shard);
        const auto retryAfter = pending.retryAfter;
        if (pending.refusedBy.size() >= MaxShards || pending.latestStart <= now
            || !ask(out, answer.number, pending, now))
            decide(out, answer.number, { answer.number, place_refused { retryAfter } });
    }
}

void place_client::onLineState(const node_id& from, const place_line_state& state, instant now)
{
    for (const auto number : state.waiting) {
        const auto found = m_pending.find(number);
        if (found != m_pending.end() && found->second.allocator == from && found->second.decisionBy)
            found->second.wait = response_wait(found->second.renewEvery * m_settings.silentIntervals, now);
    }
}

void place_client::onTimeout(actions& out, std::uint64_t number, instant now)
{
    const auto pending = m_pending.at(number);
    auto& allocator = m_allocators[pending.allocator];
    // A node that has been refused elsewhere must not overload the targets with its own decision.
    if (pending.refusedBy.empty())
        decide(out, number, { number, decide_locally {} });
    else
        decide(out, number, { number, place_refused { pending.retryAfter } });
    if (++allocator.missed < m_settings.maxMissedAnswers || now < allocator.unresponsiveUntil)
        return;
    allocator.unresponsiveUntil = now + m_settings.unresponsiveTime;
    out.emplace_back(allocator_unresponsive { pending.shard, pending.allocator });
}

void place_client::checkPending(actions& out, instant now, bool inputPending)
{
    std::vector<std::uint64_t> silent;
    std::vector<std::uint64_t> late;
    for (auto& [number, pending] : m_pending) {
        if (pending.decisionBy && now >= *pending.decisionBy + DecisionDelay && !inputPending)
            late.push_back(number);
        else if (pending.wait.isUnresponsive(now, inputPending))
            silent.push_back(number);
        else
            resend(out, number, pending, now);
    }
    for (const auto number : late)
        decide(out, number, { number, place_refused { DefaultRetryAfter } });
    for (const auto number : silent)
        onTimeout(out, number, now);
}

void place_client::sendDueRenewals(actions& out, instant now)
{
    for (auto& [shard, record] : m_shards) {
        if (!record.renewDue || now < *record.renewDue)
            continue;
        record.renewDue.reset();
        std::map<node_id, std::vector<std::uint64_t>> numbers;
        for (const auto& [number, pending] : m_pending) {
            if (!pending.decisionBy || !(pending.shard == shard))
                continue;
            record.renewDue = std::min(record.renewDue.value_or(instant::max()), now + pending.renewEvery);
            numbers[pending.allocator].push_back(number);
        }
        for (auto& [allocator, list] : numbers)
            out.emplace_back(send_place_message { allocator, place_renewal { shard, std::move(list) } });
    }
}

place_client::actions place_client::tick(instant now, bool inputPending)
{
    actions out;
    followDirectory(now);
    checkPending(out, now, inputPending);
    sendDueRenewals(out, now);
    sendDueReports(out, now);
    return out;
}

instant place_client::nextDue() const
{
    auto due = instant::max();
    for (const auto& [number, pending] : m_pending) {
        due = std::min({ due, pending.wait.due(), pending.resendAt.value_or(instant::max()) });
        if (pending.decisionBy)
            due = std::min(due, *pending.decisionBy + DecisionDelay);
    }
    for (const auto& [shard, record] : m_shards)
        due = std::min({ due, record.reportDue.value_or(instant::max()), record.renewDue.value_or(instant::max()) });
    return due;
}

} // namespace oriolepick
