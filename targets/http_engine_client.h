/// \file
/// Engines over HTTP and server-sent events.
#pragma once

#include "targets/engine_client.h"
#include "targets/event_stream_parser.h"
#include "targets/service_client.h"

#include <functional>
#include <utility>

namespace oriolepick {

class attempt_reader;
class memory_budget;
struct buffered_response;

/// Makes each call on a connection of its own.
class http_engine_client : public engine_client {
public:
    /// Receives the headers of each response, on the thread of the call.
    using header_observer = std::function<void(const std::string& address, const header_list& headers)>;

    /// \param memory limits what all responses hold together; outlives this object
    explicit http_engine_client(memory_budget& memory, event_stream_limits limits = {}, header_observer observer = {})
        : m_memory(memory)
        , m_limits(limits)
        , m_observer(std::move(observer))
    {
    }

    void start(const std::string& address, const attempt_request& request, const stream_timeouts& timeouts,
        attempt_sink& sink, call_abort& abort) override;
    void attach(const std::string& address, const attempt_id& attempt, std::uint32_t from, std::uint64_t readerEpoch,
        const stream_timeouts& timeouts, attempt_sink& sink, call_abort& abort) override;
    result<void> cancel(
        const std::string& address, const attempt_id& attempt, std::chrono::milliseconds timeout) override;
    probe_answer probe(const std::string& address, const std::optional<attempt_id>& attempt,
        std::chrono::milliseconds timeout) const override;
    result<engine_state> readState(const std::string& address, std::chrono::milliseconds timeout) const override;
    result<engine_load> readLoad(const std::string& address, std::chrono::milliseconds timeout) const override;
    result<cache_events> readCacheEvents(
        const std::string& address, std::uint64_t after, std::chrono::milliseconds timeout) const override;
    result<void> giveOrder(
        const std::string& address, const engine_order& order, std::chrono::milliseconds timeout) override;

private:
    void stream(const std::string& address, const service_request& request, const stream_timeouts& timeouts,
        attempt_reader& reader, call_abort& abort) const;
    buffered_response callOnce(
        const std::string& address, const service_request& request, std::chrono::milliseconds timeout) const;
    template <typename Value>
    result<Value> readReport(const std::string& address, const std::string& path, std::chrono::milliseconds timeout,
        result<Value> (*parse)(std::string_view)) const;
    void observe(const std::string& address, const header_list& headers) const;

    memory_budget& m_memory;
    event_stream_limits m_limits;
    header_observer m_observer;
};

} // namespace oriolepick
