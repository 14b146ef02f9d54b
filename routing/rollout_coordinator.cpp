#include "routing/rollout_coordinator.h"

#include "routing/service_rollout.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

rollout_coordinator::rollout_coordinator(
    const node_id& self, std::uint64_t nodeStart, const rollout_settings& settings, seeded_random random)
    : m_self(self)
    , m_nodeStart(nodeStart)
    , m_settings(settings)
    , m_random(random)
    // Answers to an earlier process of this node must not be taken for answers to this one.
    , m_lastNumber(m_random.next() >> 1)
{
}

rollout_coordinator::~rollout_coordinator() = default;

service_rollout* rollout_coordinator::find(const service_name& service) const
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : found->second.get();
}

rollout_coordinator::actions rollout_coordinator::setNodes(std::vector<node_id> others, instant now)
{
    m_others = std::move(others);
    for (auto& [service, rollout] : m_rollouts)
        rollout->setNodes(m_others, now);
    return {};
}

rollout_coordinator::actions rollout_coordinator::setTargets(
    const service_name& service, const std::vector<rollout_target>& targets, instant now)
{
    auto& known = m_targets[service];
    std::set<std::string> versions;
    for (const auto& target : targets)
        versions.insert(target.version);
    for (const auto& version : versions) {
        if (!known.versions.empty() && known.versions.count(version) == 0)
            known.heldBack.emplace(version, now + m_settings.newsBound);
    }
    const auto forgetUnregistered = [&versions](auto& list, const auto& versionOf) {
        for (auto entry = list.begin(); entry != list.end();)
            entry = versions.count(versionOf(*entry)) > 0 ? std::next(entry) : list.erase(entry);
    };
    forgetUnregistered(known.heldBack, [](const auto& entry) { return entry.first; });
    forgetUnregistered(known.rejected, [](const auto& entry) { return entry; });
    known.versions = std::move(versions);
    known.targets = targets;
    if (auto* rollout = find(service))
        rollout->setTargets(targets, now);
    else if (targets.empty())
        m_targets.erase(service);
    return {};
}

rollout_coordinator::actions rollout_coordinator::orderSeen(const rollout_order& order, instant now)
{
    auto& rollout = m_rollouts[order.service];
    if (rollout && rollout->order().revision == order.revision)
        return {};
    actions out;
    auto& known = m_targets[order.service];
    if (rollout && rollout->phase() != rollout_phase::Done)
        known.rejected.insert(rollout->order().version);
    if (rollout)
        rollout->withdraw(out, now);
    known.rejected.erase(order.version);
    known.heldBack.erase(order.version);
    rollout = std::make_unique<service_rollout>(
        order, m_self, m_nodeStart, m_settings, seeded_random(m_random.next()), now);
    rollout->setNodes(m_others, now);
    rollout->setTargets(known.targets, now);
    return out;
}

rollout_coordinator::actions rollout_coordinator::orderRemoved(const service_name& service, instant now)
{
    actions out;
    auto* rollout = find(service);
    if (!rollout)
        return out;
    if (rollout->phase() == rollout_phase::Done) {
        m_rollouts.erase(service);
        return out;
    }
    // The object remains, for the targets that it excludes and until the ledger is written.
    rollout->withdraw(out, now);
    return out;
}

void rollout_coordinator::recordRequest(const service_name& service, instant)
{
    if (auto* rollout = find(service))
        rollout->recordRequest();
}

void rollout_coordinator::recordAnswer(const service_name& service, std::string_view route, const target_name& target,
    bool isNew, bool failed, std::chrono::milliseconds duration)
{
    if (auto* rollout = find(service))
        rollout->recordAnswer(route, target, isNew, failed, duration);
}

void rollout_coordinator::recordStart(const service_name& service, const std::string& version)
{
    if (auto* rollout = find(service))
        rollout->recordStart(version);
    auto& uses = m_inFlight[service];
    for (auto& use : uses) {
        if (use.version == version) {
            ++use.inFlight;
            return;
        }
    }
    uses.push_back({ version, 1 });
}

void rollout_coordinator::recordEnd(const service_name& service, const std::string& version)
{
    const auto found = m_inFlight.find(service);
    if (found == m_inFlight.end())
        return;
    auto& uses = found->second;
    for (auto use = uses.begin(); use != uses.end(); ++use) {
        if (use->version != version)
            continue;
        if (--use->inFlight == 0)
            uses.erase(use);
        return;
    }
}

