#include "gateway/relayed_source.h"

#include "core/text.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/http_call.h"
#include "gateway/row_codec.h"
#include "routing/node_roster.h"

namespace oriolepick {

namespace {

    /// A node of the same zone answers within a millisecond when it is not short of processor time.
    constexpr std::chrono::milliseconds PeerTimeout { 250 };
    constexpr std::uint64_t MaxAnswerBytes = 8'388'608; ///< a whole batch of registrations at 12,000 targets
    constexpr int Success = 200;
    constexpr int TooOld = 503; ///< the reader does not know the changes, but it lives

} // namespace

relayed_source::relayed_source(boost::asio::io_context& loop, timer_queue& timers, node_roster& roster,
    row_source& store, decision_log& log, gateway_metrics& metrics)
    : m_loop(loop)
    , m_timers(timers)
    , m_roster(roster)
    , m_store(store)
    , m_log(log)
    , m_metrics(metrics)
{
}

relayed_source::~relayed_source() = default;

void relayed_source::readAll(const std::string& table, callback done)
{
    m_store.readAll(table, std::move(done));
}

void relayed_source::readChanges(
    const std::string& table, std::uint64_t revision, std::chrono::milliseconds wait, callback done)
{
    const auto peer = m_roster.reader(m_timers.now());
    if (!peer) {
        m_store.readChanges(table, revision, wait, std::move(done));
        return;
    }
    if (!m_call || m_callAddress != peer->peerAddress) {
        m_callAddress = peer->peerAddress;
        m_call = std::make_shared<http_call>(m_loop, m_timers, m_callAddress, MaxAnswerBytes);
    }
    m_call->get(concatenated("/rows/", table, "/", revision), PeerTimeout,
        [this, peer = *peer, table, revision, wait, done = std::move(done)](
            const call_answer& given) mutable { onPeer(peer, given, table, revision, wait, std::move(done)); });
}

void relayed_source::onPeer(const node_entry& peer, const call_answer& given, const std::string& table,
    std::uint64_t revision, std::chrono::milliseconds wait, callback done)
{
    if (given.status == Success) {
        auto rows = decodeRows(given.body);
        if (rows.status == row_status::Done) {
            done(std::move(rows));
            return;
        }
    }
    m_metrics.count("relay_fallbacks");
    if (given.status != TooOld) {
        m_roster.avoid(peer.node, m_timers.now());
        m_log.write("reader_lost",
            { { "reader", peer.node.value() }, { "table", table }, { "status", std::to_string(given.status) },
                { "problem", given.problem } });
    }
    m_store.readChanges(table, revision, wait, std::move(done));
}

} // namespace oriolepick
