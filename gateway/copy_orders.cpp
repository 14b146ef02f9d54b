#include "gateway/copy_orders.h"

#include "gateway/http_client.h"
#include "gateway/request_dialect.h"

namespace oriolepick {

namespace {

    constexpr int Success = 200;
    constexpr std::uint64_t MaxAnswerBytes = 65'536; ///< a handle and a number
    /// A copy is made behind others on the link; longer means that there is no room for it.
    constexpr std::chrono::milliseconds Patience { 1'000 };

} // namespace

copy_orders::copy_orders(boost::asio::io_context& loop, timer_queue& timers, const request_dialect& dialect)
    : m_loop(loop)
    , m_timers(timers)
    , m_dialect(dialect)
{
}

void copy_orders::order(const std::string& source, const std::string& attempt, const std::string& holder, callback done)
{
    send(source, m_dialect.writeCopyOrder(source, attempt, holder),
        [this, done = std::move(done)](const http_client_response& answer) {
            done(answer.status == Success ? m_dialect.readCopyHandle(answer.body) : std::nullopt);
        });
}

void copy_orders::release(const std::string& source, const std::string& handle)
{
    // An answer changes nothing: a copy that is not freed lapses by itself.
    send(source, m_dialect.writeCopyRelease(source, handle), [](const http_client_response&) {});
}

void copy_orders::send(
    const std::string& address, std::string request, std::function<void(const http_client_response&)> done)
{
    const auto number = ++m_lastCall;
    auto& call = m_calls[number];
    call = std::make_shared<http_client>(m_loop, m_timers, address, MaxAnswerBytes);
    call->send(
        std::move(request), Patience, [this, number, done = std::move(done)](const http_client_response& answer) {
            const auto finished = m_calls.extract(number); // released when this callback returns
            done(answer);
        });
}

} // namespace oriolepick
