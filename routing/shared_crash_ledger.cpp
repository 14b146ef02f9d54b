#include "routing/shared_crash_ledger.h"

#include "core/rendezvous.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::chrono::seconds ExpirePeriod { 60 };
    constexpr std::uint32_t MaxTrialDoublings = 10; ///< about six hours
    constexpr std::chrono::hours GrantRetention { 24 }; ///< quarantine ends after this time
    /// The time of one clearing differs between nodes by the transit times of messages.
    constexpr std::chrono::milliseconds ClearingTolerance { 1'000 };
    /// Maximum number of reply messages to one digest; further records follow with the next digest.
    constexpr std::size_t MaxReplyMessages = 8;
    /// Stands for the nodes that wrote the record, as the reporter of sound runs.
    constexpr const char* RecordReporter = "record";
    constexpr const char* LocalFleet = "local"; ///< a gateway serves one fleet, but target_id contains a fleet name

    target_id targetIdOf(const target_name& target)
    {
        return { fleet_name(LocalFleet), target.value() };
    }

    // The ledger uses wall clock times. Derives them from the monotonic clock, so that clock steps have no effect;
    // the offset of a year keeps ages above zero.
    wall_time ledgerTime(instant now)
    {
        return wall_time(std::chrono::hours(24 * 365) + now.time_since_epoch());
    }

    std::chrono::milliseconds age(wall_time then, instant now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(ledgerTime(now) - then);
    }

    crash_ledger_settings makeLedgerSettings(const shared_crash_settings& settings)
    {
        crash_ledger_settings ledger;
        ledger.countMarksWithEarlierSuspect = false; // suspects do not run in isolation here
        ledger.maxFingerprints = settings.maxRequests;
        ledger.maxTargets = settings.maxTargets;
        return ledger;
    }

} // namespace

std::uint64_t crashIdOf(const target_name& target, std::uint64_t incarnation)
{
    return crashIdOf(targetIdOf(target), incarnation);
}

shared_crash_ledger::shared_crash_ledger(
    const node_id& self, const shared_crash_settings& settings, seeded_random random, instant startedAt)
    : m_self(self)
    , m_settings(settings)
    , m_random(random)
    , m_ledger(makeLedgerSettings(settings))
    , m_recentSuccesses(settings.recentSuccesses)
    , m_soundRuns(settings.soundRuns)
    , m_nodes { self }
    , m_startedAt(startedAt)
    , m_antiEntropyAt(startedAt)
    , m_expireAt(startedAt + ExpirePeriod)
{
}

void shared_crash_ledger::setNodes(std::vector<node_id> others)
{
    m_others = std::move(others);
    m_nodes = m_others;
    m_nodes.push_back(m_self);
}

std::vector<node_id> shared_crash_ledger::responsibleFor(request_fingerprint request) const
{
    return responsibleNodes(request, m_nodes, m_settings.replicas);
}

bool shared_crash_ledger::isResponsible(request_fingerprint request) const
{
    const auto replicas = responsibleFor(request);
    return std::find(replicas.begin(), replicas.end(), m_self) != replicas.end();
}

crash_verdict shared_crash_ledger::verdict(request_fingerprint request, instant now) const
{
    return m_ledger.verdict(ledgerTime(now), request);
}

std::size_t shared_crash_ledger::crashesOf(request_fingerprint request, instant now) const
{
    return m_ledger.marks(ledgerTime(now), request).size();
}

bool shared_crash_ledger::isExplained(std::uint64_t crash, request_fingerprint request, instant now) const
{
    const auto others = m_ledger.quarantinedRequests(ledgerTime(now));
    return std::any_of(others.begin(), others.end(), [&](request_fingerprint other) {
        const auto marks = m_ledger.marks(ledgerTime(now), other);
        return other != request
            && std::any_of(marks.begin(), marks.end(), [crash](const crash_mark& mark) { return mark.crash == crash; });
    });
}

std::size_t shared_crash_ledger::quarantined(instant now) const
{
    return m_ledger.quarantined(ledgerTime(now));
}

