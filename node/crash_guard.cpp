#include "node/crash_guard.h"

#include "core/rendezvous.h"
#include "core/stable_hash.h"
#include "node/control_loop.h"
#include "node/event_channel.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/peer_hub.h"
#include "node/target_directory.h"
#include "ports/table_service.h"
#include "targets/engine_client.h"
#include "targets/service_client.h"
#include "wire/messages.pb.h"

#include <algorithm>
#include <set>
#include <utility>

namespace oriolepick {

namespace {

    // A crashed process refuses the connection at once. One that does not answer in this time is paused, not crashed,
    // and the resume must not wait longer.
    constexpr std::chrono::milliseconds CrashCheckTimeout { 50 };
    /// Connections to one target break within milliseconds of its end; a process is not back and ended again so soon.
    constexpr std::chrono::milliseconds SameServiceCrash { 500 };
    constexpr std::chrono::milliseconds ExpirePeriod { 60'000 };
    constexpr std::chrono::milliseconds BusyRetry { 1000 };
    constexpr int ReleaseTries = 5;
    constexpr std::size_t MaximumKnownCrashes = 4096;
    /// A part that crashed its targets is tried again this long after the last crash, by one node.
    constexpr std::chrono::seconds PartTrialDelay { 60 };
    constexpr std::size_t MaximumReportedParts = 512;
    /// From the end of a broken connection until its target is found to have crashed.
    constexpr std::chrono::seconds BrokenOffWindow { 1 };

    wall_time wallNow()
    {
        return std::chrono::system_clock::now();
    }

} // namespace

crash_guard::crash_guard(std::string holderPrefix, table_service& table, engine_client& engines,
    service_client& services, const target_directory& targets, peer_hub& peers, control_loop& loop,
    node_metrics& metrics, std::chrono::milliseconds tableTimeout)
    : m_holderPrefix(std::move(holderPrefix))
    , m_table(table)
    , m_engines(engines)
    , m_services(services)
    , m_targets(targets)
    , m_peers(peers)
    , m_loop(loop)
    , m_metrics(metrics)
    , m_tableTimeout(tableTimeout)
    , m_ledger(crash_ledger_settings {})
{
    peers.handle(wire::envelope::kCrashReport, [this](const node_id&, const wire::envelope& message, instant) {
        const auto& report = message.crash_report();
        const auto target = target_id::parse(report.target());
        if (!target)
            return false;
        crash_event event { report.crash(), *target, wallNow(),
            { report.in_flight().begin(), report.in_flight().end() } };
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            event.concurrentRequests = report.concurrent_requests();
            for (const auto& each : report.parts()) {
                event.parts.push_back({ each.part(), each.request() });
                m_ledger.recordShare(
                    each.part(), stableHash(message.sender()), { each.sound_runs(), report.all_sound_runs() });
                m_ledger.recordShare(
                    each.part(), 0, m_soundRuns.shareOf(each.part(), std::chrono::steady_clock::now()));
            }
            m_ledger.recordCrash(event.at, event);
        }
        notifyStreams(event.target);
        return true;
    });
    peers.handle(wire::envelope::kPartsCleared, [this](const node_id&, const wire::envelope& message, instant) {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto part : message.parts_cleared().parts())
            m_ledger.clear(wallNow(), part);
        return true;
    });
    loop.every(ExpirePeriod, [this](instant) { expire(); });
}

void crash_guard::expire()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_brokenOff.clear();
    m_ledger.expire(wallNow());
    m_metrics.set(gauge_metric::Quarantined, {}, static_cast<double>(m_ledger.quarantined(wallNow())));
}

template <typename Action> permit_ended::end crash_guard::runPermit(crash_permit& permit, Action action)
{
    permit_action next = [&] {
        std::lock_guard<std::mutex> lock(m_mutex);
        return action(permit);
    }();
    while (!std::holds_alternative<permit_ended>(next)) {
        if (std::holds_alternative<read_crash_row>(next)) {
            const auto row = m_table.read(crashRowKey(permit.fingerprint()), m_tableTimeout);
            std::lock_guard<std::mutex> lock(m_mutex);
            next = permit.rowRead(wallNow(), row);
            continue;
        }
        const auto outcome = m_table.commit(std::get<write_crash_row>(next).transaction, m_tableTimeout);
        std::lock_guard<std::mutex> lock(m_mutex);
        next = permit.rowWritten(wallNow(), outcome);
    }
    return std::get<permit_ended>(next).how;
}

bool crash_guard::hasQuarantinedPart(const std::vector<request_fingerprint>& parts) const
{
    return std::any_of(parts.begin(), parts.end(),
        [this](request_fingerprint part) { return m_ledger.verdict(wallNow(), part) == crash_verdict::Quarantined; });
}

