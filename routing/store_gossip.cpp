#include "routing/store_gossip.h"

#include "core/stable_hash.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Divisor of the bound for the time after which a node that could not pull an announced version reads the store
    /// itself.
    constexpr int PullTimeoutDivisor = 4;
    /// Divisor of the anti-entropy period. A version that is newer by less than this part is not propagated again:
    /// it belongs to the same wave, received over another path.
    constexpr int SameWaveDivisor = 2;

    /// Recoveries closer together than this are the same one, noticed by several nodes.
    constexpr std::chrono::milliseconds SameRecoveryWindow { 1'000 };

    constexpr std::array<store_topic, StoreTopicCount> AllTopics { store_topic::Configuration, store_topic::Targets };

    // A node of an earlier release reports neither epochs nor versions. Its numbers are taken for those of the epoch
    // that this node knows.
    topic_digest withEpochOf(const topic_version& held, topic_digest received)
    {
        if (received.readRevision.epoch())
            return received;
        received.readRevision = { held.readRevision.epoch(), received.readRevision.number() };
        received.changeRevision
            = { held.changeRevision.version, { held.readRevision.epoch(), received.changeRevision.stored.number() } };
        return received;
    }

    // Returns whether a node that holds the content of the store at held.readRevision has a change of the same epoch.
    bool includes(const topic_version& held, const content_revision& change)
    {
        return change.version == held.changeRevision.version && change.stored.epoch() == held.readRevision.epoch()
            && change.stored <= held.readRevision;
    }

} // namespace

std::uint32_t rankNumber(const node_id& node)
{
    return static_cast<std::uint32_t>(stableHash(node.value()));
}

store_gossip::store_gossip(const node_id& self, const store_gossip_settings& settings, std::chrono::milliseconds bound,
    bool readsAtStart, seeded_random random, instant startedAt)
    : m_settings(settings)
    , m_self(self)
    , m_random(random)
    , m_schedule(makeReaderScheduleSettings(bound), rankNumber(self), readsAtStart, startedAt)
    , m_pullTimeout(bound / PullTimeoutDivisor)
    , m_antiEntropyAt(startedAt)
    , m_questionRandom(rankNumber(self))
{
}

void store_gossip::setNodes(std::vector<node_id> sameZone, std::vector<node_id> others)
{
    m_sameZone = std::move(sameZone);
    std::sort(m_sameZone.begin(), m_sameZone.end());
    m_others = std::move(others);
    const auto own = rankNumber(m_self);
    const auto before = [own](const node_id& node) { return rankNumber(node) < own; };
    const auto rank = std::count_if(m_sameZone.begin(), m_sameZone.end(), before)
        + std::count_if(m_others.begin(), m_others.end(), before);
    m_schedule.setRank(static_cast<std::size_t>(rank), m_sameZone.size() + m_others.size() + 1);
    if (m_nextQuestionAt == instant::max())
        m_nextQuestionAt = {}; // no node was known
}

store_gossip::actions store_gossip::tick(instant now)
{
    actions out;
    if (!mayRead() && now >= m_reads.back().startedAt + m_settings.slowReadThreshold) {
        m_reads.back().slow = true;
        m_schedule.markReadSlow(m_reads.back().startedAt, now);
        scheduleDigests(true, now);
    }
    m_schedule.setIsolated(m_lastDigestAt && now > *m_lastDigestAt + m_settings.isolationTimeout);
    if (mayRead() && now >= readDueAt())
        startRead(out, now);
    for (const auto topic : AllTopics) {
        auto& state = stateOf(topic);
        if (!state.pulling && !state.sources.empty() && now >= state.pullAt)
            startPull(out, topic, now);
    }
    if (m_sendDigestsAt && now >= *m_sendDigestsAt)
        sendDigests(out, now);
    if (m_departureQuestions && now >= m_nextQuestionAt) {
        const auto node = randomNode(m_questionRandom);
        m_nextQuestionAt = node.empty() ? instant::max() : now + m_settings.pullRetryDelay;
        if (!node.empty()) {
            --m_departureQuestions;
            out.emplace_back(ask_departures { node });
        }
    }
    if (now >= m_antiEntropyAt) {
        const auto period = holdsAll() ? m_settings.antiEntropyPeriod : m_settings.pullRetryDelay;
        m_antiEntropyAt
            = now + period / 2 + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(period.count())));
        const auto node = randomNode(m_random);
        if (!node.empty())
            sendDigest(out, node, false, now);
    }
    return out;
}

