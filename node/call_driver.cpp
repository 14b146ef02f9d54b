#include "node/call_driver.h"

#include "core/fleet_state.h"
#include "core/grant_owner.h"
#include "node/active_call.h"
#include "node/control_loop.h"
#include "node/crash_guard.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/peer_hub.h"
#include "node/target_directory.h"
#include "node/target_limits.h"
#include "ports/table_service.h"
#include "wire/messages.pb.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::size_t TableThreads = 4;
    constexpr std::size_t SendThreads = 64;
    constexpr std::size_t TaskCapacity = 8192;
    constexpr std::chrono::milliseconds CollectPeriod { 500 };
    constexpr std::chrono::milliseconds EndedRetryAfter { 1000 };

    clock_reading timeNow()
    {
        return { std::chrono::steady_clock::now(), std::chrono::system_clock::now() };
    }

    std::string contentTypeOf(const header_list& headers)
    {
        for (const auto& [name, value] : headers) {
            std::string lower = name;
            std::transform(lower.begin(), lower.end(), lower.begin(),
                [](unsigned char character) { return std::tolower(character); });
            if (lower == "content-type")
                return value;
        }
        return "application/octet-stream";
    }

} // namespace

call_driver::call_driver(table_service& table, service_client& services, target_directory& targets,
    crash_guard& crashes, target_limits& limits, active_calls& active, peer_hub& peers, control_loop& loop,
    node_metrics& metrics, std::chrono::milliseconds tableTimeout, std::uint64_t seed)
    : m_table(table)
    , m_services(services)
    , m_targets(targets)
    , m_crashes(crashes)
    , m_limits(limits)
    , m_active(active)
    , m_peers(peers)
    , m_loop(loop)
    , m_metrics(metrics)
    , m_tableTimeout(tableTimeout)
    , m_desk(peers.self(), peers.incarnation(), {}, {}, m_codec, seed)
    , m_collector({}, m_codec)
    , m_tableTasks(TableThreads, TaskCapacity)
    , m_sendTasks(SendThreads, TaskCapacity)
{
    registerMessages();
    loop.whenDue([this] { return m_desk.wakeAt(); },
        [this](instant now) {
            execute(m_desk.tick({ now, std::chrono::system_clock::now() }));
        });
    loop.every(CollectPeriod, [this](instant now) { collectGarbage(now); });
}

void call_driver::registerMessages()
{
    m_peers.handle(
        wire::envelope::kClaimInquiry, [this](const node_id& sender, const wire::envelope& message, instant) {
            const auto& claimInquiry = message.claim_inquiry();
            const auto team = team_id::parse(claimInquiry.team());
            if (!team || claimInquiry.key().empty())
                return false;
            execute(m_desk.claimInquiry(timeNow(), sender, { *team, claimInquiry.key() }, claimInquiry.claim_id()));
            return true;
        });
    m_peers.handle(wire::envelope::kClaimNotice, [this](const node_id&, const wire::envelope& message, instant) {
        const auto row = m_codec.decode(message.claim_notice().row());
        if (row)
            execute(m_desk.claimNotice(timeNow(), row.value()));
        return row.has_value();
    });
}

void call_driver::open(call_request request, call_dispatch dispatch, reply_handler onReply)
{
    m_loop.post(
        [this, request = std::move(request), dispatch = std::move(dispatch), onReply = std::move(onReply)](instant) {
            auto [number, actions] = m_desk.open(timeNow(), request);
            m_calls[number] = { dispatch, onReply, false };
            execute(actions);
        });
}

void call_driver::refuse(call_request request, error reason, reply_handler onReply)
{
    m_loop.post(
        [this, request = std::move(request), reason = std::move(reason), onReply = std::move(onReply)](instant) {
            auto [number, actions] = m_desk.openRefused(timeNow(), request, reason);
            m_calls[number] = { {}, onReply, false };
            execute(actions);
        });
}

call_reply call_driver::lookUp(const request_key& key) const
{
    const auto row = m_table.read(callRowKey(key), m_tableTimeout);
    if (!row)
        return row.error();
    std::optional<call_row> known;
    if (row.value()) {
        auto decoded = m_codec.decode(row.value()->value);
        if (!decoded)
            return decoded.error();
        known = decoded.value();
    }
    return describeCall(known, std::chrono::system_clock::now());
}