std::uint64_t rollout_coordinator::oldInFlight(const service_name& service, const std::string& version) const
{
    const auto found = m_inFlight.find(service);
    std::uint64_t count = 0;
    if (found != m_inFlight.end()) {
        for (const auto& use : found->second)
            count += use.version == version ? 0 : use.inFlight;
    }
    return count;
}

exposure_result rollout_coordinator::requestPermit(const service_name& service, instant now)
{
    exposure_result result;
    if (auto* rollout = find(service)) {
        result.decision = rollout->requestPermit(result.actions, m_lastNumber + 1, now);
        if (result.decision == exposure_decision::Pending)
            result.number = ++m_lastNumber;
    }
    return result;
}

rollout_coordinator::actions rollout_coordinator::receive(
    const node_id& from, const rollout_message& message, instant now)
{
    actions out;
    if (const auto* answer = std::get_if<exposure_answer>(&message)) {
        for (auto& [service, rollout] : m_rollouts) {
            if (rollout->receiveAnswer(out, *answer, now))
                break;
        }
    } else if (const auto* report = std::get_if<rollout_report>(&message)) {
        if (auto* rollout = find(report->service))
            rollout->receiveReport(out, from, *report, now);
    } else if (const auto* state = std::get_if<rollout_state>(&message)) {
        if (auto* rollout = find(state->service))
            rollout->receiveState(out, from, *state, now);
    } else if (const auto* request = std::get_if<exposure_request>(&message)) {
        if (auto* rollout = find(request->service))
            rollout->receiveRequest(out, from, *request, now);
    }
    return out;
}

rollout_coordinator::actions rollout_coordinator::ledgerRead(const service_name& service, std::uint64_t revision,
    const std::optional<rollout_ledger>& ledger, std::chrono::milliseconds storeNow, instant now)
{
    if (auto* rollout = find(service))
        rollout->decider().ledgerRead(revision, ledger, storeNow, now);
    return tick(now);
}

rollout_coordinator::actions rollout_coordinator::ledgerUnreadable(const service_name& service, instant now)
{
    if (auto* rollout = find(service))
        rollout->decider().ledgerUnreadable(now);
    return tick(now);
}

rollout_coordinator::actions rollout_coordinator::ledgerCommitted(
    const service_name& service, commit_outcome outcome, std::uint64_t revision, std::chrono::milliseconds, instant now)
{
    if (auto* rollout = find(service))
        rollout->decider().ledgerCommitted(outcome, revision, now);
    return tick(now);
}

rollout_coordinator::actions rollout_coordinator::tick(instant now)
{
    actions out;
    for (auto& [service, rollout] : m_rollouts) {
        if (now >= rollout->nextDue())
            rollout->tick(out, oldInFlight(service, rollout->order().version), now);
    }
    return out;
}

instant rollout_coordinator::nextDue() const
{
    auto due = instant::max();
    for (const auto& [service, rollout] : m_rollouts)
        due = std::min(due, rollout->nextDue());
    return due;
}

version_choice rollout_coordinator::choiceFor(const service_name& service, instant now) const
{
    using kind = version_choice::kind;
    const auto* rollout = find(service);
    auto choice = rollout ? rollout->choice(now) : version_choice {};
    const auto found = m_targets.find(service);
    if (choice.which == kind::NewOnly || found == m_targets.end()
        || (found->second.heldBack.empty() && found->second.rejected.empty()))
        return choice;
    // More than one version may have to be avoided: one held back or rejected earlier, and that of the order.
    const auto& known = found->second;
    std::set<std::string> usable;
    std::set<std::string> avoided;
    for (const auto& version : known.versions) {
        const auto held = known.heldBack.find(version);
        const bool isAvoided = (held != known.heldBack.end() && now < held->second) || known.rejected.count(version) > 0
            || (choice.which == kind::OldOnly && version == choice.version);
        (isAvoided ? avoided : usable).insert(version);
    }
    if (avoided.empty() || usable.empty())
        return choice;
    if (usable.size() == 1)
        return { kind::NewOnly, *usable.begin() };
    return choice.which == kind::OldOnly ? choice : version_choice { kind::OldOnly, *avoided.begin() };
}

bool rollout_coordinator::mayExpose(const service_name& service, instant now) const
{
    const auto* rollout = find(service);
    return rollout && rollout->mayExpose(now);
}

bool rollout_coordinator::isCanary(const service_name& service, const target_name& target) const
{
    const auto* rollout = find(service);
    return rollout && rollout->isCanary(target);
}

std::optional<rollout_phase> rollout_coordinator::phaseOf(const service_name& service) const
{
    const auto* rollout = find(service);
    return rollout ? rollout->phase() : std::nullopt;
}

} // namespace oriolepick
