#include "gateway/store_synchronizer.h"

#include "core/text.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_message_codec.h"
#include "gateway/gateway_metrics.h"
#include "gateway/http_client.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// A node responds within milliseconds unless its processor is overloaded; a whole table takes longer.
    constexpr std::chrono::milliseconds PullTimeout { 400 };
    constexpr std::chrono::milliseconds WholePullTimeout { 1'500 };
    /// Questions about departures at a time. The oldest ends for a further one.
    constexpr std::size_t MaxDeparturePulls = 4;
    constexpr std::uint64_t MaxPullBytes = 16'777'216; ///< the registrations of 12,000 targets take 4 MB
    constexpr int Success = 200;
    /// When the tables are older than the bound divided by this number, no node could read the store in two scheduled
    /// reads.
    constexpr int StaleBoundDivisor = 2;

    /// Share of the link for whole tables; the rest remains for responses to callers.
    constexpr double WholeTableShare = 0.5;
    /// A node whose pull is refused can pull from another node that has loaded the table by then.
    constexpr std::chrono::milliseconds WholeTableBacklog { 200 };
    constexpr std::string_view AllRows = "all"; ///< in place of a revision, from a node without the table
    constexpr std::string_view DeparturesPage = "departures";
    constexpr std::array<std::string_view, StoreTopicCount> TopicNames { "configuration", "targets" };

    std::string_view nameOf(store_topic topic)
    {
        return TopicNames[static_cast<std::size_t>(topic)];
    }

} // namespace

store_synchronizer::store_synchronizer(boost::asio::io_context& loop, timer_queue& timers,
    std::array<replicated_table, StoreTopicCount> tables, callbacks callbacks, const node_id& self,
    std::chrono::milliseconds bound, bool readsAtStart, double linkBytesPerSecond, std::uint64_t seed,
    decision_log& log, gateway_metrics& metrics)
    : m_loop(loop)
    , m_timers(timers)
    , m_callbacks(std::move(callbacks))
    , m_log(log)
    , m_metrics(metrics)
    , m_bound(bound)
    , m_gossip(self, store_gossip_settings {}, bound, readsAtStart, seeded_random(seed), timers.now())
    , m_wholeTableLimiter(linkBytesPerSecond * WholeTableShare, WholeTableBacklog)
{
    for (auto& table : tables)
        m_tables.push_back({ table.name, table.store, table_follower(std::move(table.consumer)), nullptr, {}, {}, {} });
}

store_synchronizer::~store_synchronizer()
{
    m_timers.cancel(m_timer);
}

void store_synchronizer::start()
{
    perform(m_gossip.tick(m_timers.now()));
}

void store_synchronizer::setNodes(std::vector<node_id> sameZone, std::vector<node_id> others)
{
    m_gossip.setNodes(std::move(sameZone), std::move(others));
    schedule();
}

void store_synchronizer::receive(const node_id& from, const news_digest& digest)
{
    perform(m_gossip.receive(from, digest, m_timers.now()));
}

void store_synchronizer::readEarly()
{
    perform(m_gossip.readEarly(m_timers.now()));
}

void store_synchronizer::perform(const store_gossip::actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* digestToSend = std::get_if<send_digest>(&action))
            m_callbacks.send(digestToSend->to, digestToSend->digest);
        else if (const auto* changesToPull = std::get_if<pull_changes>(&action))
            pull(changesToPull->topic, changesToPull->from);
        else if (const auto* tableToRead = std::get_if<read_store>(&action))
            readStore(*tableToRead);
        else if (const auto* adopted = std::get_if<adopt_revision>(&action))
            stateOf(adopted->topic).follower.adoptRevision(adopted->changeRevision);
        else if (const auto* question = std::get_if<ask_departures>(&action))
            pullDepartures(question->from);
        else
            m_callbacks.onStoreRecovered(std::get<store_recovered>(action).at);
    }
    schedule();
}

void store_synchronizer::schedule()
{
    const auto due = m_gossip.nextDue();
    if (due >= m_timerAt)
        return;
    m_timers.cancel(m_timer);
    m_timerAt = due;
    m_timer = m_timers.at(due, [this] {
        m_timer = 0;
        m_timerAt = instant::max();
        perform(m_gossip.tick(m_timers.now()));
    });
}

