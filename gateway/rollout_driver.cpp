#include "gateway/rollout_driver.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/rollout_store.h"

#include <utility>

namespace oriolepick {

namespace {

    /// Targets whose registrations expired in an outage of the store end without a change of a row.
    constexpr std::chrono::milliseconds TargetRefreshPeriod { 1'000 };

    const char* nameOf(rollout_phase phase)
    {
        switch (phase) {
        case rollout_phase::Observing:
            return "observing";
        case rollout_phase::Shifting:
            return "shifting";
        case rollout_phase::Done:
            return "done";
        case rollout_phase::RolledBack:
            break;
        }
        return "rolled_back";
    }

    const char* nameOf(commit_outcome outcome)
    {
        switch (outcome) {
        case commit_outcome::Committed:
            return "committed";
        case commit_outcome::Conflict:
            return "conflict";
        case commit_outcome::Unknown:
            break;
        }
        return "unknown";
    }

} // namespace

rollout_driver::rollout_driver(const node_id& self, std::uint64_t nodeStart, const rollout_settings& settings,
    seeded_random random, sender send, rollout_store& store, target_tracker& targetTracker, timer_queue& timers,
    decision_log& log, gateway_metrics& metrics)
    : m_send(std::move(send))
    , m_store(store)
    , m_targetTracker(targetTracker)
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_coordinator(self, nodeStart, settings, random)
    , m_tickDue(instant::max())
{
}

rollout_driver::~rollout_driver()
{
    m_timers.cancel(m_tickTimer);
    m_timers.cancel(m_targetTimer);
}

void rollout_driver::setNodes(std::vector<node_id> others)
{
    perform(m_coordinator.setNodes(std::move(others), m_timers.now()));
}

// A ledger that was to be read counts as unreadable, so that the coordinator asks again if it is still the decider.
void rollout_driver::membershipSettled()
{
    m_isSettled = true;
    for (const auto& service : std::exchange(m_postponedReads, {}))
        perform(m_coordinator.ledgerUnreadable(service, m_timers.now()));
}

void rollout_driver::orderSeen(const rollout_order& order)
{
    applyTargets(); // targets that registered before this order
    const auto known = m_orders.find(order.service);
    const bool isNew = known == m_orders.end() || known->second.order.revision != order.revision;
    if (isNew) {
        m_orders[order.service] = { order };
        m_lastOrders[order.service] = order.revision;
        m_metrics.count("rollout_orders");
        m_log.write("rollout_order",
            { { "service", order.service.value() }, { "version", order.version },
                { "order", std::to_string(order.revision) },
                { "duration_ms", std::to_string(order.duration.count()) } });
    }
    perform(m_coordinator.orderSeen(order, m_timers.now()));
    scheduleTargets(m_timers.now() + TargetRefreshPeriod);
}

void rollout_driver::orderRemoved(const service_name& service)
{
    const auto known = m_orders.find(service);
    if (known == m_orders.end())
        return;
    m_metrics.count("rollout_orders_withdrawn");
    m_log.write("rollout_order_withdrawn",
        { { "service", service.value() }, { "version", known->second.order.version },
            { "order", std::to_string(known->second.order.revision) } });
    perform(m_coordinator.orderRemoved(service, m_timers.now()));
    m_orders.erase(service);
}

std::vector<service_name> rollout_driver::orderedServices() const
{
    std::vector<service_name> services;
    for (const auto& [service, state] : m_orders)
        services.push_back(service);
    return services;
}

// Many rows change together when a service starts, so targets are passed on before the next decision, at the latest
// when the event loop is idle.
void rollout_driver::targetsChanged(const service_name& service)
{
    if (m_changedServices.insert(service).second)
        scheduleTargets(m_timers.now());
}

void rollout_driver::scheduleTargets(instant due)
{
    if (m_targetTimer)
        return;
    m_targetTimer = m_timers.at(due, [this] {
        m_targetTimer = 0;
        for (const auto& [service, state] : m_orders)
            m_changedServices.insert(service);
        applyTargets();
        if (!m_orders.empty())
            scheduleTargets(m_timers.now() + TargetRefreshPeriod);
    });
}

void rollout_driver::applyTargets()
{
    if (m_changedServices.empty())
        return;
    for (const auto& service : std::exchange(m_changedServices, {})) {
        std::vector<rollout_target> targets;
        for (auto& target : m_targetTracker.registeredTargets(service, m_timers.now()))
            targets.push_back({ std::move(target.name), std::move(target.zone), std::move(target.version) });
        perform(m_coordinator.setTargets(service, targets, m_timers.now()));
    }
}

void rollout_driver::receive(const node_id& from, const rollout_message& message)
{
    applyTargets();
    perform(m_coordinator.receive(from, message, m_timers.now()));
}

std::optional<version_condition> rollout_driver::conditionOf(const service_name& service)
{
    applyTargets();
    auto choice = m_coordinator.choiceFor(service, m_timers.now());
    if (choice.which == version_choice::kind::Any)
        return std::nullopt;
    return version_condition { std::move(choice.version), choice.which == version_choice::kind::OldOnly };
}

std::vector<target_name> rollout_driver::canariesOf(const service_name& service)
{
    std::vector<target_name> canaries;
    for (auto& target : m_targetTracker.registeredTargets(service, m_timers.now())) {
        if (mayExposeTo(target))
            canaries.push_back(std::move(target.name));
    }
    return canaries;
}

bool rollout_driver::mayExposeTo(const target_entry& target)
{
    applyTargets();
    const auto known = m_orders.find(target.service);
    return known != m_orders.end() && known->second.order.version == target.version
        && m_coordinator.phaseOf(target.service) == rollout_phase::Observing
        && m_coordinator.isCanary(target.service, target.name);
}

bool rollout_driver::mayExpose(const service_name& service)
{
    applyTargets();
    return m_coordinator.mayExpose(service, m_timers.now());
}

std::optional<bool> rollout_driver::requestPermit(const service_name& service, callback done)
{
    auto result = m_coordinator.requestPermit(service, m_timers.now());
    const bool isPending = result.decision == exposure_decision::Pending;
    if (isPending)
        m_pending[result.number] = { service, std::move(done) };
    perform(result.actions);
    if (isPending)
        return std::nullopt;
    const bool granted = result.decision == exposure_decision::Granted;
    if (granted) // most requests are not sampled, which is no denial
        recordDecision(service, granted);
    return granted;
}

void rollout_driver::recordDecision(const service_name& service, bool granted)
{
    m_metrics.count(granted ? "rollout_permits_granted" : "rollout_permits_denied");
    const auto known = m_orders.find(service);
    if (known != m_orders.end() && granted)
        ++known->second.permits;
}

void rollout_driver::recordRequest(const service_name& service)
{
    m_coordinator.recordRequest(service, m_timers.now());
}

void rollout_driver::recordStart(const target_entry& target)
{
    m_coordinator.recordStart(target.service, target.version);
}

void rollout_driver::recordEnd(const target_entry& target)
{
    m_coordinator.recordEnd(target.service, target.version);
}

void rollout_driver::recordAnswer(
    const target_entry& target, std::string_view route, bool failed, std::chrono::milliseconds duration)
{
    const auto known = m_orders.find(target.service);
    if (known == m_orders.end())
        return;
    auto& state = known->second;
    const bool isNew = target.version == state.order.version;
    ++(isNew ? state.newAnswers : state.oldAnswers);
    (isNew ? state.newFailures : state.oldFailures) += failed;
    if (isNew && failed)
        m_metrics.count("rollout_failures");
    m_coordinator.recordAnswer(target.service, route, target.name, isNew, failed, duration);
}

void rollout_driver::perform(const actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* outgoing = std::get_if<send_rollout_message>(&action)) {
            m_send(outgoing->to, outgoing->message);
        } else if (const auto* read = std::get_if<read_ledger>(&action)) {
            performRead(read->service);
        } else if (const auto* commit = std::get_if<commit_ledger>(&action)) {
            performCommit(*commit);
        } else if (const auto* decided = std::get_if<exposure_decided>(&action)) {
            const auto pending = m_pending.extract(decided->number);
            if (!pending)
                continue;
            recordDecision(pending.mapped().service, decided->granted);
            pending.mapped().done(decided->granted);
        } else if (const auto* change = std::get_if<rollout_changed>(&action)) {
            logChange(*change);
        }
    }
    scheduleTick();
}