shared_crash_ledger::actions shared_crash_ledger::recordCrash(
    const target_name& target, std::uint64_t crash, const std::vector<crash_suspect>& suspects, instant now)
{
    actions out;
    crash_event event { crash, targetIdOf(target), ledgerTime(now), {}, {}, 0 };
    std::set<request_fingerprint> suspected; // requests and parts
    for (const auto& suspect : suspects) {
        event.suspects.push_back(suspect.request);
        suspected.insert(suspect.request);
        event.concurrentRequests += !suspect.parts.empty();
        for (const auto part : suspect.parts) {
            event.parts.push_back({ part, suspect.request });
            suspected.insert(part);
        }
    }
    std::map<request_fingerprint, crash_verdict> before;
    for (const auto fingerprint : suspected)
        before[fingerprint] = verdict(fingerprint, now);
    for (const auto& part : event.parts)
        m_ledger.recordShare(part.part, stableHash(m_self.value()), m_soundRuns.shareOf(part.part, now));
    m_ledger.recordCrash(ledgerTime(now), event);
    for (const auto fingerprint : suspected) {
        m_pendingReports[fingerprint] = { now + m_settings.reportRetryDelay, m_settings.maxReportRetries };
        const auto after = verdict(fingerprint, now);
        if (after > before[fingerprint] && after >= crash_verdict::Isolated && isResponsible(fingerprint))
            broadcast(out, fingerprint, now);
    }
    report(out, { suspected.begin(), suspected.end() }, now);
    return out;
}

shared_crash_ledger::actions shared_crash_ledger::recordStart(
    const std::vector<request_fingerprint>& parts, instant now)
{
    actions out;
    if (parts.empty())
        return out;
    m_soundRuns.add(parts, now);
    for (const auto part : parts) {
        if (!crashesOf(part, now))
            continue;
        auto cleared = clearUpTo(part, now, now);
        out.insert(out.end(), std::make_move_iterator(cleared.begin()), std::make_move_iterator(cleared.end()));
    }
    return out;
}

void shared_crash_ledger::report(actions& out, const std::vector<request_fingerprint>& requests, instant now)
{
    std::map<node_id, crash_news> byReplica;
    const auto flush = [&out](const node_id& replica, crash_news& news) {
        out.push_back({ replica, std::exchange(news, {}) });
    };
    for (const auto request : requests) {
        const auto note = noteOf(request, now);
        for (const auto& replica : responsibleFor(request)) {
            if (replica == m_self)
                continue;
            auto& news = byReplica[replica];
            news.notes.push_back(note);
            if (news.notes.size() == MaxCrashNotes)
                flush(replica, news);
        }
    }
    for (auto& [replica, news] : byReplica) {
        if (!news.notes.empty())
            flush(replica, news);
    }
}

// Every responsible node broadcasts the verdict, so that a lost message is compensated.
void shared_crash_ledger::broadcast(actions& out, request_fingerprint request, instant now)
{
    const crash_news news { crash_news::purpose::Verdict, { noteOf(request, now) }, std::nullopt };
    for (const auto& node : m_others)
        out.push_back({ node, news });
}

crash_note shared_crash_ledger::noteOf(request_fingerprint request, instant now)
{
    crash_note note;
    note.request = request;
    for (const auto& mark : m_ledger.marks(ledgerTime(now), request)) {
        if (note.sightings.size() < MaxCrashSightings)
            note.sightings.push_back({ mark.crash, target_name(mark.target.name()), age(mark.at, now), mark.request,
                mark.concurrentRequests });
    }
    if (m_ledger.isPart(request)) {
        m_ledger.recordShare(request, stableHash(m_self.value()), m_soundRuns.shareOf(request, now));
        note.share = m_ledger.shareOf(request);
    }
    const auto clearedAt = m_ledger.clearedAt(request);
    if (clearedAt != wall_time {})
        note.sinceCleared = age(clearedAt, now);
    return note;
}

