#include "gateway/retry_sharing.h"

#include "gateway/gateway_metrics.h"
#include "routing/node_retry_budget.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Nodes asked at a time. Most nodes have unused retries, except when targets of a whole zone are lost.
    constexpr std::size_t AskedNodes = 4;
    /// Retries asked of one node, so that a node gives its balance to more than one other.
    constexpr std::uint32_t WantedPerNode = 1;
    /// Time after which an answer is ignored: several round trips between zones.
    constexpr std::chrono::milliseconds AnswerTimeout { 100 };
    /// Time between two requests for one service.
    constexpr std::chrono::milliseconds RequestInterval { 20 };

} // namespace

retry_sharing::retry_sharing(sender send, node_retry_budget& budget, std::uint64_t seed, gateway_metrics& metrics)
    : m_send(std::move(send))
    , m_budget(budget)
    , m_random(seed)
    , m_metrics(metrics)
{
}

bool retry_sharing::isAvailable() const
{
    return !m_others.empty() && m_budget.isShareSmall();
}

void retry_sharing::request(const service_name& service, instant now)
{
    if (!isAvailable())
        return;
    for (auto pending = m_pending.begin(); pending != m_pending.end();)
        pending = now >= pending->second.sentAt + AnswerTimeout ? m_pending.erase(pending) : std::next(pending);
    const bool askedRecently = std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& pending) {
        return pending.second.service == service && now < pending.second.sentAt + RequestInterval;
    });
    if (askedRecently)
        return;
    m_metrics.count("retries_requested");
    const auto count = std::min(AskedNodes, m_others.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(m_others[index], m_others[index + m_random.below(m_others.size() - index)]);
        const auto number = ++m_lastNumber;
        m_pending[number] = { service, m_others[index], now };
        m_send(m_others[index], retry_share_request { number, service, WantedPerNode });
    }
}

void retry_sharing::receive(const node_id& from, const retry_share_message& message, instant now)
{
    if (const auto* request = std::get_if<retry_share_request>(&message))
        answer(from, *request, now);
    else
        credit(from, std::get<retry_share_answer>(message), now);
}

void retry_sharing::answer(const node_id& from, const retry_share_request& request, instant now)
{
    const auto granted = m_budget.give(request.service, std::min(request.wanted, WantedPerNode), now);
    if (!granted)
        return;
    m_metrics.count("retries_given");
    m_send(from, retry_share_answer { request.number, granted });
}

void retry_sharing::credit(const node_id& from, const retry_share_answer& answer, instant now)
{
    const auto pending = m_pending.find(answer.number);
    if (pending == m_pending.end() || pending->second.to != from || now >= pending->second.sentAt + AnswerTimeout) {
        m_metrics.count("retries_received_late");
        return;
    }
    m_metrics.count("retries_received");
    m_budget.receive(pending->second.service, std::min(answer.granted, WantedPerNode), now);
    m_pending.erase(pending);
}

} // namespace oriolepick