void rollout_driver::performRead(const service_name& service)
{
    if (!m_isSettled) {
        m_postponedReads.insert(service);
        return;
    }
    m_metrics.count("rollout_ledger_reads");
    m_store.read(service, [this, service, order = m_lastOrders[service]](const ledger_reading& reading) {
        if (order != m_lastOrders[service])
            return; // a later order has made its own call
        applyTargets();
        if (!reading.isRead) {
            m_metrics.count("rollout_ledger_read_failures");
            m_log.write(
                "rollout_ledger_unreadable", { { "service", service.value() }, { "problem", reading.problem } });
            perform(m_coordinator.ledgerUnreadable(service, m_timers.now()));
            return;
        }
        const auto known = m_orders.find(service);
        if (known != m_orders.end() && reading.ledger && reading.ledger->order == known->second.order.revision)
            known->second.reserved = reading.ledger->reserved;
        perform(m_coordinator.ledgerRead(service, reading.revision, reading.ledger, reading.storeNow, m_timers.now()));
    });
}

void rollout_driver::performCommit(const commit_ledger& commit)
{
    m_metrics.count("rollout_ledger_writes");
    m_store.write(commit, [this, commit, order = m_lastOrders[commit.service]](const ledger_writing& writing) {
        if (order != m_lastOrders[commit.service])
            return; // a later order has made its own call
        applyTargets();
        if (writing.outcome == commit_outcome::Committed) {
            const auto known = m_orders.find(commit.service);
            if (known != m_orders.end() && commit.ledger.order == known->second.order.revision)
                known->second.reserved = commit.ledger.reserved;
        } else {
            m_metrics.count(writing.outcome == commit_outcome::Conflict ? "rollout_ledger_conflicts"
                                                                        : "rollout_ledger_write_failures");
            m_log.write("rollout_ledger_not_written",
                { { "service", commit.service.value() }, { "order", std::to_string(commit.ledger.order) },
                    { "phase", nameOf(commit.ledger.phase) }, { "outcome", nameOf(writing.outcome) },
                    { "problem", writing.problem } });
        }
        perform(m_coordinator.ledgerCommitted(
            commit.service, writing.outcome, writing.revision, writing.storeNow, m_timers.now()));
    });
}