// Whether a part still crashes targets shows only if a request with it runs now and then. The node that is responsible
// for the part admits one.
bool crash_guard::tryQuarantinedParts(const std::vector<request_fingerprint>& parts)
{
    const auto now = wallNow();
    std::vector<request_fingerprint> tried;
    for (const auto part : parts) {
        if (m_ledger.verdict(now, part) != crash_verdict::Quarantined)
            continue;
        auto nodes = m_nodes;
        if (std::find(nodes.begin(), nodes.end(), m_peers.self()) == nodes.end())
            nodes.push_back(m_peers.self());
        auto last = m_trials[part];
        for (const auto& mark : m_ledger.marks(now, part))
            last = std::max(last, mark.at);
        if (responsibleNodes(part, nodes, 1).front() != m_peers.self() || now < last + PartTrialDelay)
            return false;
        tried.push_back(part);
    }
    for (const auto part : tried)
        m_trials[part] = now;
    return true;
}

result<guarded_request> crash_guard::admit(request_fingerprint fingerprint, std::vector<request_fingerprint> parts)
{
    guarded_request request;
    request.fingerprint = fingerprint;
    request.parts = std::move(parts);
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (hasQuarantinedPart(request.parts) && !tryQuarantinedParts(request.parts))
            return error { error_kind::RequestCrashesTargets,
                "a part of this prompt crashed several targets and is not run again", {} };
    }
    const auto verdict = [&] {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_ledger.verdict(wallNow(), request.fingerprint);
    }();
    if (verdict == crash_verdict::Quarantined)
        return error { error_kind::RequestCrashesTargets, "this request crashed several targets and is not run again",
            {} };
    if (verdict != crash_verdict::Isolated)
        return request;
    request.permit = std::make_unique<crash_permit>(crash_permit_settings {}, m_ledger, m_codec, request.fingerprint,
        m_holderPrefix + "-" + std::to_string(++m_counter));
    switch (runPermit(*request.permit, [](crash_permit& permit) { return permit.acquire(); })) {
    case permit_ended::end::Granted:
        return request;
    case permit_ended::end::Quarantined:
        return error { error_kind::RequestCrashesTargets, "this request crashed several targets and is not run again",
            {} };
    case permit_ended::end::Busy:
        return error { error_kind::Overloaded, "this request is under test after crashes of targets", BusyRetry };
    case permit_ended::end::Released:
    case permit_ended::end::Unavailable:
        break;
    }
    finish(request, false);
    return error { error_kind::PlatformUnavailable, "this request must run in isolation, which needs the table",
        BusyRetry };
}

void crash_guard::finish(guarded_request& request, bool succeeded)
{
    if (!request.permit) {
        if (succeeded) {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_ledger.recordSuccess(wallNow(), request.fingerprint);
        }
        return;
    }
    // A permit that is not released counts as a crash when it ends.
    for (int tries = 0; tries < ReleaseTries; ++tries) {
        const auto how
            = runPermit(*request.permit, [succeeded](crash_permit& permit) { return permit.release(succeeded); });
        if (how != permit_ended::end::Unavailable)
            break;
    }
    request.permit.reset();
}

avoided_targets crash_guard::targetsToAvoid(request_fingerprint fingerprint) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_ledger.targetsToAvoid(wallNow(), fingerprint);
}

void crash_guard::attemptStarted(request_fingerprint fingerprint, const target_id& target,
    const std::shared_ptr<event_channel>& events, const std::vector<request_fingerprint>& parts)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_ledger.attemptStarted(fingerprint, target);
    m_inFlight[target].push_back({ fingerprint, parts });
    if (events)
        m_streams[target].insert(events);
}

void crash_guard::answerBegun(
    request_fingerprint fingerprint, const target_id& target, const std::vector<request_fingerprint>& parts)
{
    wire::envelope message;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (auto& each : m_inFlight[target])
            each.answerBegun = each.answerBegun || each.fingerprint == fingerprint;
        m_soundRuns.add(parts, std::chrono::steady_clock::now());
        for (const auto part : parts) {
            if (m_ledger.marks(wallNow(), part).empty())
                continue;
            m_ledger.clear(wallNow(), part);
            m_trials.erase(part);
            message.mutable_parts_cleared()->add_parts(part);
        }
    }
    if (message.has_parts_cleared())
        broadcast(std::move(message));
}

void crash_guard::attemptEnded(
    request_fingerprint fingerprint, const target_id& target, const std::shared_ptr<event_channel>& events)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_ledger.attemptEnded(fingerprint, target);
    auto& running = m_inFlight[target];
    const auto found = std::find_if(
        running.begin(), running.end(), [fingerprint](const run& each) { return each.fingerprint == fingerprint; });
    if (found != running.end()) {
        if (events && !found->answerBegun) {
            found->endedAt = wallNow();
            m_brokenOff[target].push_back(*found);
        }
        running.erase(found);
    }
    if (!events)
        return;
    auto& streams = m_streams[target];
    const auto stream = streams.find(events);
    if (stream != streams.end())
        streams.erase(stream);
}

void crash_guard::notifyStreams(const target_id& target)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_streams.find(target);
    if (found == m_streams.end())
        return;
    for (const auto& events : found->second)
        events->push(target_lost { target });
}

