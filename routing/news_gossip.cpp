#include "routing/news_gossip.h"

#include "core/stable_hash.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Divisor of the bound for the time after which a node that could not pull an announced version reads the store
    /// itself.
    constexpr int PullPatiencePart = 4;
    /// Divisor of the anti-entropy period. A version that is newer by less than this part is not propagated again:
    /// it belongs to the same wave, received over another path.
    constexpr int SameWavePart = 2;

    constexpr std::array<news_topic, NewsTopics> AllTopics { news_topic::Configuration, news_topic::Targets };

} // namespace

std::uint32_t rankNumber(const node_id& node)
{
    return static_cast<std::uint32_t>(stableHash(node.value()));
}

news_gossip::news_gossip(const node_id& self, const news_gossip_settings& settings, std::chrono::milliseconds bound,
    bool readsFirst, seeded_random random, instant startedAt)
    : m_settings(settings)
    , m_self(self)
    , m_random(random)
    , m_turn(makeReaderTurnSettings(bound), rankNumber(self), readsFirst, startedAt)
    , m_pullPatience(bound / PullPatiencePart)
    , m_exchangeAt(startedAt)
{
}

void news_gossip::setNodes(std::vector<node_id> sameZone, std::vector<node_id> others)
{
    m_sameZone = std::move(sameZone);
    std::sort(m_sameZone.begin(), m_sameZone.end());
    m_others = std::move(others);
    const auto own = rankNumber(m_self);
    const auto before = [own](const node_id& node) { return rankNumber(node) < own; };
    const auto rank = std::count_if(m_sameZone.begin(), m_sameZone.end(), before)
        + std::count_if(m_others.begin(), m_others.end(), before);
    m_turn.setRank(static_cast<std::size_t>(rank), m_sameZone.size() + m_others.size() + 1);
}

news_gossip::actions news_gossip::tick(instant now)
{
    actions out;
    if (m_slowAt && now >= *m_slowAt) {
        m_slowAt.reset();
        m_turn.readingIsSlow(now);
        scheduleTelling(true, now);
    }
    m_turn.setLonely(m_lastHeard && now > *m_lastHeard + m_settings.lonely);
    if (!m_readingsLeft && now >= readingDue())
        startReading(out, now);
    for (const auto topic : AllTopics) {
        auto& state = stateOf(topic);
        if (!state.pulling && !state.tellers.empty() && now >= state.pullAt)
            startPull(out, topic, now);
    }
    if (m_tellAt && now >= *m_tellAt)
        tellSome(out, now);
    if (now >= m_exchangeAt) {
        const auto period = holdsAll() ? m_settings.exchangePeriod : m_settings.pullRetry;
        m_exchangeAt
            = now + period / 2 + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(period.count())));
        const auto node = randomNode();
        if (!node.empty())
            tell(out, node, false, now);
    }
    return out;
}

instant news_gossip::nextDue() const
{
    auto due = m_exchangeAt;
    if (!m_readingsLeft)
        due = std::min(due, readingDue());
    if (m_tellAt)
        due = std::min(due, *m_tellAt);
    if (m_slowAt)
        due = std::min(due, *m_slowAt);
    for (const auto& state : m_topics) {
        if (!state.pulling && !state.tellers.empty())
            due = std::min(due, state.pullAt);
    }
    return due;
}

bool news_gossip::holdsAll() const
{
    return std::all_of(
        m_topics.begin(), m_topics.end(), [](const topic_state& state) { return state.held.has_value(); });
}

// A node that receives digests of newer versions but cannot pull them reads the store itself.
instant news_gossip::readingDue() const
{
    auto due = m_turn.dueAt();
    for (const auto& state : m_topics) {
        if (state.behindSince)
            due = std::min(due, std::max(*state.behindSince + m_pullPatience, m_turn.retryAt()));
    }
    return due;
}

