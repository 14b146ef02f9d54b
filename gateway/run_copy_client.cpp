#include "gateway/run_copy_client.h"

#include "gateway/http_client.h"
#include "gateway/request_dialect.h"

namespace oriolepick {

namespace {

    constexpr int Success = 200;
    constexpr std::uint64_t MaxResponseBytes = 65'536; ///< the body holds a handle and a number
    /// Copies are queued on the link between engines; a longer delay means that there is no memory for the copy.
    constexpr std::chrono::milliseconds ResponseTimeout { 1'000 };

} // namespace

run_copy_client::run_copy_client(
    boost::asio::io_context& loop, timer_queue& timers, const request_dialect& dialect, memory_budget& memory)
    : m_loop(loop)
    , m_memory(memory)
    , m_timers(timers)
    , m_dialect(dialect)
{
}

void run_copy_client::copyRun(
    const std::string& source, const std::string& attempt, const std::string& holder, callback done)
{
    send(source, m_dialect.writeCopyRequest(source, attempt, holder),
        [this, done = std::move(done)](const http_client_response& response) {
            done(response.status == Success ? m_dialect.readCopyHandle(response.body) : std::nullopt);
        });
}

void run_copy_client::releaseCopy(const std::string& source, const std::string& handle)
{
    // The response is ignored: a copy that is not released expires.
    send(source, m_dialect.writeCopyRelease(source, handle), [](const http_client_response&) {});
}

void run_copy_client::send(
    const std::string& address, std::string request, std::function<void(const http_client_response&)> done)
{
    const auto number = ++m_lastCall;
    auto& call = m_calls[number];
    call = std::make_shared<http_client>(m_loop, m_timers, address, MaxResponseBytes, &m_memory);
    call->send(std::move(request), ResponseTimeout,
        [this, number, done = std::move(done)](const http_client_response& response) {
            const auto finished = m_calls.extract(number); // released when this callback returns
            done(response);
        });
}

} // namespace oriolepick