instant store_gossip::nextDue() const
{
    auto due = m_antiEntropyAt;
    due = std::min(due, mayRead() ? readDueAt() : m_reads.back().startedAt + m_settings.slowReadThreshold);
    if (m_sendDigestsAt)
        due = std::min(due, *m_sendDigestsAt);
    if (m_departureQuestions)
        due = std::min(due, m_nextQuestionAt);
    for (const auto& state : m_topics) {
        if (!state.pulling && !state.sources.empty())
            due = std::min(due, state.pullAt);
    }
    return due;
}

bool store_gossip::holdsAll() const
{
    return std::all_of(
        m_topics.begin(), m_topics.end(), [](const topic_state& state) { return state.held.has_value(); });
}

// A node that receives digests of newer versions but cannot pull them reads the store itself.
instant store_gossip::readDueAt() const
{
    auto due = m_schedule.dueAt();
    for (const auto& state : m_topics) {
        if (state.behindSince)
            due = std::min(due, std::max(*state.behindSince + m_pullTimeout, m_schedule.retryAt()));
    }
    return due;
}

store_gossip::actions store_gossip::receive(const node_id& from, const news_digest& digest, instant now)
{
    actions out;
    m_lastDigestAt = now;
    // A reader whose digests are late is as good as lost, so ages must include the time in queues.
    const auto delay = digest.sentAt ? m_transitDelay.excess(from, *digest.sentAt, now) : std::chrono::milliseconds(0);
    const auto sentAt = now - delay;
    if (digest.sinceFailedAttempt) {
        if (m_schedule.recordFailedAttempt(sentAt - *digest.sinceFailedAttempt))
            scheduleDigests(!isLocal(from), now); // otherwise each node would query an unavailable store
    }
    if (digest.sinceRecovery && mayHaveRecovered(sentAt - *digest.sinceRecovery))
        recordRecovery(out, sentAt - *digest.sinceRecovery, now);
    for (const auto topic : AllTopics)
        receiveTopic(out, topic, from, digest, sentAt, now);
    if (!digest.isReply && isBehind(digest))
        sendDigest(out, from, true, now);
    return out;
}

void store_gossip::receiveTopic(
    actions& out, store_topic topic, const node_id& from, const news_digest& digest, instant sentAt, instant now)
{
    if (!digest.of(topic).known)
        return;
    auto& state = stateOf(topic);
    const auto received = state.held ? withEpochOf(*state.held, digest.of(topic)) : digest.of(topic);
    const auto asOf = sentAt - received.age;
    noteRead(asOf);
    m_schedule.recordRead(asOf, digest.reader);
    // Only nodes that read the store announce its recovery: a node that was frozen may learn of a restore much later.
    if (isRestored(received.readRevision.epoch()))
        out.emplace_back(store_recovered { asOf });
    if (state.held && received.changeRevision > state.held->changeRevision
        && includes(*state.held, received.changeRevision)) {
        // This node has the content of the store at a later revision, so it has the announced change.
        out.emplace_back(adopt_revision { topic, received.changeRevision });
        const auto readRevision = std::max(received.readRevision, state.held->readRevision);
        adoptVersion(topic, { received.changeRevision, readRevision, asOf }, !isLocal(from), now);
        return;
    }
    if (!state.held || received.changeRevision > state.held->changeRevision) {
        auto& sources = state.sources;
        sources.erase(
            std::remove_if(sources.begin(), sources.end(), [&from](const source& known) { return known.node == from; }),
            sources.end());
        sources.push_back({ from, received.changeRevision });
        if (sources.size() > m_settings.sources)
            sources.erase(sources.begin());
        if (!state.behindSince)
            state.behindSince = now;
        if (!state.pulling && now >= state.pullAt)
            startPull(out, topic, now);
        return;
    }
    if (received.changeRevision == state.held->changeRevision)
        adoptVersion(topic, { received.changeRevision, received.readRevision, asOf }, !isLocal(from), now);
}

// Adopts a received, pulled or read version unless it is older than the held one.
bool store_gossip::adoptVersion(store_topic topic, const topic_version& version, bool fromOutsideZone, instant now)
{
    auto& state = stateOf(topic);
    auto& held = state.held;
    if (held
        && (version.changeRevision < held->changeRevision
            || (version.changeRevision == held->changeRevision && version.readRevision < held->readRevision)))
        return false;
    const bool isNewer = !held || version.changeRevision > held->changeRevision;
    const auto gain = held ? version.asOf - held->asOf : instant::duration::max();
    const auto asOf = held ? std::max(held->asOf, version.asOf) : version.asOf;
    const auto readRevision = held ? std::max(held->readRevision, version.readRevision) : version.readRevision;
    held = topic_version { version.changeRevision, readRevision, asOf };
    if (isNewer)
        state.behindSince.reset(); // newer versions are announced again
    if (isNewer || gain > m_settings.antiEntropyPeriod / SameWaveDivisor)
        scheduleDigests(fromOutsideZone, now);
    return true;
}