void store_synchronizer::pull(store_topic topic, const node_id& from)
{
    auto& state = stateOf(topic);
    m_metrics.count("news_pulls");
    const auto& replica = state.follower.replica();
    const auto revision = replica.changeRevision();
    const auto after = replica.isLoaded()
        ? concatenated(revision.stored.number(), "/", revision.stored.epoch(), "/", revision.version)
        : std::string(AllRows);
    state.pull = std::make_shared<http_client>(m_loop, m_timers, from.value(), MaxPullBytes);
    state.pull->get(concatenated("/news/", nameOf(topic), "/", after),
        replica.isLoaded() ? PullTimeout : WholePullTimeout,
        [this, topic, from, revision, startedAt = m_timers.now()](
            const http_client_response& response) { onPulled(topic, from, revision, startedAt, response); });
}

void store_synchronizer::onPulled(store_topic topic, const node_id& from, const content_revision& requestedRevision,
    instant startedAt, const http_client_response& response)
{
    const auto now = m_timers.now();
    auto& state = stateOf(topic);
    auto& follower = state.follower;
    const auto batch = response.status == Success ? decodeBatch(response.body) : std::nullopt;
    if (!batch) {
        m_metrics.count("news_pulls_failed");
        m_log.write("news_not_given",
            { { "topic", std::string(nameOf(topic)) }, { "from", from.value() },
                { "status", std::to_string(response.status) }, { "problem", response.problem } });
        perform(m_gossip.pulled(topic, std::nullopt, now));
        return;
    }
    if (batch->sinceRecovery)
        perform(m_gossip.recoveryNoticed(*batch->sinceRecovery, now));
    const bool first = !follower.replica().isLoaded();
    if (!follower.mergePulled(*batch, requestedRevision)) {
        perform(m_gossip.pulled(topic, std::nullopt, now));
        return;
    }
    if (!batch->whole)
        state.changes.adopt(follower.replica(), requestedRevision, batch->rows, packedRowsOf(response.body));
    if (first)
        m_log.write("news_taken_over",
            { { "topic", std::string(nameOf(topic)) }, { "from", from.value() },
                { "rows", std::to_string(batch->rows.size()) }, { "age_ms", std::to_string(batch->age.count()) } });
    // The response may have taken most of the time, so the age counts from the request.
    perform(m_gossip.pulled(topic, follower.version(startedAt - batch->age), now));
}

void store_synchronizer::pullDepartures(const node_id& from)
{
    m_metrics.count("departure_pulls");
    if (m_departurePulls.size() >= MaxDeparturePulls)
        m_departurePulls.erase(m_departurePulls.begin());
    m_departurePulls.push_back(std::make_shared<http_client>(m_loop, m_timers, from.value(), MaxPullBytes));
    m_departurePulls.back()->get(
        concatenated("/news/", DeparturesPage), PullTimeout, [this, from](const http_client_response& response) {
            const auto batch = response.status == Success ? decodeBatch(response.body) : std::nullopt;
            if (batch)
                stateOf(store_topic::Targets).follower.mergeDepartures(batch->departures);
            else
                m_log.write("departures_not_given", { { "from", from.value() }, { "problem", response.problem } });
        });
}

void store_synchronizer::readStore(const read_store& read)
{
    const auto startedAt = m_timers.now();
    auto& state = stateOf(read.topic);
    const auto& replica = state.follower.replica();
    if (!replica.isLoaded()) {
        readWhole(read, startedAt);
        return;
    }
    m_metrics.count("store_readings");
    const auto after = replica.readRevision();
    state.store.readChanges(state.name, after, std::chrono::milliseconds(0),
        [this, read, startedAt, after](const row_answer& answer) { onRead(read, startedAt, after, answer); });
}

void store_synchronizer::readWhole(const read_store& read, instant startedAt)
{
    auto& state = stateOf(read.topic);
    m_metrics.count("store_whole_readings");
    state.store.readAll(
        state.name, [this, read, startedAt](const row_answer& answer) { onRead(read, startedAt, {}, answer); });
}

