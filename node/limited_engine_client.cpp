#include "node/limited_engine_client.h"

#include "node/target_limits.h"

namespace oriolepick {

namespace {

    error limitExceeded(const std::string& address)
    {
        return { error_kind::LimitExceeded, "engine " + address + ": its request limit is used up", {} };
    }

} // namespace

limited_engine_client::limited_engine_client(engine_client& engines, target_limits& limits)
    : m_engines(engines)
    , m_limits(limits)
{
}

void limited_engine_client::start(const std::string& address, const attempt_request& request,
    const stream_timeouts& timeouts, attempt_sink& sink, call_abort& abort)
{
    if (m_limits.acquire(address))
        m_engines.start(address, request, timeouts, sink, abort);
    else
        sink.broken(stream_break::QueueFull, limitExceeded(address).message);
}

void limited_engine_client::attach(const std::string& address, const attempt_id& attempt, std::uint32_t from,
    std::uint64_t readerEpoch, const stream_timeouts& timeouts, attempt_sink& sink, call_abort& abort)
{
    if (m_limits.acquire(address))
        m_engines.attach(address, attempt, from, readerEpoch, timeouts, sink, abort);
    else
        sink.broken(stream_break::NotSent, limitExceeded(address).message);
}

result<void> limited_engine_client::cancel(
    const std::string& address, const attempt_id& attempt, std::chrono::milliseconds timeout)
{
    if (!m_limits.acquire(address))
        return limitExceeded(address);
    return m_engines.cancel(address, attempt, timeout);
}

probe_answer limited_engine_client::probe(
    const std::string& address, const std::optional<attempt_id>& attempt, std::chrono::milliseconds timeout) const
{
    if (!m_limits.acquire(address))
        return { true, std::nullopt };
    return m_engines.probe(address, attempt, timeout);
}

result<engine_state> limited_engine_client::readState(
    const std::string& address, std::chrono::milliseconds timeout) const
{
    if (!m_limits.acquire(address))
        return limitExceeded(address);
    return m_engines.readState(address, timeout);
}

result<engine_load> limited_engine_client::readLoad(const std::string& address, std::chrono::milliseconds timeout) const
{
    if (!m_limits.acquire(address))
        return limitExceeded(address);
    return m_engines.readLoad(address, timeout);
}

result<cache_events> limited_engine_client::readCacheEvents(
    const std::string& address, std::uint64_t after, std::chrono::milliseconds timeout) const
{
    if (!m_limits.acquire(address))
        return limitExceeded(address);
    return m_engines.readCacheEvents(address, after, timeout);
}

result<void> limited_engine_client::giveOrder(
    const std::string& address, const engine_order& order, std::chrono::milliseconds timeout)
{
    if (!m_limits.acquire(address))
        return limitExceeded(address);
    return m_engines.giveOrder(address, order, timeout);
}

} // namespace oriolepick