void call_driver::execute(const coordinator_actions& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& typed) { run(typed); }, action);
}

void call_driver::run(const commit_call_rows& action)
{
    const bool queued = m_tableTasks.submit([this, transaction = action.transaction] {
        const auto outcome = m_table.commit(transaction, m_tableTimeout);
        m_loop.post([this, outcome](instant) {
            m_metrics.add(counter_metric::PlatformOperations,
                { { "operation", "call_commit" },
                    { "outcome", outcome ? "ok" : std::string(errorResponseFor(outcome.error().kind).code) } });
            execute(m_desk.commitFinished(timeNow(), outcome));
        });
    });
    if (!queued)
        m_loop.post([this](instant) {
            execute(m_desk.commitFinished(
                timeNow(), error { error_kind::PlatformUnavailable, "the node's queue is full", {} }));
        });
}

void call_driver::run(const fetch_call_row& action)
{
    const bool queued = m_tableTasks.submit([this, action] {
        const auto row = m_table.read(action.key, m_tableTimeout);
        const auto epoch = m_table.epoch();
        m_loop.post(
            [this, action, row, epoch](instant) { execute(m_desk.rowRead(timeNow(), action.number, row, epoch)); });
    });
    if (!queued)
        m_loop.post([this, action](instant) {
            execute(m_desk.rowRead(
                timeNow(), action.number, error { error_kind::PlatformUnavailable, "the node's queue is full", {} }));
        });
}

void call_driver::run(const place_call& action)
{
    const auto call = m_calls.find(action.number);
    if (call == m_calls.end())
        return;
    placement_query query;
    query.work = call->second.dispatch.service;
    query.priority = request_priority::Urgent;
    query.excluded = action.excluded;
    const auto chosen = m_targets.choose(query, call->second.dispatch.targets, 0, std::chrono::steady_clock::now());
    if (const auto* none = std::get_if<placement_failure>(&chosen))
        execute(m_desk.noTarget(timeNow(), action.number,
            m_limits.retryAfterRefusal(m_targets.addressesOf(call->second.dispatch.targets))
                .value_or(none->retryAfter)));
    else
        execute(m_desk.targetChosen(timeNow(), action.number, std::get<placed_target>(chosen).target));
}

void call_driver::run(const send_call& action)
{
    const auto call = m_calls.find(action.number);
    const auto address = m_targets.addressOf(action.target);
    if (call == m_calls.end() || !address) {
        execute(m_desk.dispatchUnsent(timeNow(), action.number));
        return;
    }
    if (std::exchange(call->second.sent, true)) {
        const auto& service = call->second.dispatch.service;
        m_metrics.add(
            counter_metric::RepeatedCalls, { { "fleet", service.fleet().value() }, { "service", service.text() } });
        logError("call dispatched twice", { { "service", service.text() } });
    }
    const auto& dispatch = call->second.dispatch;
    const bool queued = m_sendTasks.submit(
        [this, action, address = *address, request = dispatch.request, timeouts = dispatch.timeouts,
            fingerprint = dispatch.fingerprint, service = dispatch.service.text()] {
            active_call active(m_active);
            m_crashes.attemptStarted(fingerprint, action.target, nullptr);
            const auto outcome
                = std::make_shared<service_outcome>(m_services.call(address, request, timeouts, active.handle()));
            if (outcome->kind == service_outcome_kind::MayHaveRun) {
                logWarning("call ended without a response",
                    { { "service", service }, { "target", action.target.text() }, { "reason", outcome->detail } });
                m_crashes.callLost(action.target);
            }
            m_crashes.attemptEnded(fingerprint, action.target, nullptr);
            m_loop.post(
                [this, action, outcome](instant) { finishSend(action.number, action.target, std::move(*outcome)); });
        });
    if (!queued)
        finishSend(action.number, action.target, {});
}

