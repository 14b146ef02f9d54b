#include "routing/store_gossip.h"

#include "core/stable_hash.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Part of the bound after which a node that heard of news and did not get them reads the store itself.
    constexpr int PullTimeoutDivisor = 4;
    /// A wave that makes a node's knowledge younger by less than this share of a period is not passed on: it is the
    /// same wave by another way.
    constexpr int SameWaveDivisor = 2;

    constexpr std::array<store_topic, StoreTopicCount> AllTopics { store_topic::Configuration, store_topic::Targets };

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
}

store_gossip::actions store_gossip::tick(instant now)
{
    actions out;
    if (m_readSlowAt && now >= *m_readSlowAt) {
        m_readSlowAt.reset();
        m_schedule.markReadSlow(now);
        scheduleDigests(true, now);
    }
    m_schedule.setIsolated(m_lastDigestAt && now > *m_lastDigestAt + m_settings.isolationTimeout);
    if (!m_pendingReads && now >= readDueAt())
        startRead(out, now);
    for (const auto topic : AllTopics) {
        auto& state = stateOf(topic);
        if (!state.pulling && !state.sources.empty() && now >= state.pullAt)
            startPull(out, topic, now);
    }
    if (m_sendDigestsAt && now >= *m_sendDigestsAt)
        sendDigests(out, now);
    if (now >= m_antiEntropyAt) {
        const auto period = holdsAll() ? m_settings.antiEntropyPeriod : m_settings.pullRetryDelay;
        m_antiEntropyAt
            = now + period / 2 + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(period.count())));
        const auto node = randomNode();
        if (!node.empty())
            sendDigest(out, node, false, now);
    }
    return out;
}

instant store_gossip::nextDue() const
{
    auto due = m_antiEntropyAt;
    if (!m_pendingReads)
        due = std::min(due, readDueAt());
    if (m_sendDigestsAt)
        due = std::min(due, *m_sendDigestsAt);
    if (m_readSlowAt)
        due = std::min(due, *m_readSlowAt);
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

// A node that hears of readings but does not get their news reads the store itself.
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
    if (digest.sinceFailedAttempt) {
        if (m_schedule.recordFailedAttempt(now - *digest.sinceFailedAttempt))
            scheduleDigests(!isLocal(from), now); // or each node would ask a store that is away
    }
    for (const auto topic : AllTopics)
        receiveTopic(out, topic, from, digest, now);
    if (!digest.isReply && isBehind(digest))
        sendDigest(out, from, true, now);
    return out;
}

void store_gossip::receiveTopic(
    actions& out, store_topic topic, const node_id& from, const news_digest& digest, instant now)
{
    const auto& received = digest.of(topic);
    if (!received.known)
        return;
    auto& state = stateOf(topic);
    const auto asOf = now - received.age;
    m_schedule.recordRead(asOf, digest.reader);
    if (!state.held || received.changeRevision > state.held->changeRevision) {
        auto& sources = state.sources;
        sources.erase(std::remove_if(sources.begin(), sources.end(),
                          [&from](const topic_source& known) { return known.node == from; }),
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
        adoptVersion(out, topic, { received.changeRevision, received.readRevision, asOf }, !isLocal(from), now);
}

// Takes over what was heard, pulled or read unless it is older than what is held.
bool store_gossip::adoptVersion(
    actions& out, store_topic topic, const topic_version& version, bool fromOutsideZone, instant now)
{
    auto& state = stateOf(topic);
    auto& held = state.held;
    if (held && (version.changeRevision < held->changeRevision || version.readRevision < held->readRevision))
        return false;
    const bool isNewer = !held || version.changeRevision > held->changeRevision;
    const auto gain = held ? version.asOf - held->asOf : instant::duration::max();
    if (held && topic == store_topic::Targets && gain > m_settings.outageThreshold)
        out.emplace_back(store_recovered {});
    const auto asOf = held ? std::max(held->asOf, version.asOf) : version.asOf;
    held = topic_version { version.changeRevision, version.readRevision, asOf };
    if (isNewer)
        state.behindSince.reset(); // if there is more, it is told again
    if (isNewer || gain > m_settings.antiEntropyPeriod / SameWaveDivisor)
        scheduleDigests(fromOutsideZone, now);
    return true;
}

bool store_gossip::isBehind(const news_digest& digest) const
{
    for (const auto topic : AllTopics) {
        const auto& held = m_topics[static_cast<std::size_t>(topic)].held;
        const auto& other = digest.of(topic);
        if (held && (!other.known || other.changeRevision < held->changeRevision))
            return true;
    }
    return false;
}

void store_gossip::startPull(actions& out, store_topic topic, instant now)
{
    auto& state = stateOf(topic);
    auto& sources = state.sources;
    sources.erase(std::remove_if(sources.begin(), sources.end(),
                      [&state](const topic_source& known) {
                          return state.held && known.changeRevision <= state.held->changeRevision;
                      }),
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
    if (version && adoptVersion(out, topic, *version, !isLocal(state.pulledFrom), now))
        state.pullAt = now;
    else
        forgetSource(state, state.pulledFrom); // it did not have what it told of, or it does not answer
    startPull(out, topic, now);
    return out;
}

void store_gossip::forgetSource(topic_state& state, const node_id& topic_source)
{
    auto& sources = state.sources;
    sources.erase(std::remove_if(sources.begin(), sources.end(),
                      [&topic_source](const auto& known) { return known.node == topic_source; }),
        sources.end());
}

void store_gossip::startRead(actions& out, instant now)
{
    m_schedule.readStarted(now);
    m_pendingReads = StoreTopicCount;
    m_readSlowAt = now + m_settings.slowReadThreshold;
    m_readFailed = false;
    for (const auto topic : AllTopics) {
        const auto& held = stateOf(topic).held;
        stateOf(topic).revisionAtReadStart = held ? held->readRevision : 0;
        out.emplace_back(read_store { topic });
    }
}

store_gossip::actions store_gossip::readEnded(
    store_topic topic, const std::optional<topic_version>& version, instant now)
{
    actions out;
    // A store that shows an older state than before has lost nothing; its answer only says nothing of now.
    if (!version || version->readRevision < stateOf(topic).revisionAtReadStart)
        m_readFailed = true;
    else
        adoptVersion(out, topic, *version, true, now);
    if (--m_pendingReads)
        return out;
    m_readSlowAt.reset();
    m_schedule.readEnded(!m_readFailed, now);
    scheduleDigests(true, now);
    return out;
}

store_gossip::actions store_gossip::readEarly(instant now)
{
    actions out;
    const auto last = m_schedule.lastRead();
    if (m_schedule.isReader() && !m_pendingReads && last
        && now > *last + m_settings.antiEntropyPeriod / SameWaveDivisor)
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

node_id store_gossip::randomNode()
{
    const bool local = !m_sameZone.empty() && (m_others.empty() || m_random.below(m_settings.remoteExchangeInterval));
    const auto& nodes = local ? m_sameZone : m_others;
    return nodes.empty() ? node_id() : nodes[m_random.below(nodes.size())];
}

} // namespace oriolepick