bool crash_guard::stillRuns(const target_id& target, std::uint64_t incarnation) const
{
    const auto address = m_targets.addressOf(target);
    if (!address)
        return true; // it left the configuration
    const auto state = m_engines.readState(*address, CrashCheckTimeout);
    if (state)
        return state.value().incarnation == incarnation;
    return state.error().kind != error_kind::NoTarget;
}

void crash_guard::streamsLost(const target_id& target)
{
    const auto incarnation = m_targets.incarnationOf(target);
    const auto crash = crashIdOf(target, incarnation);
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_known.count(crash))
            return;
    }
    if (!stillRuns(target, incarnation))
        recordCrash({ crash, target, wallNow(), {} });
}

void crash_guard::callLost(const target_id& target)
{
    const auto address = m_targets.addressOf(target);
    if (address && m_services.refusesConnections(*address, CrashCheckTimeout))
        recordCrash({ serviceCrashId(target), target, wallNow(), {} });
}

// Targets of plain services report no incarnation: what ends shortly after an end is the same end.
std::uint64_t crash_guard::serviceCrashId(const target_id& target)
{
    const auto now = wallNow();
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& last = m_serviceCrashes[target];
    const bool isSame = last.crash && now >= last.at && now < last.at + SameServiceCrash;
    if (!isSame) {
        const auto since = now.time_since_epoch();
        last = { crashIdOf(target, static_cast<std::uint64_t>(since / SameServiceCrash)), target, now };
    }
    return last.crash;
}

void crash_guard::recordCrash(crash_event event)
{
    bool isKnown = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        isKnown = !m_known.insert(event.crash).second;
        if (m_known.size() > MaximumKnownCrashes)
            m_known.erase(m_known.begin());
        auto running = m_inFlight[event.target];
        // The connection of a generation breaks before it is known that its target has crashed.
        for (const auto& each : std::exchange(m_brokenOff[event.target], {})) {
            if (each.endedAt + BrokenOffWindow > event.at)
                running.push_back(each);
        }
        for (const auto& each : running)
            event.suspects.push_back(each.fingerprint);
        addParts(event, running);
        m_ledger.recordCrash(event.at, event);
    }
    broadcast(event); // of a known crash too: its suspects are heard of one by one
    if (isKnown)
        return;
    m_metrics.add(counter_metric::StateChanges, { { "part", "target" }, { "to", "crashed" } });
    logWarning("target",
        { { "target", event.target.text() }, { "to", "crashed" },
            { "suspects", std::to_string(event.suspects.size()) } });
    notifyStreams(event.target);
}

// Adds the parts of the requests that had not begun their answers, with their shares of this node's sound runs.
void crash_guard::addParts(crash_event& event, const std::vector<run>& runs)
{
    event.concurrentRequests = 0;
    for (const auto& each : runs) {
        if (each.answerBegun || each.parts.empty())
            continue;
        ++event.concurrentRequests;
        for (const auto part : each.parts) {
            m_ledger.recordShare(part, 0, m_soundRuns.shareOf(part, std::chrono::steady_clock::now()));
            event.parts.push_back({ part, each.fingerprint });
        }
    }
}

bool crash_guard::mayRepeat(request_fingerprint fingerprint, const std::vector<request_fingerprint>& parts) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_ledger.verdict(wallNow(), fingerprint) != crash_verdict::Quarantined && !hasQuarantinedPart(parts);
}

void crash_guard::broadcast(const crash_event& event)
{
    wire::envelope message;
    auto& report = *message.mutable_crash_report();
    report.set_crash(event.crash);
    report.set_target(event.target.text());
    for (const auto fingerprint : event.suspects)
        report.add_in_flight(fingerprint);
    report.set_concurrent_requests(event.concurrentRequests);
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (std::size_t index = 0; index < std::min(event.parts.size(), MaximumReportedParts); ++index) {
            const auto share = m_soundRuns.shareOf(event.parts[index].part, std::chrono::steady_clock::now());
            auto& part = *report.add_parts();
            part.set_part(event.parts[index].part);
            part.set_request(event.parts[index].request);
            part.set_sound_runs(share.withPart);
            report.set_all_sound_runs(share.all);
        }
    }
    broadcast(std::move(message));
}

void crash_guard::broadcast(wire::envelope message)
{
    m_loop.post([this, message = std::move(message)](instant) {
        const auto nodes = [this] {
            std::lock_guard<std::mutex> lock(m_mutex);
            return m_nodes;
        }();
        for (const auto& node : nodes) {
            if (node != m_peers.self())
                m_peers.send(node, wire::envelope(message));
        }
    });
}

crash_counts crash_guard::counts() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto quarantined = m_ledger.quarantined(wallNow());
    return { m_ledger.fingerprints() - quarantined, quarantined };
}

void crash_guard::setNodes(const std::vector<node_id>& usable)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_nodes = usable;
}

} // namespace oriolepick