void shared_crash_ledger::merge(const node_id& from, const crash_note& note, instant now)
{
    std::vector<crash_mark> marks;
    for (const auto& sighting : note.sightings)
        marks.push_back({ sighting.crash, targetIdOf(sighting.target), ledgerTime(now) - sighting.age, sighting.request,
            sighting.concurrentRequests });
    if (note.share.all) {
        m_ledger.recordShare(note.request, stableHash(from.value()), note.share);
        m_ledger.recordShare(note.request, stableHash(m_self.value()), m_soundRuns.shareOf(note.request, now));
    }
    m_ledger.merge(
        ledgerTime(now), note.request, marks, note.sinceCleared ? ledgerTime(now) - *note.sinceCleared : wall_time {});
}

shared_crash_ledger::actions shared_crash_ledger::recordSuccess(request_fingerprint request, instant now)
{
    m_recentSuccesses.add(request);
    if (!crashesOf(request, now))
        return {};
    m_recentSuccesses.take(request);
    return clearUpTo(request, now, now);
}

// Clears the marks up to \p at and informs the nodes that may have them.
shared_crash_ledger::actions shared_crash_ledger::clearUpTo(request_fingerprint fingerprint, instant at, instant now)
{
    actions out;
    // All nodes know the suspicion. Many of them may clear a part at the same time, so the responsible nodes inform the
    // others of it; a request is completed by one node.
    const bool informsAll = verdict(fingerprint, now) >= crash_verdict::Isolated
        && (!m_ledger.isPart(fingerprint) || isResponsible(fingerprint));
    m_ledger.clear(ledgerTime(at), fingerprint);
    m_grants.erase(fingerprint);
    m_pendingReports[fingerprint] = { now + m_settings.reportRetryDelay, m_settings.maxReportRetries };
    if (informsAll)
        broadcast(out, fingerprint, now);
    else
        report(out, { fingerprint }, now);
    return out;
}

shared_crash_ledger::actions shared_crash_ledger::receive(const node_id& from, const crash_news& news, instant now)
{
    actions out;
    for (const auto& note : news.notes) {
        if (news.messagePurpose == crash_news::purpose::TrialRequest)
            receiveTrialRequest(out, from, note.request, now);
        else if (news.messagePurpose == crash_news::purpose::TrialGrant)
            m_trials[note.request] = now + m_settings.trialLifetime;
    }
    if (news.messagePurpose == crash_news::purpose::TrialRequest
        || news.messagePurpose == crash_news::purpose::TrialGrant)
        return out;
    crash_news reply { crash_news::purpose::Reply, {}, std::nullopt };
    for (const auto& note : news.notes)
        receiveNote(out, from, reply, note, news.messagePurpose, now);
    if (!reply.notes.empty())
        out.push_back({ from, std::move(reply) });
    if (news.digest)
        compareDigests(out, from, *news.digest, news.messagePurpose == crash_news::purpose::Exchange, now);
    return out;
}

// Merges a note and determines whether this node has newer information for the sender or must notify the other
// nodes.
void shared_crash_ledger::receiveNote(actions& out, const node_id& from, crash_news& reply, const crash_note& note,
    crash_news::purpose messagePurpose, instant now)
{
    const auto before = verdict(note.request, now);
    const auto clearedBefore = m_ledger.clearedAt(note.request);
    merge(from, note, now);
    if (crashesOf(note.request, now) && verdict(note.request, now) >= crash_verdict::Isolated
        && m_recentSuccesses.take(note.request))
        // The request completed here recently, so another request crashed the targets.
        m_ledger.clear(ledgerTime(now), note.request);
    const auto soundRun = m_soundRuns.lastRunWith(note.request);
    const bool isNews = soundRun && crashesOf(note.request, now) && ledgerTime(*soundRun) > clearedBefore
        && (!note.sinceCleared || *soundRun > now - *note.sinceCleared);
    if (isNews)
        m_ledger.clear(ledgerTime(*soundRun), note.request);
    const auto after = verdict(note.request, now);
    const bool cleared = m_ledger.clearedAt(note.request) != wall_time {};
    const auto noteClearedAt = note.sinceCleared ? ledgerTime(now) - *note.sinceCleared : wall_time {};
    const bool knowsLaterClearing = m_ledger.clearedAt(note.request) > noteClearedAt + ClearingTolerance;
    const bool answersReport = messagePurpose != crash_news::purpose::Reply && after < crash_verdict::Isolated
        && cleared && !note.sightings.empty();
    if (isNews || answersReport || (knowsLaterClearing && !note.sightings.empty()))
        reply.notes.push_back(noteOf(note.request, now));
    const bool raised
        = messagePurpose == crash_news::purpose::Report && after > before && after >= crash_verdict::Isolated;
    const bool lowered = messagePurpose != crash_news::purpose::Verdict && before >= crash_verdict::Isolated
        && after < crash_verdict::Isolated;
    if ((raised || lowered) && isResponsible(note.request))
        broadcast(out, note.request, now);
}

