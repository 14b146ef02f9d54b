#include "core/ticket_distributor.h"

#include <algorithm>

namespace oriolepick {

namespace {

    // Announcing to one random peer a second reaches a node that missed the eager announcements; it costs 12 bytes.
    constexpr std::chrono::milliseconds AnnounceInterval { 1000 };
    // A node without a state asks more often: it must start in under 2 s.
    constexpr std::chrono::milliseconds StartupWakeInterval { 250 };
    // Polls are spread by up to this share, so that the nodes' reads do not align.
    constexpr double PollJitter = 0.25;

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

ticket_distributor::actions ticket_distributor::peerNumberReceived(
    instant now, const node_id& peer, std::uint64_t number)
{
    actions out;
    if (number > m_number) {
        if (number >= m_highestNumber) {
            m_highestNumber = number;
            m_highestNumberPeer = peer;
        }
        if (!isFetching(now))
            appendFetch(now, peer, out);
    } else if (number < m_number && m_ready)
        out.emplace_back(announce { peer, m_number });
    return out;
}

ticket_distributor::actions ticket_distributor::fetchRequested(const node_id& peer, std::uint64_t after)
{
    actions out;
    if (!m_ready)
        return out; // it cannot tell what is in force
    if (after < m_number && m_tail.find(after + 1) == m_tail.end()) {
        out.emplace_back(send_snapshot { peer });
        return out;
    }
    ticket_batch batch;
    batch.first = after + 1;
    batch.headNumber = m_number;
    for (auto entry = m_tail.find(after + 1);
         entry != m_tail.end() && entry->first <= m_number && batch.tickets.size() < m_settings.ticketsPerBatch;
         ++entry)
        batch.tickets.push_back(entry->second);
    out.emplace_back(send_batch { peer, std::move(batch) });
    return out;
}

ticket_distributor::actions ticket_distributor::batchReceived(instant now, const node_id& peer, ticket_batch batch)
{
    m_fetchDeadline = now;
    if (batch.headNumber >= m_highestNumber) {
        m_highestNumber = batch.headNumber;
        m_highestNumberPeer = peer;
    }
    auto out = acceptBatch(std::move(batch));
    const bool progress = !out.empty();
    // After progress the next page can be asked for at once; without it the next wake tries another source.
    if (progress) {
        const auto& applying = std::get<apply_batch>(out.back()).batch;
        if (m_highestNumber > applying.lastNumber()) {
            out.emplace_back(fetch { m_highestNumberPeer, applying.lastNumber() });
            m_fetchDeadline = now + m_settings.fetchTimeout;
        }
    }
    return out;
}

ticket_distributor::actions ticket_distributor::headRead(instant now, std::optional<std::uint64_t> number)
{
    m_readDeadline = now;
    actions out;
    if (!number)
        return out;
    if (*number > m_number)
        readTail(now, out);
    return out;
}

ticket_distributor::actions ticket_distributor::platformBatchRead(instant now, std::optional<ticket_batch> batch)
{
    m_readDeadline = now;
    if (!batch)
        return {};
    const auto head = batch->headNumber;
    auto out = acceptBatch(std::move(*batch));
    if (!out.empty()) {
        const auto last = std::get<apply_batch>(out.back()).batch.lastNumber();
        if (head > last) {
            m_readDeadline = now + m_settings.readTimeout;
            out.emplace_back(read_tail { last });
        }
    }
    return out;
}

/// Keeps of a batch what continues the number in force. An older batch changes nothing.
ticket_distributor::actions ticket_distributor::acceptBatch(ticket_batch batch)
{
    actions out;
    m_sourceResponded = true;
    m_readyNumber = std::max(m_readyNumber, batch.headNumber);
    if (batch.snapshotNumber <= m_number) {
        batch.snapshotNumber = 0;
        batch.snapshot.clear();
    }
    const auto base = std::max(m_number, batch.snapshotNumber);
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
        m_ready = m_ready || m_number >= m_readyNumber;
        return out;
    }
    if (batch.snapshotNumber)
        m_tail.clear();
    for (std::size_t index = 0; index < batch.tickets.size(); ++index)
        m_tail.insert_or_assign(batch.first + index, batch.tickets[index]);
    out.emplace_back(apply_batch { std::move(batch) });
    return out;
}

ticket_distributor::actions ticket_distributor::applied(std::uint64_t number)
{
    actions out;
    if (number <= m_number)
        return out;
    m_number = number;
    m_ready = m_ready || (m_sourceResponded && m_number >= m_readyNumber);
    while (m_tail.size() > m_settings.maxTailTickets)
        m_tail.erase(m_tail.begin());
    if (m_ready)
        appendAnnouncements(out);
    return out;
}

ticket_distributor::actions ticket_distributor::wake(instant now)
{
    actions out;
    const bool fallenBehind = m_highestNumber > m_number;
    if (!m_peers.empty()) {
        if (!m_ready || fallenBehind) {
            // Another peer than the one that did not answer: it may have failed.
            if (!isFetching(now))
                appendFetch(now, randomPeer(), out);
        } else
            out.emplace_back(announce { randomPeer(), m_number });
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

void ticket_distributor::readTail(instant now, actions& out)
{
    m_readDeadline = now + m_settings.readTimeout;
    out.emplace_back(read_tail { m_number });
}

void ticket_distributor::appendFetch(instant now, const node_id& peer, actions& out)
{
    m_fetchDeadline = now + m_settings.fetchTimeout;
    out.emplace_back(fetch { peer, m_number });
}

void ticket_distributor::appendAnnouncements(actions& out)
{
    // A partial shuffle picks distinct peers.
    const auto count = std::min(m_settings.announceFanout, m_peers.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(m_peers[index], m_peers[index + m_random.below(m_peers.size() - index)]);
        out.emplace_back(announce { m_peers[index], m_number });
    }
}

} // namespace oriolepick
