#include "node/target_limits.h"

#include "core/stable_hash.h"
#include "core/text.h"
#include "node/control_loop.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/peer_hub.h"
#include "wire/messages.pb.h"
#include "wire/target_limit_codec.h"

#include <algorithm>

namespace oriolepick {

namespace {

    constexpr std::string_view LimitHeader = "Request-Limit";
    constexpr std::chrono::milliseconds TickPeriod { 20 };
    /// Longest wait for a permit: the timeouts of the owner and its deputy end it earlier, unless the node stops.
    constexpr std::chrono::milliseconds MaxPermitWait { 2'000 };
    /// The zones of targets are not known here, so an owner may be in another region.
    constexpr std::chrono::milliseconds AnswerTimeout { 300 };

    target_limiter_settings limiterSettings()
    {
        target_limiter_settings settings;
        settings.answerTimeout = AnswerTimeout;
        settings.permitValidity = AnswerTimeout;
        return settings;
    }

    std::optional<std::string> limitHeaderOf(const header_list& headers)
    {
        const auto found = std::find_if(headers.begin(), headers.end(),
            [](const auto& header) { return equalsIgnoringCase(header.first, LimitHeader); });
        return found == headers.end() ? std::nullopt : std::optional<std::string>(found->second);
    }

} // namespace

target_limits::target_limits(peer_hub& peers, control_loop& loop, node_metrics& metrics)
    : m_peers(peers)
    , m_loop(loop)
    , m_metrics(metrics)
    , m_limiter({ peers.self(), {} }, limiterSettings(), std::chrono::steady_clock::now())
    , m_random(stableHash(peers.self().value(), peers.incarnation()))
{
    peers.handle(
        wire::envelope::kTargetLimit, [this](const node_id& sender, const wire::envelope& message, instant now) {
            const auto decoded = decode(message.target_limit());
            if (!decoded)
                return false;
            const std::lock_guard<std::mutex> lock(m_mutex);
            perform(m_limiter.receive(sender, *decoded, now));
            return true;
        });
    loop.every(TickPeriod, [this](instant now) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (now >= m_limiter.nextDue())
            perform(m_limiter.tick(now));
    });
}

bool target_limits::acquire(const std::string& address)
{
    std::future<bool> decision;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto result = m_limiter.acquire(limited_target(address), 0, std::chrono::steady_clock::now());
        if (result.decision == permit_decision::NotNeeded)
            return true;
        if (result.decision != permit_decision::Pending) {
            const bool granted = result.decision == permit_decision::Granted;
            count(granted ? "permit_granted" : "permit_denied");
            return granted;
        }
        decision = m_pending[result.number].get_future();
        perform(result.actions);
    }
    const bool granted = decision.wait_for(MaxPermitWait) == std::future_status::ready && decision.get();
    count(granted ? "permit_granted" : "permit_denied");
    return granted;
}

void target_limits::recordResponse(const std::string& address, const header_list& headers)
{
    target_limit limit;
    if (const auto header = limitHeaderOf(headers)) {
        const auto number = parseNumber<double>(trimmed(*header));
        const auto named = number ? readLimit(*number) : named_limit { limit_reading::Invalid, std::nullopt };
        if (named.reading == limit_reading::Invalid) {
            m_metrics.add(counter_metric::BadInput, { { "entrance", "target_limit" } });
            logWarning("target limit", { { "address", address }, { "not a limit", *header } });
            return;
        }
        if (named.reading == limit_reading::Raised)
            count("raised");
        if (named.reading == limit_reading::Ignored)
            count("ignored");
        limit.requestsPerSecond = named.requestsPerSecond;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    perform(m_limiter.observe(limited_target(address), {}, limit, std::chrono::steady_clock::now()));
}

bool target_limits::isLimited(const std::string& address) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_limiter.limitOf(limited_target(address), 0).has_value();
}

std::optional<std::chrono::milliseconds> target_limits::retryAfterRefusal(const std::vector<std::string>& addresses)
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<limited_target> denied;
    std::optional<instant> next;
    std::chrono::milliseconds spread { 0 };
    for (const auto& address : addresses) {
        const limited_target target(address);
        const auto outlook = m_limiter.outlook(target);
        if (now >= outlook.nextPermit)
            continue;
        denied.push_back(target);
        next = std::min(next.value_or(outlook.nextPermit), outlook.nextPermit);
        spread = std::max(spread, outlook.spread);
    }
    if (!next)
        return std::nullopt;
    m_limiter.recordRefused(denied);
    const auto random = m_random.below(static_cast<std::uint64_t>(spread.count()) + 1);
    return std::chrono::ceil<std::chrono::milliseconds>(*next - now) + std::chrono::milliseconds(random);
}

void target_limits::setNodes(const std::vector<node_id>& usable, std::size_t knownNodes, instant now)
{
    std::vector<limit_node> others;
    for (const auto& node : usable) {
        if (node != m_peers.self())
            others.push_back({ node, {} });
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    perform(m_limiter.setNodes(std::move(others), knownNodes, now));
}

void target_limits::leave(instant now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    perform(m_limiter.leave(now));
}

// Messages are sent on the control loop, like those of all other parts.
void target_limits::perform(const target_limiter::actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* outgoing = std::get_if<send_target_limit_message>(&action)) {
            m_loop.post([this, outgoing = *outgoing](instant) {
                wire::envelope message;
                encode(outgoing.message, *message.mutable_target_limit());
                m_peers.send(outgoing.to, std::move(message));
            });
        } else if (const auto* decided = std::get_if<permit_decided>(&action)) {
            auto pending = m_pending.extract(decided->number);
            if (pending)
                pending.mapped().set_value(decided->granted);
        } else if (const auto* change = std::get_if<target_limit_changed>(&action)) {
            const auto limit = change->limit.requestsPerSecond;
            count(limit ? "limited" : "ended");
            logInfo("target limit",
                { { "address", change->target.value() }, { "per second", limit ? std::to_string(*limit) : "none" },
                    { "from", change->fromPeer ? "node" : "target" } });
        } else if (std::holds_alternative<outdated_limit_ignored>(action)) {
            count("outdated");
        } else if (const auto* unresponsive = std::get_if<limit_owner_unresponsive>(&action)) {
            count("owner_unresponsive");
            logWarning("target limit",
                { { "address", unresponsive->target.value() },
                    { "no answer from owner", unresponsive->owner.value() } });
        }
    }
}

void target_limits::count(const char* event)
{
    m_metrics.add(counter_metric::TargetLimits, { { "event", event } });
}

} // namespace oriolepick