news_gossip::actions news_gossip::receive(const node_id& from, const news_digest& digest, instant now)
{
    actions out;
    m_lastHeard = now;
    if (digest.sinceAttempt) {
        if (m_turn.heardAttempt(now - *digest.sinceAttempt))
            scheduleTelling(!isLocal(from), now); // otherwise each node would query an unavailable store
    }
    for (const auto topic : AllTopics)
        hearTopic(out, topic, from, digest, now);
    if (!digest.isReply && isBehind(digest))
        tell(out, from, true, now);
    return out;
}

void news_gossip::hearTopic(actions& out, news_topic topic, const node_id& from, const news_digest& digest, instant now)
{
    const auto& heard = digest.of(topic);
    if (!heard.known)
        return;
    auto& state = stateOf(topic);
    const auto asOf = now - heard.age;
    m_turn.heardReading(asOf, digest.reader);
    if (!state.held || heard.newsRevision > state.held->newsRevision) {
        auto& tellers = state.tellers;
        tellers.erase(
            std::remove_if(tellers.begin(), tellers.end(), [&from](const teller& known) { return known.node == from; }),
            tellers.end());
        tellers.push_back({ from, heard.newsRevision });
        if (tellers.size() > m_settings.tellers)
            tellers.erase(tellers.begin());
        if (!state.behindSince)
            state.behindSince = now;
        if (!state.pulling && now >= state.pullAt)
            startPull(out, topic, now);
        return;
    }
    if (heard.newsRevision == state.held->newsRevision)
        accept(out, topic, { heard.newsRevision, heard.readRevision, asOf }, !isLocal(from), now);
}

// Adopts a received, pulled or read version unless it is older than the held one.
bool news_gossip::accept(actions& out, news_topic topic, const topic_version& version, bool fromAfar, instant now)
{
    auto& state = stateOf(topic);
    auto& held = state.held;
    if (held && (version.newsRevision < held->newsRevision || version.readRevision < held->readRevision))
        return false;
    const bool isNews = !held || version.newsRevision > held->newsRevision;
    const auto gain = held ? version.asOf - held->asOf : instant::duration::max();
    if (held && topic == news_topic::Targets && gain > m_settings.outage)
        out.emplace_back(store_returned {});
    const auto asOf = held ? std::max(held->asOf, version.asOf) : version.asOf;
    held = topic_version { version.newsRevision, version.readRevision, asOf };
    if (isNews)
        state.behindSince.reset(); // newer versions are announced again
    if (isNews || gain > m_settings.exchangePeriod / SameWavePart)
        scheduleTelling(fromAfar, now);
    return true;
}

bool news_gossip::isBehind(const news_digest& digest) const
{
    for (const auto topic : AllTopics) {
        const auto& held = m_topics[static_cast<std::size_t>(topic)].held;
        const auto& other = digest.of(topic);
        if (held && (!other.known || other.newsRevision < held->newsRevision))
            return true;
    }
    return false;
}

void news_gossip::startPull(actions& out, news_topic topic, instant now)
{
    auto& state = stateOf(topic);
    auto& tellers = state.tellers;
    tellers.erase(
        std::remove_if(tellers.begin(), tellers.end(),
            [&state](const teller& known) { return state.held && known.newsRevision <= state.held->newsRevision; }),
        tellers.end());
    if (tellers.empty())
        return;
    state.pulling = true;
    state.pullAt = now + m_settings.pullRetry;
    state.pulledFrom = tellers.back().node;
    out.emplace_back(pull_news { topic, state.pulledFrom });
}

news_gossip::actions news_gossip::pulled(news_topic topic, const std::optional<topic_version>& version, instant now)
{
    actions out;
    auto& state = stateOf(topic);
    state.pulling = false;
    if (version && accept(out, topic, *version, !isLocal(state.pulledFrom), now))
        state.pullAt = now;
    else
        forget(state, state.pulledFrom); // the node did not hold the announced version, or did not respond
    startPull(out, topic, now);
    return out;
}

