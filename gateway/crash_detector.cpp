#include "gateway/crash_detector.h"

#include "core/text.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolepick {

namespace {

    /// A running machine refuses a connection within one round trip. The timeout does not cover a retransmission after
    /// packet loss, since the request may wait for the result.
    constexpr std::chrono::milliseconds CheckTimeout { 60 };
    /// An unresponsive target is checked twice a second, up to MaxChecks times: its registration expires after three
    /// missed renewals.
    constexpr std::chrono::milliseconds CheckInterval { 500 };
    constexpr std::uint32_t MaxChecks = 10;
    /// The registration of a target that listens is compared this often, for as long as an unresponsive one is checked.
    constexpr std::chrono::milliseconds RegistrationCheckInterval { 50 };
    constexpr std::uint32_t MaxRegistrationChecks = 100;
    constexpr std::size_t MaxSuspectsPerCrash = 256; ///< far more than one node runs on one target
    /// Losses within this time after a crash belong to the same crash. Connections to one target break within
    /// milliseconds of its crash, but a busy event loop handles some later. After a second the target may have
    /// restarted and crash under another request.
    constexpr std::chrono::milliseconds SameCrashWindow { 800 };
    /// Requests that had made progress are recorded only after this delay. The delay covers a connection check and a
    /// message, so that requests without progress at any node are recorded first and may explain the crash.
    constexpr std::chrono::milliseconds InProgressSuspectDelay { 300 };
    constexpr std::size_t MaxTargetEnds = 512; ///< far above the number of targets that crash within SameCrashWindow

} // namespace

crash_detector::crash_detector(boost::asio::io_context& loop, const node_id& self, sender send,
    const target_tracker& targetTracker, std::uint64_t seed, timer_queue& timers, decision_log& log,
    gateway_metrics& metrics)
    : m_loop(loop)
    , m_send(std::move(send))
    , m_targetTracker(targetTracker)
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_ledger(self, shared_crash_settings {}, seeded_random(seed), timers.now())
    , m_tickDue(instant::max())
{
}

crash_detector::~crash_detector()
{
    m_timers.cancel(m_tickTimer);
}

void crash_detector::start()
{
    perform({});
}

void crash_detector::setNodes(std::vector<node_id> others)
{
    m_ledger.setNodes(std::move(others));
}

void crash_detector::receive(const node_id& from, const crash_news& news)
{
    const auto before = m_ledger.quarantined(m_timers.now());
    perform(m_ledger.receive(from, news, m_timers.now()));
    const auto after = m_ledger.quarantined(m_timers.now());
    if (before != after)
        m_log.write("quarantine_changed", { { "from", from.value() }, { "requests", std::to_string(after) } });
}

void crash_detector::mergeRecord(const std::vector<crash_note>& notes)
{
    const auto before = m_ledger.quarantined(m_timers.now());
    perform(m_ledger.mergeRecord(notes, m_timers.now()));
    const auto after = m_ledger.quarantined(m_timers.now());
    if (before != after)
        m_log.write("quarantine_changed", { { "from", "record" }, { "requests", std::to_string(after) } });
}

crash_record_digest crash_detector::digestOf(const std::vector<crash_note>& notes) const
{
    return m_ledger.digestOf(notes, m_timers.now());
}

bool crash_detector::isQuarantined(request_fingerprint fingerprint) const
{
    return m_ledger.verdict(fingerprint, m_timers.now()) == crash_verdict::Quarantined;
}

bool crash_detector::isQuarantined(const crash_suspect& request) const
{
    return isQuarantined(request.request)
        || std::any_of(request.parts.begin(), request.parts.end(), [this](auto part) { return isQuarantined(part); });
}

trial_answer crash_detector::requestTrial(const crash_suspect& request)
{
    if (isQuarantined(request.request))
        return trial_answer::Refused;
    const auto now = m_timers.now();
    auto answer = trial_answer::Granted;
    for (const auto part : request.parts) {
        if (!isQuarantined(part))
            continue;
        shared_crash_ledger::actions actions;
        answer = m_ledger.requestTrial(actions, part, now);
        perform(actions);
        if (answer != trial_answer::Granted)
            break;
        m_metrics.count("part_trials");
        m_log.write("part_tried", { { "part", hexadecimal(part) }, { "request", hexadecimal(request.request) } });
    }
    return answer;
}

