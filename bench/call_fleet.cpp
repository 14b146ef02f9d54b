#include "bench/call_fleet.h"

#include <cmath>
#include <string>

namespace oriolepick {

namespace {

    using std::chrono::microseconds;

    constexpr microseconds PeerLatency { 500 };
    const team_id Team(fleet_name("refill"), "desk");

    node_id nodeName(std::size_t index)
    {
        return node_id("n" + std::to_string(index));
    }

    std::size_t nodeIndex(const node_id& name)
    {
        return std::stoul(name.value().substr(1));
    }

    double millisecondsBetween(instant from, instant to)
    {
        return std::chrono::duration<double, std::milli>(to - from).count();
    }

} // namespace

call_fleet::call_fleet(const call_load& load, std::uint64_t seed)
    : m_load(load)
    , m_random(seed)
    , m_nodes(load.nodes)
    , m_now(std::chrono::seconds(10))
{
    for (std::size_t index = 0; index < load.nodes; ++index) {
        m_nodes[index].desk = std::make_unique<call_coordinator>(
            nodeName(index), 1, call_settings {}, committer_settings {}, m_codec, m_random.next());
        m_nodes[index].desk->setFleetSize(load.nodes);
    }
}

call_figures call_fleet::run()
{
    double at = 0;
    for (std::uint64_t number = 0; at < m_load.seconds; ++number) {
        at += -std::log(1 - m_random.unit()) / m_load.callsPerSecond;
        const auto index = m_random.below(m_nodes.size());
        const auto key = "k" + std::to_string(number);
        const auto when = m_now + microseconds(static_cast<std::int64_t>(at * 1e6));
        schedule(when, [this, index, key] { arrive(index, key); });
        if (m_random.unit() < m_load.retryShare) {
            const auto other = m_random.below(m_nodes.size());
            schedule(when + std::chrono::milliseconds(5), [this, other, key] { arrive(other, key); });
        }
    }
    while (!m_events.empty()) {
        const auto next = m_events.begin();
        m_now = next->first;
        const auto event = std::move(next->second);
        m_events.erase(next);
        event();
    }
    for (const auto& each : m_nodes)
        m_figures.rowsWritten += each.desk->committer().rowsWritten();
    return std::move(m_figures);
}

void call_fleet::deliver(std::size_t index, microseconds after, desk_event event)
{
    schedule(m_now + after, [this, index, event = std::move(event)] {
        const auto start = std::chrono::steady_clock::now();
        const auto actions = event(*m_nodes[index].desk, time());
        m_figures.deskSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        ++m_figures.events;
        apply(index, actions);
    });
}

void call_fleet::arrive(std::size_t index, const std::string& key)
{
    ++m_figures.calls;
    deliver(index, microseconds(0), [this, index, key](call_coordinator& desk, clock_reading now) {
        auto opened = desk.open(now, { { Team, key }, true, 1, now.wall, now.now + std::chrono::seconds(30) });
        m_nodes[index].arrivals[opened.first] = now.now;
        return std::move(opened.second);
    });
}

void call_fleet::apply(std::size_t index, const coordinator_actions& actions)
{
    for (const auto& action : actions)
        std::visit([this, index](const auto& each) { execute(index, each); }, action);
    wakeLater(index);
}

void call_fleet::wakeLater(std::size_t index)
{
    auto& target = m_nodes[index];
    const auto wake = target.desk->wakeAt();
    if (!wake || *wake >= target.wake)
        return;
    target.wake = std::max(*wake, m_now);
    deliver(index, std::chrono::ceil<microseconds>(target.wake - m_now),
        [this, index](call_coordinator& desk, clock_reading now) {
            m_nodes[index].wake = instant::max();
            return desk.tick(now);
        });
}

microseconds call_fleet::tableLatency()
{
    const double half = m_load.tableMilliseconds * 500;
    return microseconds(static_cast<std::int64_t>(half - half * std::log(1 - m_random.unit())));
}

void call_fleet::execute(std::size_t index, const commit_call_rows& action)
{
    ++m_figures.commits;
    schedule(m_now + tableLatency() / 2, [this, index, transaction = action.transaction] {
        const auto outcome = m_table.commit(transaction);
        deliver(index, tableLatency() / 2,
            [outcome](call_coordinator& desk, clock_reading now) { return desk.commitFinished(now, outcome); });
    });
}

void call_fleet::execute(std::size_t index, const fetch_call_row& action)
{
    ++m_figures.reads;
    deliver(index, tableLatency(), [this, action](call_coordinator& desk, clock_reading now) {
        return desk.rowRead(now, action.number, m_table.read(action.key));
    });
}

void call_fleet::execute(std::size_t index, const place_call& action)
{
    deliver(index, microseconds(0), [number = action.number](call_coordinator& desk, clock_reading now) {
        return desk.targetChosen(now, number, target_id(fleet_name("refill"), "dispatch"));
    });
}

void call_fleet::execute(std::size_t index, const send_call& action)
{
    ++m_figures.runs;
    m_figures.claimMilliseconds.push_back(millisecondsBetween(m_nodes[index].arrivals.at(action.number), m_now));
    const microseconds service(static_cast<std::int64_t>(m_load.serviceMilliseconds * 1000));
    deliver(index, service, [number = action.number](call_coordinator& desk, clock_reading now) {
        return desk.dispatchAnswered(now, number, { 200, "application/json", R"({"order":"confirmed"})" });
    });
}

void call_fleet::execute(std::size_t index, const answer_caller& action)
{
    const auto found = m_nodes[index].arrivals.find(action.number);
    m_figures.answerMilliseconds.push_back(millisecondsBetween(found->second, m_now));
    m_nodes[index].arrivals.erase(found);
    ++(action.reply ? m_figures.answered : m_figures.failed);
}

void call_fleet::execute(std::size_t index, const send_claim_inquiry& action)
{
    deliver(nodeIndex(action.node), PeerLatency, [index, action](call_coordinator& desk, clock_reading now) {
        return desk.claimInquiry(now, nodeName(index), action.key, action.claimId);
    });
}

void call_fleet::execute(std::size_t, const send_claim_notice& action)
{
    deliver(nodeIndex(action.node), PeerLatency,
        [row = action.row](call_coordinator& desk, clock_reading now) { return desk.claimNotice(now, row); });
}

} // namespace oriolepick