trial_answer shared_crash_ledger::requestTrial(actions& out, request_fingerprint part, instant now)
{
    const auto take = [&] {
        const auto trial = m_trials.extract(part);
        return trial && now < trial.mapped();
    };
    if (take())
        return trial_answer::Granted;
    const auto asked = m_trialRequests.find(part);
    if (asked != m_trialRequests.end() && now < asked->second + m_settings.trialRequestInterval)
        return trial_answer::Refused;
    expireTrials(now);
    m_trialRequests[part] = now;
    const auto responsible = responsibleFor(part);
    if (responsible.front() == m_self) {
        receiveTrialRequest(out, m_self, part, now);
        return take() ? trial_answer::Granted : trial_answer::Refused;
    }
    out.push_back({ responsible.front(), { crash_news::purpose::TrialRequest, { noteOf(part, now) }, {} } });
    return trial_answer::Requested;
}

// Only the first responsible node grants trials, so that the whole fleet tries a part once at a time.
void shared_crash_ledger::receiveTrialRequest(actions& out, const node_id& from, request_fingerprint part, instant now)
{
    if (responsibleFor(part).front() != m_self || !m_ledger.isPart(part)
        || verdict(part, now) != crash_verdict::Quarantined)
        return;
    const auto marks = m_ledger.marks(ledgerTime(now), part);
    const auto last = std::max_element(
        marks.begin(), marks.end(), [](const crash_mark& left, const crash_mark& right) { return left.at < right.at; });
    if (last == marks.end())
        return;
    const auto known = m_grants.find(part);
    auto failures = known == m_grants.end() ? 0 : known->second.failures;
    if (known != m_grants.end() && last->at > ledgerTime(known->second.at))
        ++failures;
    const auto delay = m_settings.trialDelay * (1 << std::min(failures, MaxTrialDoublings));
    if (age(last->at, now) < delay || (known != m_grants.end() && now < known->second.at + m_settings.trialDelay))
        return;
    m_grants[part] = { now, failures };
    if (from == m_self)
        m_trials[part] = now + m_settings.trialLifetime;
    else
        out.push_back({ from, { crash_news::purpose::TrialGrant, { noteOf(part, now) }, {} } });
}

void shared_crash_ledger::expireTrials(instant now)
{
    const auto eraseIf = [](auto& map, auto expired) {
        for (auto each = map.begin(); each != map.end();)
            each = expired(each->second) ? map.erase(each) : std::next(each);
    };
    eraseIf(m_trials, [now](instant until) { return now >= until; });
    eraseIf(m_trialRequests, [&](instant at) { return now >= at + m_settings.trialRequestInterval; });
    eraseIf(m_grants, [now](const trial_grant& grant) { return now >= grant.at + GrantRetention; });
}

quarantine_digest shared_crash_ledger::digest(instant now) const
{
    quarantine_digest known;
    for (const auto request : m_ledger.quarantinedRequests(ledgerTime(now))) {
        ++known.requests;
        known.hash ^= stableHash({}, request);
    }
    return known;
}

