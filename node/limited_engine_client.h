/// \file
/// Engines whose request limits are kept.
#pragma once

#include "targets/engine_client.h"

namespace oriolepick {

class target_limits;

/// Takes a permit for each request. Without one nothing is sent: a start ends as QueueFull and an attach as
/// NotSent, a probe counts as alive, a cancellation and an order fail, and reports give LimitExceeded.
class limited_engine_client final : public engine_client {
public:
    /// Both references outlive this object.
    limited_engine_client(engine_client& engines, target_limits& limits);

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
    engine_client& m_engines;
    target_limits& m_limits;
};

} // namespace oriolepick