void call_driver::finishSend(call_number number, const target_id& target, service_outcome outcome)
{
    m_targets.recordFinished(target, 0, true, std::chrono::steady_clock::now());
    switch (outcome.kind) {
    case service_outcome_kind::Response:
        execute(m_desk.dispatchAnswered(timeNow(), number,
            { outcome.status, contentTypeOf(outcome.headers), std::move(outcome.body), std::move(outcome.memory) }));
        break;
    case service_outcome_kind::NotSent: {
        if (!outcome.limited)
            m_targets.recordUnreachable(target);
        const auto call = m_calls.find(number);
        if (call != m_calls.end())
            call->second.sent = false;
        execute(m_desk.dispatchUnsent(timeNow(), number));
        break;
    }
    case service_outcome_kind::MayHaveRun:
        execute(m_desk.dispatchInterrupted(timeNow(), number));
        break;
    }
}

void call_driver::run(const answer_caller& action)
{
    const auto call = m_calls.find(action.number);
    if (call == m_calls.end())
        return;
    call->second.onReply(action.reply);
    // The dispatch is kept no longer: the desk never sends after it has answered.
    m_calls.erase(call);
}

void call_driver::run(const send_claim_inquiry& action)
{
    if (action.node == m_peers.self()) {
        execute(m_desk.claimInquiry(timeNow(), action.node, action.key, action.claimId));
        return;
    }
    wire::envelope message;
    auto& claimInquiry = *message.mutable_claim_inquiry();
    claimInquiry.set_team(action.key.team.text());
    claimInquiry.set_key(action.key.key);
    claimInquiry.set_claim_id(action.claimId);
    m_peers.send(action.node, std::move(message));
}

void call_driver::run(const send_claim_notice& action)
{
    if (action.node == m_peers.self()) {
        execute(m_desk.claimNotice(timeNow(), action.row));
        return;
    }
    wire::envelope message;
    message.mutable_claim_notice()->set_row(m_codec.encode(action.row));
    m_peers.send(action.node, std::move(message));
}

void call_driver::setNodes(const std::vector<node_id>& usable, instant)
{
    for (const auto& node : m_nodes) {
        if (std::find(usable.begin(), usable.end(), node) == usable.end())
            execute(m_desk.nodeLost(timeNow(), node));
    }
    m_nodes = usable;
    m_desk.setFleetSize(std::max<std::size_t>(1, usable.size()));
    updatePrefixes();
}

void call_driver::applyState(const std::shared_ptr<const fleet_state>& state)
{
    m_teams.clear();
    for (const auto& [team, settings] : state->teams())
        m_teams.push_back(team);
    std::sort(m_teams.begin(), m_teams.end());
    updatePrefixes();
}

void call_driver::updatePrefixes()
{
    std::vector<std::string> prefixes;
    for (const auto& team : m_teams) {
        if (grantOwnerOf(team, m_nodes) == m_peers.self())
            prefixes.push_back(callRowPrefix(team));
    }
    m_collector.setPrefixes(std::move(prefixes));
}

void call_driver::collectGarbage(instant now)
{
    const auto scan = m_collector.takeScan(now);
    if (!scan)
        return;
    const auto finish = [this](const result<std::vector<table_row>>& page) {
        const auto deletions = m_collector.finishScan(timeNow(), page);
        if (deletions)
            m_tableTasks.submit([this, deletions = *deletions] { (void)m_table.commit(deletions, m_tableTimeout); });
    };
    const bool queued = m_tableTasks.submit([this, scan = *scan, finish] {
        const auto page = m_table.scan(scan.prefix, scan.after, scan.limit, m_tableTimeout);
        m_loop.post([finish, page](instant) { finish(page); });
    });
    if (!queued)
        finish(error { error_kind::PlatformUnavailable, "the node's queue is full", {} });
}

void call_driver::endUnsent()
{
    for (auto call = m_calls.begin(); call != m_calls.end();) {
        if (call->second.sent) {
            ++call;
            continue;
        }
        // The key's row may be claimed, also by another node.
        call->second.onReply(error { error_kind::ClaimUnavailable, "this node is leaving", EndedRetryAfter });
        call = m_calls.erase(call);
    }
}

void call_driver::stop()
{
    m_sendTasks.stop();
    m_tableTasks.stop();
}

} // namespace oriolepick
