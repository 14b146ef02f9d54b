/// \file
/// A model engine in virtual time: continuous batching, chunked prefill and a limited prefix cache.
#pragma once

#include "core/load_view.h"
#include "core/request_priority.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <utility>
#include <vector>

namespace oriolepick {

/// A request as an engine sees it.
struct engine_request {
    std::uint64_t id = 0;
    std::vector<block_hash> blocks;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 1;
    request_priority priority = request_priority::Normal;
};

/// Speed and memory of an engine. The values are those of a mid-sized model on one accelerator; a full step takes
/// 20 + 0.8 * 32 + 512 / 20 = 71 ms.
struct engine_speed {
    std::uint32_t batch = 32;
    std::chrono::microseconds stepBase { 20'000 };
    std::chrono::microseconds stepPerSequence { 800 };
    double prefillPerSecond = 20'000;
    std::uint32_t prefillChunk = 512;
    std::uint32_t cacheBlocks = 960;
    std::uint32_t blockTokens = 64;
};

/// What one step produced.
struct engine_step {
    std::chrono::nanoseconds duration { 0 };
    std::uint32_t decoded = 0; ///< sequences that received a token after their first
    std::vector<std::uint64_t> firstTokens;
    std::vector<std::uint64_t> finished;
    std::vector<block_hash> added;
    std::vector<block_hash> evicted;
};

/// What an admitted request found in the cache.
struct admitted_request {
    std::uint64_t id = 0;
    std::uint32_t cachedTokens = 0;
};

/// Fake engine, driven by beginStep and endStep.
class placement_fake_engine {
public:
    explicit placement_fake_engine(engine_speed speed);

    void submit(engine_request request);
    bool idle() const { return m_running.empty() && m_waiting.empty(); }
    bool busy() const { return m_inStep; }

    /// Admits waiting requests and plans a step.
    /// \return its duration
    std::chrono::nanoseconds beginStep(std::vector<admitted_request>& admitted);

    /// Ends the planned step.
    engine_step endStep();

    /// Loses all requests and the cache, as a crash does. Ends a planned step without result.
    /// \return the lost requests with the tokens that were produced
    std::vector<std::pair<std::uint64_t, std::uint32_t>> crash();

    load_report load() const;
    double meanRunning() const { return m_time > 0 ? m_runningTime / m_time : 0; }

private:
    struct sequence {
        engine_request request;
        std::uint32_t prefillLeft = 0;
        std::uint32_t planned = 0; // prefill tokens of this step
        std::uint32_t produced = 0;
    };

    std::uint32_t touchPrefix(const std::vector<block_hash>& blocks);
    void store(const std::vector<block_hash>& blocks, engine_step& step);

    engine_speed m_speed;
    std::deque<engine_request> m_waiting; // by priority, then arrival
    std::vector<sequence> m_running;
    std::list<block_hash> m_recency; // most recent first
    absl::flat_hash_map<block_hash, std::list<block_hash>::iterator> m_cache;
    std::chrono::nanoseconds m_duration { 0 };
    bool m_inStep = false;
    double m_runningTime = 0;
    double m_time = 0;
};

} // namespace oriolepick