bool store_gossip::isBehind(const news_digest& digest) const
{
    for (const auto topic : AllTopics) {
        const auto& held = m_topics[static_cast<std::size_t>(topic)].held;
        const auto& other = digest.of(topic);
        if (held && (!other.known || withEpochOf(*held, other).changeRevision < held->changeRevision))
            return true;
    }
    return false;
}

void store_gossip::startPull(actions& out, store_topic topic, instant now)
{
    auto& state = stateOf(topic);
    auto& sources = state.sources;
    sources.erase(
        std::remove_if(sources.begin(), sources.end(),
            [&state](const source& known) { return state.held && known.changeRevision <= state.held->changeRevision; }),
        sources.end());
    if (sources.empty())
        return;
    state.pulling = true;
    state.pullAt = now + m_settings.pullRetryDelay;
    state.pulledFrom = sources.back().node;
    out.emplace_back(pull_changes { topic, state.pulledFrom });
}

store_gossip::actions store_gossip::pulled(store_topic topic, const std::optional<topic_version>& version, instant now)
{
    actions out;
    auto& state = stateOf(topic);
    state.pulling = false;
    if (version && adoptVersion(topic, *version, !isLocal(state.pulledFrom), now))
        state.pullAt = now;
    else
        forgetSource(state, state.pulledFrom); // the node did not hold the announced version, or did not respond
    startPull(out, topic, now);
    return out;
}

void store_gossip::forgetSource(topic_state& state, const node_id& source)
{
    auto& sources = state.sources;
    sources.erase(
        std::remove_if(sources.begin(), sources.end(), [&source](const auto& known) { return known.node == source; }),
        sources.end());
}

// A read that the store leaves unanswered must not delay the next one, since the store may have returned meanwhile.
bool store_gossip::mayRead() const
{
    return m_reads.empty() || m_reads.back().slow;
}

void store_gossip::startRead(actions& out, instant now)
{
    read_in_progress read { ++m_lastRead, now, {} };
    for (const auto topic : AllTopics) {
        const auto& held = stateOf(topic).held;
        read.revisionsAtStart[static_cast<std::size_t>(topic)] = held ? held->readRevision : store_version {};
        out.emplace_back(read_store { topic, read.number });
    }
    m_reads.push_back(read);
}

store_gossip::actions store_gossip::storeResponded(
    store_topic topic, std::uint64_t epoch, instant startedAt, instant now)
{
    actions out;
    if (isRestored(epoch))
        recordRecovery(out, now, now);
    const auto last = m_schedule.lastRead();
    if (topic == store_topic::Targets && last && m_schedule.lastFailedAttempt()
        && startedAt > *last + m_settings.outageThreshold)
        recordRecovery(out, now, now);
    return out;
}

store_gossip::actions store_gossip::recoveryNoticed(std::chrono::milliseconds sinceRecovery, instant now)
{
    actions out;
    if (mayHaveRecovered(now - sinceRecovery))
        recordRecovery(out, now - sinceRecovery, now);
    return out;
}

void store_gossip::noteRead(instant at)
{
    if (!m_lastKnownRead || at > *m_lastKnownRead + SameRecoveryWindow)
        m_availableSince = at;
    m_lastKnownRead = std::max(m_lastKnownRead.value_or(at), at);
}

// A node that was frozen or cut off notices a recovery late. The others, which knew of reads all the while, must not
// keep removed targets again.
bool store_gossip::mayHaveRecovered(instant at) const
{
    return !m_lastKnownRead || at <= m_availableSince + SameRecoveryWindow
        || at > *m_lastKnownRead + SameRecoveryWindow;
}

void store_gossip::recordRecovery(actions& out, instant at, instant now)
{
    if (m_recoveredAt && at <= *m_recoveredAt + SameRecoveryWindow)
        return;
    m_recoveredAt = at;
    out.emplace_back(store_recovered { at });
    scheduleDigests(true, now);
}

// Returns whether the store was restored since this node learned of it last. Registrations that the store lost then
// return as after an outage.
bool store_gossip::isRestored(std::uint64_t epoch)
{
    const bool holdsAny = std::any_of(
        m_topics.begin(), m_topics.end(), [](const topic_state& state) { return state.held.has_value(); });
    const bool isLater = epoch > m_epoch;
    m_epoch = std::max(m_epoch, epoch);
    return isLater && holdsAny;
}

std::optional<std::chrono::milliseconds> store_gossip::sinceRecovery(instant now) const
{
    if (!m_recoveredAt || now >= *m_recoveredAt + m_settings.recoveryNoticePeriod)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_recoveredAt);
}

