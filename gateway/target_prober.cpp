#include "gateway/target_prober.h"

#include "gateway/http_call.h"

namespace oriolepick {

namespace {

    constexpr std::uint64_t MaxAnswerBytes = 1'048'576; ///< a report lists each running request

} // namespace

target_prober::target_prober(boost::asio::io_context& loop, timer_queue& timers, std::string question)
    : m_loop(loop)
    , m_timers(timers)
    , m_question(std::move(question))
{
}

void target_prober::ask(const std::string& address, std::chrono::milliseconds patience, callback done)
{
    auto& entry = m_pending[address];
    entry.waiting.push_back(std::move(done));
    if (entry.call)
        return;
    entry.call = std::make_shared<http_call>(m_loop, m_timers, address, MaxAnswerBytes);
    entry.call->get(
        m_question, patience, [this, address](const call_answer& given) { answer(address, given.status != 0); });
}

void target_prober::answer(const std::string& address, bool alive)
{
    auto entry = m_pending.extract(address);
    // The call is in its own callback: it is released by the loop.
    m_timers.at(m_timers.now(), [call = entry.mapped().call] {});
    for (auto& waiting : entry.mapped().waiting)
        waiting(alive);
}

} // namespace oriolepick
