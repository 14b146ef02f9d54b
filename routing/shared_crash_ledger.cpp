#include "routing/shared_crash_ledger.h"

#include "core/rendezvous.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::chrono::seconds ExpirePeriod { 60 };
    /// Replies to one digest: more are sent to the next one.
    constexpr std::size_t MaxReplyMessages = 8;
    constexpr const char* LocalFleet = "local"; ///< a gateway serves one fleet; core's names carry one

    target_id targetIdOf(const target_name& target)
    {
        return { fleet_name(LocalFleet), target.value() };
    }

    // The ledger compares times by calendar. Ages keep clear of its zero, and no step of the clock reaches it.
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
        ledger.countMarksWithEarlierSuspect = false; // suspects do not run alone here
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
    const target_name& target, std::uint64_t crash, const std::vector<request_fingerprint>& suspects, instant now)
{
    actions out;
    std::vector<crash_verdict> before;
    std::transform(suspects.begin(), suspects.end(), std::back_inserter(before),
        [&](auto request) { return verdict(request, now); });
    m_ledger.recordCrash(ledgerTime(now), { crash, targetIdOf(target), ledgerTime(now), suspects });
    for (std::size_t index = 0; index < suspects.size(); ++index) {
        const auto request = suspects[index];
        m_pendingReports[request] = { now + m_settings.reportRetryDelay, m_settings.maxReportRetries };
        const auto after = verdict(request, now);
        if (after > before[index] && after >= crash_verdict::Isolated && isResponsible(request))
            broadcast(out, request, now);
    }
    report(out, suspects, now);
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

// The other responsible nodes do the same, so that a lost message is made up for.
void shared_crash_ledger::broadcast(actions& out, request_fingerprint request, instant now)
{
    const crash_news news { crash_news::purpose::Verdict, { noteOf(request, now) }, std::nullopt };
    for (const auto& node : m_others)
        out.push_back({ node, news });
}

crash_note shared_crash_ledger::noteOf(request_fingerprint request, instant now) const
{
    crash_note note;
    note.request = request;
    for (const auto& mark : m_ledger.marks(ledgerTime(now), request)) {
        if (note.sightings.size() < MaxCrashSightings)
            note.sightings.push_back({ mark.crash, target_name(mark.target.name()), age(mark.at, now) });
    }
    const auto clearedAt = m_ledger.clearedAt(request);
    if (clearedAt != wall_time {})
        note.sinceCleared = age(clearedAt, now);
    return note;
}

void shared_crash_ledger::merge(const crash_note& note, instant now)
{
    std::vector<crash_mark> marks;
    for (const auto& sighting : note.sightings)
        marks.push_back({ sighting.crash, targetIdOf(sighting.target), ledgerTime(now) - sighting.age });
    m_ledger.merge(
        ledgerTime(now), note.request, marks, note.sinceCleared ? ledgerTime(now) - *note.sinceCleared : wall_time {});
}

shared_crash_ledger::actions shared_crash_ledger::recordSuccess(request_fingerprint request, instant now)
{
    m_recentSuccesses.add(request);
    if (!crashesOf(request, now))
        return {};
    actions out;
    m_recentSuccesses.take(request);
    const bool known = verdict(request, now) >= crash_verdict::Isolated;
    m_ledger.clear(ledgerTime(now), request);
    m_pendingReports[request] = { now + m_settings.reportRetryDelay, m_settings.maxReportRetries };
    if (known)
        broadcast(out, request, now);
    else
        report(out, { request }, now);
    return out;
}

shared_crash_ledger::actions shared_crash_ledger::receive(const node_id& from, const crash_news& news, instant now)
{
    actions out;
    crash_news reply { crash_news::purpose::Reply, {}, std::nullopt };
    for (const auto& note : news.notes)
        receiveNote(out, reply, note, news.messagePurpose, now);
    if (!reply.notes.empty() && news.messagePurpose != crash_news::purpose::Reply)
        out.push_back({ from, std::move(reply) });
    if (news.digest)
        compareDigests(out, from, *news.digest, news.messagePurpose == crash_news::purpose::Exchange, now);
    return out;
}

// What is heard of a request, and whether this node knows better or has to tell the others.
void shared_crash_ledger::receiveNote(
    actions& out, crash_news& reply, const crash_note& note, crash_news::purpose messagePurpose, instant now)
{
    const auto before = verdict(note.request, now);
    merge(note, now);
    if (crashesOf(note.request, now) && verdict(note.request, now) >= crash_verdict::Isolated
        && m_recentSuccesses.take(note.request))
        m_ledger.clear(ledgerTime(now), note.request); // it ran to its end here lately: it is not what crashes targets
    const auto after = verdict(note.request, now);
    const bool cleared = m_ledger.clearedAt(note.request) != wall_time {};
    if (after < crash_verdict::Isolated && cleared && !note.sightings.empty())
        reply.notes.push_back(noteOf(note.request, now));
    const bool raised
        = messagePurpose == crash_news::purpose::Report && after > before && after >= crash_verdict::Isolated;
    const bool lowered = messagePurpose != crash_news::purpose::Verdict && before >= crash_verdict::Isolated
        && after < crash_verdict::Isolated;
    if ((raised || lowered) && isResponsible(note.request))
        broadcast(out, note.request, now);
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

// A node that knows of other requests gets what this one knows, and is asked for what it knows itself.
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