store_gossip::actions store_gossip::readEnded(
    const read_store& read, const std::optional<topic_version>& version, instant now)
{
    actions out;
    const auto found = std::find_if(
        m_reads.begin(), m_reads.end(), [&read](const read_in_progress& each) { return each.number == read.read; });
    if (found == m_reads.end())
        return out;
    const auto startedAt = found->startedAt;
    auto& state = stateOf(read.topic);
    // A store that returns an older state than before has lost nothing, but its response is outdated.
    if (!version || version->readRevision < found->revisionsAtStart[static_cast<std::size_t>(read.topic)])
        found->failed = true;
    else
        adoptVersion(read.topic, *version, true, now);
    // The store has nothing newer than what this node has now, unless the newer version was announced since.
    if (version && state.behindSince && (!found->slow || *state.behindSince < startedAt))
        state.behindSince.reset();
    if (--found->pendingTopics)
        return out;
    const auto ended = *found;
    m_reads.erase(found);
    if (!ended.failed)
        noteRead(startedAt);
    m_schedule.readEnded(!ended.failed, startedAt, ended.slow, now);
    scheduleDigests(true, now);
    return out;
}

void store_gossip::targetsReplaced(instant now)
{
    m_departureQuestions = m_settings.departureQuestions;
    m_nextQuestionAt = now;
}

store_gossip::actions store_gossip::readEarly(instant now)
{
    actions out;
    const auto last = m_schedule.lastRead();
    if (m_schedule.isReader() && mayRead() && last && now > *last + m_settings.antiEntropyPeriod / SameWaveDivisor)
        startRead(out, now);
    return out;
}

std::optional<instant> store_gossip::asOf(store_topic topic) const
{
    const auto& held = m_topics[static_cast<std::size_t>(topic)].held;
    return held ? std::optional<instant>(held->asOf) : std::nullopt;
}

bool store_gossip::isStoreUnavailable() const
{
    const auto attempt = m_schedule.lastFailedAttempt();
    const auto reading = m_schedule.lastRead();
    return attempt && (!reading || *attempt > *reading);
}

news_digest store_gossip::digest(instant now) const
{
    const auto since = [now](instant then) {
        return std::max(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - then), std::chrono::milliseconds(0));
    };
    news_digest result;
    for (const auto topic : AllTopics) {
        const auto& held = m_topics[static_cast<std::size_t>(topic)].held;
        if (held)
            result.of(topic) = { true, held->changeRevision, held->readRevision, since(held->asOf) };
    }
    if (const auto attempt = m_schedule.lastFailedAttempt())
        result.sinceFailedAttempt = since(*attempt);
    result.sinceRecovery = sinceRecovery(now);
    result.sentAt = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    result.reader = m_schedule.reader();
    return result;
}

void store_gossip::scheduleDigests(bool fromOutsideZone, instant now)
{
    m_sendToOtherZones = m_sendToOtherZones || fromOutsideZone;
    if (!m_sendDigestsAt)
        m_sendDigestsAt = now + m_settings.batchDelay;
}

void store_gossip::sendDigests(actions& out, instant now)
{
    const bool toOtherZones = m_sendToOtherZones || !m_random.below(m_settings.remoteFanOutInterval);
    m_sendDigestsAt.reset();
    m_sendToOtherZones = false;
    for (const auto& node : randomSubset(m_sameZone, m_settings.localFanOut))
        sendDigest(out, node, false, now);
    for (const auto& node : randomSubset(m_others, toOtherZones ? m_settings.remoteFanOut : 0))
        sendDigest(out, node, false, now);
}

std::vector<node_id> store_gossip::randomSubset(const std::vector<node_id>& nodes, std::size_t count)
{
    std::vector<node_id> chosen;
    if (nodes.size() <= count)
        return nodes;
    while (chosen.size() < count) {
        const auto& node = nodes[m_random.below(nodes.size())];
        if (std::find(chosen.begin(), chosen.end(), node) == chosen.end())
            chosen.push_back(node);
    }
    return chosen;
}

bool store_gossip::isLocal(const node_id& node) const
{
    return std::binary_search(m_sameZone.begin(), m_sameZone.end(), node);
}

void store_gossip::sendDigest(actions& out, const node_id& to, bool isReply, instant now)
{
    auto result = digest(now);
    result.isReply = isReply;
    out.emplace_back(send_digest { to, result });
}

node_id store_gossip::randomNode(seeded_random& random) const
{
    const bool local = !m_sameZone.empty() && (m_others.empty() || random.below(m_settings.remoteExchangeInterval));
    const auto& nodes = local ? m_sameZone : m_others;
    return nodes.empty() ? node_id() : nodes[random.below(nodes.size())];
}

} // namespace oriolepick
