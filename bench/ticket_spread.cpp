#include "bench/ticket_spread.h"

#include <algorithm>
#include <numeric>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds MessageDelay { 1 };
    constexpr std::chrono::milliseconds ReadDelay { 5 };
    constexpr std::uint64_t ControlBytes = 12; ///< an announcement or a fetch without its envelope
    constexpr int SettleSeconds = 30;

    node_id idOf(unsigned index)
    {
        return node_id(std::to_string(index));
    }

} // namespace

ticket_spread::ticket_spread(unsigned nodes, std::size_t ticketBytes, std::uint64_t seed)
    : m_text(ticketBytes, 't')
    , m_sent(nodes)
    , m_now(std::chrono::hours(1))
{
    for (unsigned index = 0; index < nodes; ++index) {
        m_nodes.emplace_back(ticket_distributor_settings {}, seeded_random(seed * 1000 + index));
        std::vector<node_id> peers;
        for (unsigned other = 0; other < nodes; ++other) {
            if (other != index)
                peers.push_back(idOf(other));
        }
        m_nodes.back().setPeers(std::move(peers));
    }
    // Nodes start at different times, so that their timers do not align.
    seeded_random random(seed);
    for (unsigned index = 0; index < nodes; ++index) {
        const auto start = m_now + std::chrono::milliseconds(random.below(1000));
        perform(index, m_nodes[index].wake(start));
        perform(index, m_nodes[index].platformBatchRead(start, tailAfter(0)));
    }
    for (int millisecond = 0; millisecond < SettleSeconds * 1000; ++millisecond)
        step();
    std::fill(m_sent.begin(), m_sent.end(), 0);
    m_readCount = 0;
}

ticket_batch ticket_spread::tailAfter(std::uint64_t after) const
{
    ticket_batch batch;
    batch.first = after + 1;
    batch.headNumber = m_head;
    for (auto number = after + 1; number <= m_head; ++number)
        batch.tickets.push_back(m_text);
    return batch;
}

void ticket_spread::send(unsigned from, const node_id& to, body message)
{
    std::uint64_t bytes = ControlBytes;
    if (const auto* batch = std::get_if<ticket_batch>(&message)) {
        for (const auto& text : batch->tickets)
            bytes += text.size();
    }
    m_sent[from] += bytes;
    m_events.push_back(
        { m_now + MessageDelay, from, static_cast<unsigned>(std::stoul(to.value())), std::move(message) });
}

void ticket_spread::perform(unsigned node, const ticket_distributor::actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* announced = std::get_if<ticket_distributor::announce>(&action))
            send(node, announced->peer, *announced);
        else if (const auto* asked = std::get_if<ticket_distributor::fetch>(&action))
            send(node, asked->peer, *asked);
        else if (const auto* sent = std::get_if<ticket_distributor::send_batch>(&action))
            send(node, sent->peer, sent->batch);
        else if (const auto* applied = std::get_if<ticket_distributor::apply_batch>(&action))
            perform(node, m_nodes[node].applied(store_version(0, applied->batch.lastNumber())));
        else if (const auto* tail = std::get_if<ticket_distributor::read_tail>(&action))
            m_reads.push_back({ m_now + ReadDelay, node, tail->after });
        else if (std::holds_alternative<ticket_distributor::read_head>(action))
            m_reads.push_back({ m_now + ReadDelay, node, std::nullopt });
    }
}

void ticket_spread::deliver(const event& arrived)
{
    auto& node = m_nodes[arrived.to];
    if (const auto* announced = std::get_if<ticket_distributor::announce>(&arrived.message))
        perform(arrived.to, node.peerPositionReceived(m_now, idOf(arrived.from), announced->position));
    else if (const auto* asked = std::get_if<ticket_distributor::fetch>(&arrived.message))
        perform(arrived.to, node.fetchRequested(idOf(arrived.from), asked->after));
    else
        perform(arrived.to, node.batchReceived(m_now, idOf(arrived.from), std::get<ticket_batch>(arrived.message)));
}

/// One millisecond.
void ticket_spread::step()
{
    m_now += std::chrono::milliseconds(1);
    while (!m_events.empty() && m_events.front().at <= m_now) {
        const auto arrived = std::move(m_events.front());
        m_events.pop_front();
        deliver(arrived);
    }
    while (!m_reads.empty() && m_reads.front().at <= m_now) {
        const auto read = m_reads.front();
        m_reads.pop_front();
        // Reading the tail takes two operations: the head row and the scan.
        m_readCount += read.after ? 2 : 1;
        perform(read.node,
            read.after ? m_nodes[read.node].platformBatchRead(m_now, tailAfter(*read.after))
                       : m_nodes[read.node].headRead(m_now, store_version(0, m_head)));
    }
    for (unsigned index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index].nextWake() <= m_now)
            perform(index, m_nodes[index].wake(m_now));
    }
}

bool ticket_spread::allHave(std::uint64_t number) const
{
    return std::all_of(
        m_nodes.begin(), m_nodes.end(), [&](const ticket_distributor& node) { return node.number() >= number; });
}

spread_figures ticket_spread::spreadOne()
{
    std::fill(m_sent.begin(), m_sent.end(), 0);
    const auto before = m_head;
    const auto start = m_now;
    ++m_head;
    perform(0, m_nodes[0].platformBatchRead(m_now, tailAfter(before)));
    while (!allHave(m_head))
        step();
    spread_figures figures;
    figures.milliseconds = std::chrono::duration<double, std::milli>(m_now - start).count();
    figures.rounds = figures.milliseconds / MessageDelay.count();
    figures.bytesPerNodeMean = static_cast<double>(std::accumulate(m_sent.begin(), m_sent.end(), std::uint64_t { 0 }))
        / static_cast<double>(m_sent.size());
    figures.bytesPerNodeMost = static_cast<double>(*std::max_element(m_sent.begin(), m_sent.end()));
    return figures;
}

operation_figures ticket_spread::runFor(int seconds, double ticketsPerSecond)
{
    operation_figures figures;
    std::deque<std::pair<std::uint64_t, instant>> open;
    double due = 0;
    for (int millisecond = 0; millisecond < seconds * 1000; ++millisecond) {
        due += ticketsPerSecond / 1000;
        if (due >= 1) {
            due -= 1;
            open.emplace_back(++m_head, m_now);
        }
        step();
        while (!open.empty() && allHave(open.front().first)) {
            figures.milliseconds.push_back(
                std::chrono::duration<double, std::milli>(m_now - open.front().second).count());
            open.pop_front();
        }
    }
    figures.readsPerSecond = static_cast<double>(m_readCount) / seconds;
    figures.bytesPerNodePerSecond
        = static_cast<double>(std::accumulate(m_sent.begin(), m_sent.end(), std::uint64_t { 0 }))
        / static_cast<double>(m_sent.size()) / seconds;
    return figures;
}

} // namespace oriolepick