bool crash_detector::isVerdictPending(request_fingerprint request) const
{
    if (m_ledger.verdict(request, m_timers.now()) != crash_verdict::Isolated)
        return false;
    return std::any_of(m_ends.begin(), m_ends.end(), [request](const auto& each) {
        const auto& suspects = each.second.suspects;
        const bool isDecidedSoon = each.second.checking && !each.second.isUnresponsive && !each.second.isWatched;
        return isDecidedSoon && std::any_of(suspects.begin(), suspects.end(), [request](const suspect& candidate) {
            return candidate.request.request == request;
        });
    });
}

void crash_detector::recordLostAttempt(const crash_suspect& request, const target_entry& target, bool madeProgress)
{
    const auto now = m_timers.now();
    if (m_targetTracker.leavesAsPlanned(target.name, now))
        return;
    removeExpired();
    auto& end = m_ends[target.name];
    if (end.checking && end.startedAt != target.startedAt) {
        // The target has restarted since, so the incarnation that was checked has crashed.
        end.checking = false;
        auto former = target;
        former.startedAt = end.startedAt;
        recordEnd(former, end);
    }
    if (end.crash && (now >= end.crashedAt + SameCrashWindow || end.startedAt != target.startedAt)) {
        end.crash = 0;
        end.crashNumber = end.startedAt == target.startedAt ? end.crashNumber + 1 : 0;
    }
    end.startedAt = target.startedAt;
    if (end.suspects.size() < MaxSuspectsPerCrash)
        end.suspects.push_back({ request, madeProgress });
    if (end.crash) {
        record(target.name, end);
        return;
    }
    // A target that listened at the last check may have crashed since.
    if (!end.checking || end.isWatched)
        startChecks(target, end);
}

void crash_detector::startChecks(const target_entry& target, target_end& end)
{
    end.checking = true;
    end.isUnresponsive = false;
    end.isWatched = false;
    end.checksLeft = MaxChecks;
    check(target, ++end.checkNumber);
}

void crash_detector::check(const target_entry& target, std::uint32_t checkNumber)
{
    m_metrics.count("crash_checks");
    const auto key = ++m_lastCheck;
    auto& started = m_checks[key];
    started = std::make_shared<connection_check>(
        m_loop, m_timers, [this, key, target, checkNumber](connection_check::outcome found) {
            m_checks.erase(key);
            onChecked(target, checkNumber, found);
        });
    started->start(target.address, CheckTimeout);
}

void crash_detector::scheduleCheck(const target_entry& target, std::uint32_t checkNumber)
{
    m_timers.at(m_timers.now() + CheckInterval, [this, target, checkNumber] { check(target, checkNumber); });
}

void crash_detector::onChecked(const target_entry& target, std::uint32_t checkNumber, connection_check::outcome found)
{
    const auto entry = m_ends.find(target.name);
    if (entry == m_ends.end() || !entry->second.checking || entry->second.checkNumber != checkNumber)
        return;
    auto& end = entry->second;
    const bool wasUnresponsive = end.isUnresponsive;
    end.isUnresponsive = wasUnresponsive || found == connection_check::outcome::Unknown;
    if (found == connection_check::outcome::NotListening || (wasUnresponsive && hasEnded(target))) {
        end.checking = false;
        recordEnd(target, end);
        return;
    }
    if (end.isUnresponsive && --end.checksLeft) {
        scheduleCheck(target, checkNumber);
        return;
    }
    if (end.isUnresponsive) {
        end.checking = false;
        end.suspects.clear();
        return;
    }
    // Another process may listen there, or the target itself again.
    end.isWatched = true;
    end.checksLeft = MaxRegistrationChecks;
    watchRegistration(target, checkNumber);
}

void crash_detector::watchRegistration(const target_entry& target, std::uint32_t checkNumber)
{
    const auto entry = m_ends.find(target.name);
    if (entry == m_ends.end() || !entry->second.checking || entry->second.checkNumber != checkNumber)
        return;
    auto& end = entry->second;
    if (hasCrashed(target)) {
        end.checking = false;
        recordEnd(target, end);
        return;
    }
    if (!--end.checksLeft || m_targetTracker.leavesAsPlanned(target.name, m_timers.now())) {
        end.checking = false;
        end.suspects.clear();
        return;
    }
    m_timers.at(m_timers.now() + RegistrationCheckInterval,
        [this, target, checkNumber] { watchRegistration(target, checkNumber); });
}

// Returns whether the registration is another incarnation's, or gone without a planned shutdown.
bool crash_detector::hasCrashed(const target_entry& target) const
{
    const auto* current = m_targetTracker.find(target.name);
    if (current && current->startedAt != target.startedAt)
        return true;
    const auto now = m_timers.now();
    return (!current || !m_targetTracker.takesRequests(target.name, now)) && !m_targetTracker.isPaused(target.name, now)
        && !m_targetTracker.leavesAsPlanned(target.name, now);
}