// Sends the records of this node to a node with a different digest, and requests that node's records.
void shared_crash_ledger::compareDigests(
    actions& out, const node_id& from, const quarantine_digest& received, bool mayRequest, instant now)
{
    const auto own = digest(now);
    if (own == received)
        return;
    const auto requests = m_ledger.quarantinedRequests(ledgerTime(now));
    const auto offset = requests.empty() ? 0 : m_random.below(requests.size());
    const auto sent = std::min(requests.size(), MaxReplyMessages * MaxCrashNotes);
    crash_news reply { crash_news::purpose::Reply, {}, std::nullopt };
    for (std::size_t index = 0; index < sent; ++index) {
        reply.notes.push_back(noteOf(requests[(offset + index) % requests.size()], now));
        if (reply.notes.size() == MaxCrashNotes)
            out.push_back({ from, std::exchange(reply, { crash_news::purpose::Reply, {}, std::nullopt }) });
    }
    if (mayRequest && received.requests)
        reply.digest = own;
    if (!reply.notes.empty() || reply.digest)
        out.push_back({ from, std::move(reply) });
}

std::vector<crash_note> shared_crash_ledger::record(std::size_t maxNotes, instant now)
{
    std::vector<crash_note> notes;
    for (const auto fingerprint : m_ledger.blamed(ledgerTime(now))) {
        if (notes.size() == maxNotes)
            break;
        notes.push_back(noteOf(fingerprint, now));
    }
    return notes;
}

// Other nodes that start learn what does not fit into one message from the digests.
shared_crash_ledger::actions shared_crash_ledger::mergeRecord(const std::vector<crash_note>& notes, instant now)
{
    actions out;
    crash_news news { crash_news::purpose::Verdict, {}, std::nullopt };
    for (const auto& note : notes) {
        const auto before = verdict(note.request, now);
        actions verdicts;
        crash_news reply;
        receiveNote(verdicts, node_id(RecordReporter), reply, note, crash_news::purpose::Verdict, now);
        if (verdict(note.request, now) > before && news.notes.size() < MaxCrashNotes)
            news.notes.push_back(noteOf(note.request, now));
    }
    if (news.notes.empty())
        return out;
    for (const auto& node : m_others)
        out.push_back({ node, news });
    return out;
}

crash_record_digest shared_crash_ledger::digestOf(const std::vector<crash_note>& notes, instant now) const
{
    crash_record_digest digest;
    for (const auto& note : notes) {
        auto hash = stableHash({}, note.request);
        for (const auto& sighting : note.sightings)
            hash ^= stableHash({}, sighting.crash ^ note.request);
        digest.all ^= hash;
        if (verdict(note.request, now) == crash_verdict::Quarantined)
            digest.quarantined ^= hash;
    }
    return digest;
}

shared_crash_ledger::actions shared_crash_ledger::tick(instant now)
{
    actions out;
    std::vector<request_fingerprint> due;
    for (auto each = m_pendingReports.begin(); each != m_pendingReports.end();) {
        auto& [request, pending] = *each;
        if (now < pending.due) {
            ++each;
            continue;
        }
        due.push_back(request);
        const auto pause = m_settings.reportRetryDelay * (1 << (m_settings.maxReportRetries - pending.left + 1));
        pending = { now + pause, pending.left - 1 };
        each = pending.left ? std::next(each) : m_pendingReports.erase(each);
    }
    report(out, due, now);
    if (now >= m_antiEntropyAt) {
        m_antiEntropyAt = now + m_settings.antiEntropyPeriod;
        exchange(out, now);
    }
    if (now >= m_expireAt) {
        m_expireAt = now + ExpirePeriod;
        m_ledger.expire(ledgerTime(now));
    }
    return out;
}

void shared_crash_ledger::exchange(actions& out, instant now)
{
    const auto own = digest(now);
    if (m_others.empty() || (!own.requests && now >= m_startedAt + m_settings.catchUpPeriod))
        return;
    const auto& node = m_others[m_random.below(m_others.size())];
    out.push_back({ node, { crash_news::purpose::Exchange, {}, own } });
}

instant shared_crash_ledger::nextDue() const
{
    auto due = std::min(m_antiEntropyAt, m_expireAt);
    for (const auto& [request, pending] : m_pendingReports)
        due = std::min(due, pending.due);
    return due;
}

} // namespace oriolepick