void rollout_driver::logChange(const rollout_changed& change)
{
    const auto known = m_orders.find(change.service);
    const auto seen = known == m_orders.end() ? order_state {} : known->second;
    if (change.phase == rollout_phase::Done)
        m_metrics.count("rollouts_done");
    if (change.phase == rollout_phase::RolledBack)
        m_metrics.count("rollouts_rolled_back");
    m_log.write("rollout_phase",
        { { "service", change.service.value() }, { "version", change.version },
            { "order", std::to_string(seen.order.revision) }, { "phase", nameOf(change.phase) },
            { "why", change.reason }, { "new_answers", std::to_string(seen.newAnswers) },
            { "new_failures", std::to_string(seen.newFailures) }, { "old_answers", std::to_string(seen.oldAnswers) },
            { "old_failures", std::to_string(seen.oldFailures) }, { "permits", std::to_string(seen.permits) },
            { "reserved", std::to_string(seen.reserved) } });
}

void rollout_driver::scheduleTick()
{
    const auto due = m_coordinator.nextDue();
    if (m_tickTimer && due >= m_tickDue)
        return;
    m_timers.cancel(m_tickTimer);
    m_tickDue = due;
    if (due == instant::max())
        return;
    m_tickTimer = m_timers.at(due, [this] {
        m_tickTimer = 0;
        applyTargets();
        perform(m_coordinator.tick(m_timers.now()));
    });
}

} // namespace oriolepick