// Returns whether the registration that the attempt used is gone or belongs to another incarnation.
bool crash_detector::hasEnded(const target_entry& target) const
{
    const auto* current = m_targetTracker.find(target.name);
    return !current || current->startedAt != target.startedAt
        || !m_targetTracker.takesRequests(target.name, m_timers.now());
}

void crash_detector::recordEnd(const target_entry& target, target_end& end)
{
    end.crash = crashIdOf(target.name, end.startedAt + end.crashNumber);
    end.crashedAt = m_timers.now();
    m_metrics.count("targets_crashed");
    m_log.write("target_crashed",
        { { "target", target.name.value() }, { "address", target.address },
            { "suspects", std::to_string(end.suspects.size()) } });
    record(target.name, end);
}

void crash_detector::record(const target_name& target, target_end& end)
{
    std::vector<crash_suspect> suspects;
    for (const auto& each : std::exchange(end.suspects, {})) {
        if (each.madeProgress)
            scheduleRecord(target, end.crash, each.request.request);
        else
            suspects.push_back(each.request);
    }
    if (suspects.empty())
        return;
    std::vector<request_fingerprint> cleared; // not quarantined before
    const auto note = [&](request_fingerprint fingerprint) {
        if (!isQuarantined(fingerprint) && std::find(cleared.begin(), cleared.end(), fingerprint) == cleared.end())
            cleared.push_back(fingerprint);
    };
    for (const auto& each : suspects) {
        note(each.request);
        std::for_each(each.parts.begin(), each.parts.end(), note);
    }
    perform(m_ledger.recordCrash(target, end.crash, suspects, m_timers.now()));
    for (const auto fingerprint : cleared) {
        if (isQuarantined(fingerprint))
            logQuarantine(fingerprint, target);
    }
}

void crash_detector::logQuarantine(request_fingerprint fingerprint, const target_name& target)
{
    const auto now = m_timers.now();
    const bool isPart = m_ledger.isPart(fingerprint);
    const auto share = m_ledger.shareOf(fingerprint);
    m_metrics.count(isPart ? "parts_quarantined" : "requests_quarantined");
    m_log.write(isPart ? "part_quarantined" : "request_quarantined",
        { { isPart ? "part" : "request", hexadecimal(fingerprint) }, { "target", target.value() },
            { "crashes", std::to_string(m_ledger.crashesOf(fingerprint, now)) },
            { "sound_runs", std::to_string(share.withPart) }, { "of_runs", std::to_string(share.all) } });
}

// Most requests that run concurrently with one that crashes the target have made progress there. They are recorded
// only if no other request explains the crash.
void crash_detector::scheduleRecord(const target_name& target, std::uint64_t crash, request_fingerprint request)
{
    m_timers.at(m_timers.now() + InProgressSuspectDelay, [this, target, crash, request] {
        const auto now = m_timers.now();
        if (!m_ledger.isExplained(crash, request, now))
            perform(m_ledger.recordCrash(target, crash, { crash_suspect { request } }, now));
    });
}

void crash_detector::recordStart(const std::vector<request_fingerprint>& parts)
{
    for (const auto part : parts) {
        if (isQuarantined(part))
            m_log.write("part_cleared", { { "part", hexadecimal(part) } });
    }
    perform(m_ledger.recordStart(parts, m_timers.now()));
}

void crash_detector::recordCompletion(request_fingerprint request)
{
    const bool wasQuarantined = isQuarantined(request);
    perform(m_ledger.recordSuccess(request, m_timers.now()));
    if (wasQuarantined)
        m_log.write("request_cleared", { { "request", hexadecimal(request) } });
}

void crash_detector::perform(const shared_crash_ledger::actions& actions)
{
    for (const auto& action : actions)
        m_send(action.to, action.news);
    const auto due = m_ledger.nextDue();
    if (m_tickTimer && due >= m_tickDue)
        return;
    m_timers.cancel(m_tickTimer);
    scheduleTick(due);
}

void crash_detector::scheduleTick(instant due)
{
    m_tickDue = due;
    m_tickTimer = m_timers.at(due, [this] {
        m_tickTimer = 0;
        perform(m_ledger.tick(m_timers.now()));
    });
}

void crash_detector::removeExpired()
{
    if (m_ends.size() < MaxTargetEnds)
        return;
    const auto now = m_timers.now();
    for (auto each = m_ends.begin(); each != m_ends.end();) {
        const bool old = !each->second.checking && now >= each->second.crashedAt + SameCrashWindow;
        each = old ? m_ends.erase(each) : std::next(each);
    }
}

} // namespace oriolepick
