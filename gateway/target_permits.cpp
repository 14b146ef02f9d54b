#include "gateway/target_permits.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/request_dialect.h"

#include <string>
#include <utility>

namespace oriolepick {

namespace {

    limited_target nameOf(const target_name& target)
    {
        return limited_target(target.value());
    }

} // namespace

target_permits::target_permits(const limit_node& self, sender send, std::function<bool()> isInputPending,
    target_tracker& targetTracker, timer_queue& timers, decision_log& log, gateway_metrics& metrics)
    : m_send(std::move(send))
    , m_isInputPending(std::move(isInputPending))
    , m_targetTracker(targetTracker)
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_limiter(self, target_limiter_settings {}, timers.now())
    , m_tickDue(instant::max())
{
}

target_permits::~target_permits()
{
    m_timers.cancel(m_tickTimer);
}

void target_permits::setNodes(std::vector<limit_node> others, std::size_t knownNodes)
{
    perform(m_limiter.setNodes(std::move(others), knownNodes, m_timers.now()));
}

void target_permits::leave()
{
    perform(m_limiter.leave(m_timers.now()));
}

void target_permits::receive(const node_id& from, const target_limit_message& message)
{
    perform(m_limiter.receive(from, message, m_timers.now()));
}

void target_permits::recordReply(const target_name& target, std::uint64_t startedAt, const target_reply& reply)
{
    const auto* entry = m_targetTracker.find(target);
    if (!entry)
        return;
    target_limit limit { std::nullopt, startedAt };
    if (reply.requestLimitInvalid) {
        m_metrics.count("limits_unreadable");
        return;
    }
    if (reply.requestLimit) {
        m_metrics.count("limits_named");
        const auto named = readLimit(*reply.requestLimit);
        limit.requestsPerSecond = named.requestsPerSecond;
        if (named.reading == limit_reading::Raised)
            m_metrics.count("limits_raised");
        if (named.reading == limit_reading::Ignored)
            m_metrics.count("limits_ignored");
        if (named.reading == limit_reading::Invalid) {
            m_metrics.count("limits_unreadable");
            return;
        }
    } else if (!reply.signedByTarget) {
        return; // refusals, reports and broken responses do not always carry the limit
    }
    perform(m_limiter.observe(nameOf(target), entry->zone, limit, m_timers.now()));
}

bool target_permits::isLimited(const target_entry& target) const
{
    return m_limiter.limitOf(nameOf(target.name), target.startedAt).has_value();
}

void target_permits::acquire(const target_entry& target, callback done)
{
    auto result = m_limiter.acquire(nameOf(target.name), target.startedAt, m_timers.now());
    if (result.decision == permit_decision::Pending) {
        m_pending[result.number] = { target, std::move(done) };
        perform(result.actions);
        return;
    }
    if (result.decision == permit_decision::NotNeeded)
        done(true);
    else
        decide(target, done, result.decision == permit_decision::Granted);
}

void target_permits::decide(const target_entry& target, const callback& done, bool granted)
{
    m_metrics.count(granted ? "permits_granted" : "permits_denied");
    if (!granted) {
        const auto outlook = m_limiter.outlook(nameOf(target.name));
        m_targetTracker.recordLimitReached(target.name, outlook.nextPermit, outlook.spread);
    }
    done(granted);
}

void target_permits::recordRefused(const service_name& service)
{
    std::vector<limited_target> targets;
    for (const auto& target : m_targetTracker.limitedTargets(service, m_timers.now()))
        targets.push_back(nameOf(target));
    m_limiter.recordRefused(targets);
}

void target_permits::perform(const target_limiter::actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* outgoing = std::get_if<send_target_limit_message>(&action)) {
            m_send(outgoing->to, outgoing->message);
        } else if (const auto* decided = std::get_if<permit_decided>(&action)) {
            const auto pending = m_pending.extract(decided->number);
            if (pending)
                decide(pending.mapped().target, pending.mapped().done, decided->granted);
        } else if (const auto* change = std::get_if<target_limit_changed>(&action)) {
            logChange(*change);
        } else if (const auto* outdated = std::get_if<outdated_limit_ignored>(&action)) {
            m_metrics.count("limits_outdated");
            m_log.write("limit_outdated", { { "target", outdated->target.value() } });
        } else if (const auto* unresponsive = std::get_if<limit_owner_unresponsive>(&action)) {
            m_metrics.count("limit_owners_unresponsive");
            m_log.write("limit_owner_unresponsive",
                { { "target", unresponsive->target.value() }, { "owner", unresponsive->owner.value() } });
        }
    }
    scheduleTick();
}

void target_permits::logChange(const target_limit_changed& change)
{
    const std::string source = change.fromPeer ? "node" : "target";
    if (change.limit.requestsPerSecond)
        m_log.write("target_limit",
            { { "target", change.target.value() }, { "per_second", std::to_string(*change.limit.requestsPerSecond) },
                { "from", source } });
    else
        m_log.write("target_limit_ended", { { "target", change.target.value() }, { "from", source } });
}

void target_permits::scheduleTick()
{
    const auto due = m_limiter.nextDue();
    if (m_tickTimer && due >= m_tickDue)
        return;
    m_timers.cancel(m_tickTimer);
    m_tickDue = due;
    m_tickTimer = m_timers.at(due, [this] {
        m_tickTimer = 0;
        perform(m_limiter.tick(m_timers.now(), m_isInputPending()));
    });
}

} // namespace oriolepick
