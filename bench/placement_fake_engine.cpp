#include "bench/placement_fake_engine.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

placement_fake_engine::placement_fake_engine(engine_speed speed)
    : m_speed(speed)
{
}

void placement_fake_engine::submit(engine_request request)
{
    const auto position = std::find_if(m_waiting.begin(), m_waiting.end(),
        [&](const engine_request& other) { return other.priority < request.priority; });
    m_waiting.insert(position, std::move(request));
}

std::chrono::nanoseconds placement_fake_engine::beginStep(std::vector<admitted_request>& admitted)
{
    while (!m_waiting.empty() && m_running.size() < m_speed.batch) {
        sequence next;
        next.request = std::move(m_waiting.front());
        m_waiting.pop_front();
        const auto cached = touchPrefix(next.request.blocks);
        // The last token is always computed, because it yields the first output.
        next.prefillLeft
            = std::max<std::uint32_t>(1, next.request.promptTokens - std::min(cached, next.request.promptTokens));
        admitted.push_back({ next.request.id, next.request.promptTokens - next.prefillLeft });
        m_running.push_back(std::move(next));
    }
    std::uint32_t budget = m_speed.prefillChunk;
    std::uint32_t decoding = 0;
    for (auto& sequence : m_running) {
        sequence.planned = std::min(budget, sequence.prefillLeft);
        budget -= sequence.planned;
        decoding += sequence.prefillLeft ? 0 : 1;
    }
    const std::chrono::duration<double> prefill((m_speed.prefillChunk - budget) / m_speed.prefillPerSecond);
    m_duration = m_speed.stepBase + m_speed.stepPerSequence * decoding
        + std::chrono::duration_cast<std::chrono::nanoseconds>(prefill);
    m_inStep = true;
    return m_duration;
}

engine_step placement_fake_engine::endStep()
{
    engine_step step;
    step.duration = m_duration;
    m_inStep = false;
    const double seconds = std::chrono::duration<double>(m_duration).count();
    m_runningTime += seconds * static_cast<double>(m_running.size());
    m_time += seconds;
    for (auto& sequence : m_running) {
        if (!sequence.prefillLeft) {
            ++sequence.produced;
            ++step.decoded;
        } else if (sequence.planned) {
            sequence.prefillLeft -= sequence.planned;
            if (!sequence.prefillLeft) {
                store(sequence.request.blocks, step);
                sequence.produced = 1;
                step.firstTokens.push_back(sequence.request.id);
            }
        }
        if (sequence.produced >= sequence.request.outputTokens)
            step.finished.push_back(sequence.request.id);
    }
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(),
                        [](const sequence& item) { return item.produced >= item.request.outputTokens; }),
        m_running.end());
    return step;
}

std::vector<std::pair<std::uint64_t, std::uint32_t>> placement_fake_engine::crash()
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> lost;
    for (const auto& sequence : m_running)
        lost.emplace_back(sequence.request.id, sequence.produced);
    for (const auto& request : m_waiting)
        lost.emplace_back(request.id, 0);
    m_running.clear();
    m_waiting.clear();
    m_recency.clear();
    m_cache.clear();
    m_inStep = false;
    return lost;
}

load_report placement_fake_engine::load() const
{
    return { static_cast<std::uint32_t>(m_running.size()), static_cast<std::uint32_t>(m_waiting.size()), m_speed.batch,
        static_cast<std::uint64_t>(m_speed.cacheBlocks - m_cache.size()) * m_speed.blockTokens };
}

std::uint32_t placement_fake_engine::touchPrefix(const std::vector<block_hash>& blocks)
{
    std::uint32_t hits = 0;
    while (hits < blocks.size() && m_cache.contains(blocks[hits]))
        ++hits;
    // From the end, so that the first blocks, which most prompts share, are the most recent.
    for (std::uint32_t index = hits; index-- > 0;)
        m_recency.splice(m_recency.begin(), m_recency, m_cache[blocks[index]]);
    return hits * m_speed.blockTokens;
}

void placement_fake_engine::store(const std::vector<block_hash>& blocks, engine_step& step)
{
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto found = m_cache.find(*block);
        if (found != m_cache.end()) {
            m_recency.splice(m_recency.begin(), m_recency, found->second);
            continue;
        }
        m_recency.push_front(*block);
        m_cache[*block] = m_recency.begin();
        step.added.push_back(*block);
    }
    while (m_cache.size() > m_speed.cacheBlocks) {
        step.evicted.push_back(m_recency.back());
        m_cache.erase(m_recency.back());
        m_recency.pop_back();
    }
}

} // namespace oriolepick
