// A sink that records one streaming call, and helpers to run calls and wait on conditions.
#pragma once

#include "standins/engine_emulator.h"
#include "standins/expected_answer.h"
#include "targets/call_abort.h"
#include "targets/http_engine_client.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace oriolepick {

class recording_sink : public attempt_sink {
public:
    explicit recording_sink(std::size_t stopAfter = SIZE_MAX)
        : m_stopAfter(stopAfter)
    {
    }

    read_decision accepted(const std::optional<engine_load>& load) override
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_accepted = true;
        m_load = load;
        m_changed.notify_all();
        return read_decision::Continue;
    }
    read_decision tokenArrived(std::uint32_t, const token& next) override
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tokens.push_back(next.id);
        m_changed.notify_all();
        return m_tokens.size() >= m_stopAfter ? read_decision::Stop : read_decision::Continue;
    }
    void done(const attempt_summary& summary) override
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_summary = summary;
        m_changed.notify_all();
    }
    void broken(stream_break reason, const std::string& detail) override
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_reason = reason;
        m_detail = detail;
        m_changed.notify_all();
    }

    bool accepted() const { return read<bool>(m_accepted); }
    token_list tokens() const { return read<token_list>(m_tokens); }
    std::optional<engine_load> load() const { return read<std::optional<engine_load>>(m_load); }
    std::optional<attempt_summary> summary() const { return read<std::optional<attempt_summary>>(m_summary); }
    std::optional<stream_break> reason() const { return read<std::optional<stream_break>>(m_reason); }
    std::string detail() const { return read<std::string>(m_detail); }

    /// Waits until \p count tokens arrived or the call ended.
    bool waitForTokens(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(
            lock, std::chrono::minutes(1), [&] { return m_tokens.size() >= count || m_summary || m_reason; });
        return m_tokens.size() >= count;
    }

private:
    template <typename Value> Value read(const Value& value) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return value;
    }

    const std::size_t m_stopAfter;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_accepted = false;
    token_list m_tokens;
    std::optional<engine_load> m_load;
    std::optional<attempt_summary> m_summary;
    std::optional<stream_break> m_reason;
    std::string m_detail;
};

/// A streaming call on a thread of its own.
class background_call {
public:
    explicit background_call(const std::function<void(attempt_sink&, call_abort&)>& call)
        : m_thread([this, call] { call(m_sink, m_abort); })
    {
    }
    ~background_call() { join(); }

    void join()
    {
        if (m_thread.joinable())
            m_thread.join();
    }
    recording_sink& sink() { return m_sink; }
    call_abort& abort() { return m_abort; }

private:
    recording_sink m_sink;
    call_abort m_abort;
    std::thread m_thread;
};

/// Waits for a condition with a bound that only a failing test reaches.
inline bool eventually(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

inline model_ref testModel()
{
    return { model_id(fleet_name("atelier"), "manuals"), model_version("3"), adapter_name("") };
}

/// An engine that computes a token every 2 ms.
inline engine_settings quickEngine()
{
    engine_settings settings;
    settings.models = { testModel() };
    settings.stepBase = std::chrono::milliseconds(2);
    settings.stepPerAttempt = {};
    settings.prefillPerToken = {};
    settings.cacheEventDelay = {};
    settings.loadReportLag = {};
    settings.maxConnections = 16;
    return settings;
}

inline attempt_request testRequest(const std::string& prompt, std::uint32_t ordinal = 1)
{
    attempt_request request;
    request.id = { "node-1.7", ordinal };
    request.model = testModel();
    request.prompt = prompt;
    request.seed = 42;
    request.maxTokens = 100'000;
    return request;
}

inline token_list expectedTokens(const attempt_request& request, std::uint64_t salt = 0)
{
    return expectedAnswer(answer_function(request.model, request.seed, request.prompt), request.maxTokens, salt);
}

} // namespace oriolepick