// \param after the revision after which changes were requested; nothing if the whole table was
void store_synchronizer::onRead(
    const read_store& read, instant startedAt, const std::optional<store_version>& after, const row_answer& answer)
{
    const auto now = m_timers.now();
    auto& state = stateOf(read.topic);
    if (after && table_follower::needsWholeTable(answer, *after)) {
        const bool restored = answer.revision.epoch() > after->epoch();
        m_log.write(restored ? "store_restored" : "history_lost",
            { { "table", state.name }, { "known_epoch", std::to_string(after->epoch()) },
                { "known_revision", std::to_string(after->number()) },
                { "epoch", std::to_string(answer.revision.epoch()) } });
        m_metrics.count(restored ? "registry_restored" : "registry_history_lost");
        readWhole(read, startedAt);
        return;
    }
    if (answer.status != row_status::Done) {
        m_metrics.count("registry_errors");
        if (!m_consecutiveFailures++)
            m_log.write("store_lost", { { "table", state.name }, { "problem", answer.problem } });
        perform(m_gossip.readEnded(read, std::nullopt, now));
        logReaderChange();
        return;
    }
    if (m_consecutiveFailures) {
        m_log.write(
            "store_regained", { { "table", state.name }, { "failures", std::to_string(m_consecutiveFailures) } });
        m_consecutiveFailures = 0;
    }
    perform(m_gossip.storeResponded(read.topic, answer.revision.epoch(), startedAt, now));
    if (!state.follower.mergeRead(answer, !after)) {
        m_metrics.count("outdated_readings");
        const topic_version old { state.follower.replica().changeRevision(), answer.revision, startedAt };
        perform(m_gossip.readEnded(read, old, now));
        return;
    }
    if (!after && read.topic == store_topic::Targets)
        m_gossip.targetsReplaced(now);
    perform(m_gossip.readEnded(read, state.follower.version(startedAt), now));
    logReaderChange();
}

void store_synchronizer::logReaderChange()
{
    const bool isReader = m_gossip.readerSchedule().isReader();
    if (isReader != m_wasReader)
        m_log.write(isReader ? "reads_store" : "reads_store_no_more",
            { { "failures", std::to_string(m_consecutiveFailures) } });
    m_wasReader = isReader;
}

std::optional<content_revision> store_synchronizer::parseRevision(
    std::string_view text, const table_replica& replica) const
{
    const auto number = parseNumber<std::uint64_t>(takeUntil(text, '/'));
    if (!number)
        return std::nullopt;
    if (text.empty())
        return content_revision { replica.changeRevision().version, { replica.readRevision().epoch(), *number } };
    const auto epoch = parseNumber<std::uint64_t>(takeUntil(text, '/'));
    const auto version = parseNumber<std::uint64_t>(text);
    if (!epoch || !version)
        return std::nullopt;
    return content_revision { *version, { *epoch, *number } };
}

std::optional<std::string> store_synchronizer::answer(std::string_view target)
{
    takeUntil(target, '/');
    const auto page = takeUntil(target, '/');
    const auto name = takeUntil(target, '/');
    if (page == "news" && name == DeparturesPage) {
        news_batch known;
        known.departures = stateOf(store_topic::Targets).follower.departures();
        return encodeBatch(known);
    }
    const auto found = std::find(TopicNames.begin(), TopicNames.end(), name);
    if (page != "news" || found == TopicNames.end())
        return std::nullopt;
    const auto topic = static_cast<store_topic>(found - TopicNames.begin());
    auto& state = stateOf(topic);
    const auto revision = parseRevision(target, state.follower.replica());
    const auto asOf = m_gossip.asOf(topic);
    if (!asOf || (!revision && target != AllRows))
        return std::nullopt;
    auto batch = state.follower.changesAfter(revision);
    batch.age = std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - *asOf);
    batch.sinceRecovery = m_gossip.sinceRecovery(m_timers.now());
    if (!batch.whole)
        return encodeBatch(batch, state.changes.pack(state.follower.replica(), batch.rows));
    if (state.whole.bytes.empty() || state.wholeRevision != batch.changeRevision) {
        state.whole = packRows(batch.rows);
        state.wholeRevision = batch.changeRevision;
    }
    if (!m_wholeTableLimiter.tryTake(state.whole.bytes.size(), m_timers.now())) {
        m_metrics.count("whole_tables_refused");
        return std::nullopt;
    }
    return encodeBatch(batch, state.whole);
}

bool store_synchronizer::isLoaded() const
{
    return std::all_of(
        m_tables.begin(), m_tables.end(), [](const table_state& state) { return state.follower.replica().isLoaded(); });
}

bool store_synchronizer::isStoreUnavailable() const
{
    return m_gossip.isStoreUnavailable() || age() > m_bound / StaleBoundDivisor;
}

std::chrono::milliseconds store_synchronizer::age() const
{
    const auto now = m_timers.now();
    auto oldest = std::chrono::milliseconds(0);
    for (const auto topic : { store_topic::Configuration, store_topic::Targets }) {
        const auto asOf = m_gossip.asOf(topic);
        if (!asOf)
            return std::chrono::milliseconds::max();
        oldest = std::max(oldest, std::chrono::duration_cast<std::chrono::milliseconds>(now - *asOf));
    }
    return oldest;
}

} // namespace oriolepick