void news_gossip::forget(topic_state& state, const node_id& teller)
{
    auto& tellers = state.tellers;
    tellers.erase(
        std::remove_if(tellers.begin(), tellers.end(), [&teller](const auto& known) { return known.node == teller; }),
        tellers.end());
}

void news_gossip::startReading(actions& out, instant now)
{
    m_turn.readingStarted(now);
    m_readingsLeft = NewsTopics;
    m_slowAt = now + m_settings.slowReading;
    m_readingFailed = false;
    for (const auto topic : AllTopics) {
        const auto& held = stateOf(topic).held;
        stateOf(topic).readingFrom = held ? held->readRevision : 0;
        out.emplace_back(read_store { topic });
    }
}

news_gossip::actions news_gossip::readingEnded(
    news_topic topic, const std::optional<topic_version>& version, instant now)
{
    actions out;
    // A store that returns an older state than before has lost nothing, but its response is outdated.
    if (!version || version->readRevision < stateOf(topic).readingFrom)
        m_readingFailed = true;
    else
        accept(out, topic, *version, true, now);
    if (--m_readingsLeft)
        return out;
    m_slowAt.reset();
    m_turn.readingEnded(!m_readingFailed, now);
    scheduleTelling(true, now);
    return out;
}

news_gossip::actions news_gossip::hurry(instant now)
{
    actions out;
    const auto last = m_turn.lastReading();
    if (m_turn.isReader() && !m_readingsLeft && last && now > *last + m_settings.exchangePeriod / SameWavePart)
        startReading(out, now);
    return out;
}

std::optional<instant> news_gossip::asOf(news_topic topic) const
{
    const auto& held = m_topics[static_cast<std::size_t>(topic)].held;
    return held ? std::optional<instant>(held->asOf) : std::nullopt;
}

bool news_gossip::storeIsAway() const
{
    const auto attempt = m_turn.lastAttempt();
    const auto reading = m_turn.lastReading();
    return attempt && (!reading || *attempt > *reading);
}

news_digest news_gossip::digest(instant now) const
{
    const auto since = [now](instant then) {
        return std::max(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - then), std::chrono::milliseconds(0));
    };
    news_digest told;
    for (const auto topic : AllTopics) {
        const auto& held = m_topics[static_cast<std::size_t>(topic)].held;
        if (held)
            told.of(topic) = { true, held->newsRevision, held->readRevision, since(held->asOf) };
    }
    if (const auto attempt = m_turn.lastAttempt())
        told.sinceAttempt = since(*attempt);
    told.reader = m_turn.reader();
    return told;
}

void news_gossip::scheduleTelling(bool fromAfar, instant now)
{
    m_tellZones = m_tellZones || fromAfar;
    if (!m_tellAt)
        m_tellAt = now + m_settings.collect;
}

void news_gossip::tellSome(actions& out, instant now)
{
    const bool tellZones = m_tellZones || !m_random.below(m_settings.localShare);
    m_tellAt.reset();
    m_tellZones = false;
    for (const auto& node : someOf(m_sameZone, m_settings.localFanOut))
        tell(out, node, false, now);
    for (const auto& node : someOf(m_others, tellZones ? m_settings.remoteFanOut : 0))
        tell(out, node, false, now);
}

std::vector<node_id> news_gossip::someOf(const std::vector<node_id>& nodes, std::size_t count)
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

bool news_gossip::isLocal(const node_id& node) const
{
    return std::binary_search(m_sameZone.begin(), m_sameZone.end(), node);
}

void news_gossip::tell(actions& out, const node_id& to, bool isReply, instant now)
{
    auto told = digest(now);
    told.isReply = isReply;
    out.emplace_back(tell_node { to, told });
}

node_id news_gossip::randomNode()
{
    const bool local = !m_sameZone.empty() && (m_others.empty() || m_random.below(m_settings.localExchanges));
    const auto& nodes = local ? m_sameZone : m_others;
    return nodes.empty() ? node_id() : nodes[m_random.below(nodes.size())];
}

} // namespace oriolepick
