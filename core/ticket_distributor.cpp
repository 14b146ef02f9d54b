#include "core/ticket_distributor.h"

#include <algorithm>

namespace oriolepick {

namespace {

    // Anti-entropy: an announcement of 12 bytes to one random peer reaches nodes that missed the immediate ones.
    constexpr std::chrono::milliseconds AnnounceInterval { 1000 };
    // A node that is not ready or lags behind queries its peers more often: it must start in less than 2 s.
    constexpr std::chrono::milliseconds StartupWakeInterval { 250 };
    // Jitter as a share of the poll interval, so that the nodes' reads do not synchronize.
    constexpr double PollJitter = 0.25;
    // A node that starts after a restore waits this long for peers that know more tickets than the table.
    constexpr std::chrono::milliseconds PeerGrace { 1000 };
    constexpr std::chrono::milliseconds MaxPeerGrace { 5000 };
    constexpr std::chrono::milliseconds ComparisonInterval { 2000 };

} // namespace

ticket_distributor::ticket_distributor(ticket_distributor_settings settings, seeded_random random)
    : m_settings(settings)
    , m_random(random)
{
}

void ticket_distributor::setPeers(std::vector<node_id> peers)
{
    m_peers = std::move(peers);
}

std::chrono::milliseconds ticket_distributor::pollInterval() const
{
    const double seconds = static_cast<double>(m_peers.size() + 1) / m_settings.fleetReadsPerSecond;
    return std::max(m_settings.minPollInterval, std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
}

void ticket_distributor::notePeer(instant now, const node_id& peer, const store_version& position)
{
    m_now = now;
    m_seenEpoch = std::max(m_seenEpoch, position.epoch());
    if (position >= m_highest) {
        m_highest = position;
        m_highestPeer = peer;
    }
    if (!m_ready && position.epoch() < m_position.epoch() && position.number() > m_position.number())
        m_readyAt = std::min(now + PeerGrace, m_startedAt + MaxPeerGrace);
}

ticket_distributor::actions ticket_distributor::peerPositionReceived(
    instant now, const node_id& peer, const store_version& position)
{
    actions out;
    notePeer(now, peer, position);
    if (position > m_position) {
        if (!isFetching(now))
            appendFetch(now, peer, out);
    } else if (position < m_position && m_ready)
        out.emplace_back(announce { peer, m_position });
    return out;
}

ticket_distributor::actions ticket_distributor::fetchRequested(const node_id& peer, std::uint64_t after, bool whole)
{
    actions out;
    if (!m_ready)
        return out; // this node does not have the state in force yet
    const auto number = m_position.number();
    if (whole || (after < number && m_tail.find(after + 1) == m_tail.end())) {
        out.emplace_back(send_snapshot { peer, recentTickets() });
        return out;
    }
    ticket_batch batch;
    batch.first = after + 1;
    batch.headNumber = number;
    batch.epoch = m_position.epoch();
    for (auto entry = m_tail.find(after + 1);
         entry != m_tail.end() && entry->first <= number && batch.tickets.size() < m_settings.ticketsPerBatch; ++entry)
        batch.tickets.push_back(entry->second);
    out.emplace_back(send_batch { peer, std::move(batch) });
    return out;
}

ticket_distributor::actions ticket_distributor::batchReceived(instant now, const node_id& peer, ticket_batch batch)
{
    m_fetchDeadline = now;
    m_peerResponded = true;
    notePeer(now, peer, batch.head());
    if (batch.epoch > m_position.epoch() && m_position.number())
        return adoptBatch(now, std::move(batch), peer);
    auto out = acceptBatch(std::move(batch));
    const bool progress = !out.empty();
    // After progress, the next batch is requested immediately. Otherwise the next wake() queries another peer.
    if (progress) {
        const auto& applying = std::get<apply_batch>(out.back()).batch;
        const store_version last(applying.epoch, applying.lastNumber());
        if (m_highest > last && m_highest.epoch() == last.epoch()) {
            out.emplace_back(fetch { m_highestPeer, last.number(), false });
            m_fetchDeadline = now + m_settings.fetchTimeout;
        }
    }
    return out;
}

ticket_distributor::actions ticket_distributor::headRead(instant now, std::optional<store_version> head)
{
    m_now = now;
    m_readDeadline = now;
    actions out;
    if (!head)
        return out;
    m_seenEpoch = std::max(m_seenEpoch, head->epoch());
    if (*head > m_position)
        readTail(now, out);
    return out;
}

ticket_distributor::actions ticket_distributor::platformBatchRead(instant now, std::optional<ticket_batch> batch)
{
    m_now = now;
    m_readDeadline = now;
    if (!batch)
        return {};
    m_seenEpoch = std::max(m_seenEpoch, batch->epoch);
    if (batch->epoch > m_position.epoch() && m_position.number())
        return adoptBatch(now, std::move(*batch), std::nullopt);
    const auto head = batch->headNumber;
    auto out = acceptBatch(std::move(*batch));
    if (!out.empty()) {
        const auto last = std::get<apply_batch>(out.back()).batch.lastNumber();
        if (head > last) {
            m_readDeadline = now + m_settings.readTimeout;
            out.emplace_back(read_tail { last, false });
        }
    }
    return out;
}

ticket_distributor::relation ticket_distributor::compare(const ticket_batch& batch) const
{
    const auto number = m_position.number();
    // A batch that begins with the first ticket, or before it, agrees as far as it goes.
    std::uint64_t agreed = batch.first == 1 ? 0 : number + 1;
    for (std::size_t index = 0; index < batch.tickets.size() && batch.first + index <= number; ++index) {
        const auto own = m_tail.find(batch.first + index);
        if (own == m_tail.end())
            continue;
        if (own->second != batch.tickets[index])
            return relation::Differs;
        agreed = batch.first + index;
    }
    if (agreed == number)
        return relation::Continues;
    return agreed == batch.headNumber && agreed < number ? relation::Lacks : relation::Unknown;
}

/// Handles a batch of a later epoch than this node's history.
ticket_distributor::actions ticket_distributor::adoptBatch(
    instant now, ticket_batch batch, const std::optional<node_id>& peer)
{
    const bool whole = batch.replaces || (batch.snapshotNumber && batch.snapshotNumber == batch.headNumber);
    const auto found = compare(batch);
    const bool differs = found == relation::Differs || m_differingEpoch == batch.epoch;
    if (whole && (differs || batch.headNumber >= m_position.number())) {
        batch.replaces = true;
        return acceptBatch(std::move(batch));
    }
    if (found != relation::Continues)
        return resolve(now, found, batch, peer);
    m_position = store_version(batch.epoch, m_position.number());
    auto out = acceptBatch(std::move(batch));
    if (out.empty() && m_ready)
        appendAnnouncements(out);
    return out;
}

ticket_distributor::actions ticket_distributor::resolve(
    instant now, relation found, const ticket_batch& batch, const std::optional<node_id>& peer)
{
    actions out;
    if (found == relation::Differs)
        m_differingEpoch = batch.epoch;
    const bool replace = found == relation::Differs
        || (found == relation::Unknown && batch.headNumber >= m_position.number()
            && batch.first <= requestedAfter() + 1);
    if (replace && peer)
        appendFetch(now, *peer, out, true);
    else if (replace)
        readTail(now, out, true);
    else if (found == relation::Lacks && !peer) {
        auto lost = keptAfter(batch.headNumber);
        if (!lost.empty()) {
            m_readDeadline = now + m_settings.readTimeout;
            out.emplace_back(restore_tickets { batch.head(), std::move(lost) });
        }
    } else if (now >= m_nextComparison && m_readDeadline <= now) {
        m_nextComparison = now + ComparisonInterval;
        readTail(now, out);
    }
    return out;
}

ticket_distributor::actions ticket_distributor::ticketsRestored(instant now)
{
    m_now = now;
    m_readDeadline = now;
    actions out;
    readTail(now, out);
    return out;
}

ticket_batch ticket_distributor::recentTickets() const
{
    const auto number = m_position.number();
    const auto last = m_tail.upper_bound(number);
    auto entry = last;
    ticket_batch recent;
    while (entry != m_tail.begin() && number + 1 - std::prev(entry)->first <= m_settings.comparedTickets)
        --entry;
    recent.first = entry == last ? number + 1 : entry->first;
    for (; entry != last; ++entry)
        recent.tickets.push_back(entry->second);
    recent.headNumber = number;
    recent.epoch = m_position.epoch();
    return recent;
}

/// \return the tickets after \p number up to the number in force, or none when one of them is not kept
std::vector<std::string> ticket_distributor::keptAfter(std::uint64_t number) const
{
    std::vector<std::string> kept;
    for (auto entry = m_tail.find(number + 1); entry != m_tail.end() && entry->first <= m_position.number(); ++entry)
        kept.push_back(entry->second);
    if (number + kept.size() != m_position.number())
        kept.clear();
    return kept;
}

/// \return the number after which tickets are requested: earlier ones too when they have to be compared
std::uint64_t ticket_distributor::requestedAfter() const
{
    const auto number = m_position.number();
    if (!isEpochBehind() || m_tail.empty())
        return number;
    const auto compared = std::min<std::uint64_t>(number, m_settings.comparedTickets);
    return std::max(number - compared, m_tail.begin()->first - 1);
}

/// Accepts the part of a batch that follows the number in force, and drops a batch with a gap. Older content is
/// ignored.
ticket_distributor::actions ticket_distributor::acceptBatch(ticket_batch batch)
{
    actions out;
    m_sourceResponded = true;
    if (batch.epoch < m_position.epoch())
        return out;
    m_readyPosition = std::max(m_readyPosition, batch.head());
    if (batch.replaces || batch.snapshotNumber > m_position.number()) {
        m_tail.clear();
        for (std::size_t index = 0; index < batch.tickets.size(); ++index)
            m_tail.insert_or_assign(batch.first + index, batch.tickets[index]);
    }
    if (batch.replaces) {
        out.emplace_back(apply_batch { std::move(batch) });
        return out;
    }
    const auto number = m_position.number();
    if (batch.snapshotNumber <= number) {
        batch.snapshotNumber = 0;
        batch.snapshot.clear();
    }
    const auto base = std::max(number, batch.snapshotNumber);
    if (batch.first <= base) {
        const auto known = std::min<std::uint64_t>(base + 1 - batch.first, batch.tickets.size());
        batch.tickets.erase(batch.tickets.begin(), batch.tickets.begin() + static_cast<std::ptrdiff_t>(known));
        batch.first = base + 1;
    }
    if (!batch.tickets.empty() && batch.first != base + 1) {
        ++m_droppedBatches;
        batch.tickets.clear();
    }
    if (batch.tickets.empty())
        batch.first = base + 1;
    if (!batch.snapshotNumber && batch.tickets.empty()) {
        m_position = std::max(m_position, store_version(batch.epoch, number));
        updateReady(m_now);
        return out;
    }
    for (std::size_t index = 0; index < batch.tickets.size(); ++index)
        m_tail.insert_or_assign(batch.first + index, batch.tickets[index]);
    out.emplace_back(apply_batch { std::move(batch) });
    return out;
}

void ticket_distributor::updateReady(instant now)
{
    // After a restore the table may know less than the peers.
    const bool peersHeard = m_position.epoch() == 0 || m_peers.empty() || m_peerResponded;
    m_ready = m_ready
        || (m_sourceResponded && m_position >= m_readyPosition && now >= m_readyAt
            && (peersHeard || now >= m_startedAt + PeerGrace));
}

ticket_distributor::actions ticket_distributor::applied(const store_version& position)
{
    actions out;
    if (position <= m_position)
        return out;
    m_position = position;
    updateReady(m_now);
    while (m_tail.size() > m_settings.maxTailTickets)
        m_tail.erase(m_tail.begin());
    if (m_ready)
        appendAnnouncements(out);
    return out;
}

ticket_distributor::actions ticket_distributor::wake(instant now)
{
    actions out;
    m_now = now;
    if (!m_started)
        m_startedAt = now;
    m_started = true;
    updateReady(now);
    const bool fallenBehind = m_highest > m_position;
    if (!m_peers.empty()) {
        if (!m_ready || fallenBehind) {
            // Queries a random peer, because the previous one may have failed.
            if (!isFetching(now))
                appendFetch(
                    now, fallenBehind && isEpochBehind() && m_random.below(2) ? m_highestPeer : randomPeer(), out);
        } else
            out.emplace_back(announce { randomPeer(), m_position });
    }
    if (now >= m_nextPoll) {
        if (m_readDeadline <= now) {
            if (m_ready) {
                m_readDeadline = now + m_settings.readTimeout;
                out.emplace_back(read_head {});
            } else
                readTail(now, out);
        }
        const auto spread = 1 + PollJitter * (2 * m_random.unit() - 1);
        const auto interval = m_ready ? pollInterval() : m_settings.minPollInterval;
        m_nextPoll = now + std::chrono::duration_cast<instant::duration>(interval * spread);
    }
    m_nextWake = now + (m_ready && !fallenBehind ? AnnounceInterval : StartupWakeInterval);
    if (m_nextPoll < m_nextWake)
        m_nextWake = m_nextPoll;
    return out;
}

void ticket_distributor::readTail(instant now, actions& out, bool whole)
{
    m_readDeadline = now + m_settings.readTimeout;
    out.emplace_back(read_tail { whole ? 0 : requestedAfter(), whole });
}

void ticket_distributor::appendFetch(instant now, const node_id& peer, actions& out, bool whole)
{
    m_fetchDeadline = now + m_settings.fetchTimeout;
    out.emplace_back(fetch { peer, requestedAfter(), whole });
}

void ticket_distributor::appendAnnouncements(actions& out)
{
    // A partial Fisher-Yates shuffle selects distinct peers.
    const auto count = std::min(m_settings.announceFanout, m_peers.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(m_peers[index], m_peers[index + m_random.below(m_peers.size() - index)]);
        out.emplace_back(announce { m_peers[index], m_position });
    }
}

} // namespace oriolepick
