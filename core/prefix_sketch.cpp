#include "core/prefix_sketch.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::size_t LossDivisorBeforeRotation = 16; ///< The sketch ages after losing capacity / 16 events.

} // namespace

prefix_sketch::prefix_sketch(std::size_t capacityBlocks)
    : m_capacity(std::max<std::size_t>(capacityBlocks, 1))
{
}

void prefix_sketch::add(const std::vector<block_hash>& blocks)
{
    for (const block_hash block : blocks) {
        const auto key = static_cast<truncated_hash>(block);
        m_older.erase(key);
        m_recent.insert(key);
    }
    if (m_recent.size() >= m_capacity)
        rotate();
}

void prefix_sketch::remove(block_hash block)
{
    m_recent.erase(static_cast<truncated_hash>(block));
    m_older.erase(static_cast<truncated_hash>(block));
}

bool prefix_sketch::acceptSequence(std::uint64_t sequence)
{
    if (sequence <= m_lastSequence)
        return false;
    if (m_lastSequence)
        m_lostEvents += sequence - m_lastSequence - 1;
    m_lastSequence = sequence;
    if (m_lostEvents * LossDivisorBeforeRotation >= m_capacity) {
        m_lostEvents = 0;
        rotate();
    }
    return true;
}

void prefix_sketch::rotate()
{
    m_older = std::move(m_recent);
    m_recent.clear();
}

void prefix_sketch::clear()
{
    m_recent.clear();
    m_older.clear();
    m_lastSequence = 0;
    m_lostEvents = 0;
}

std::size_t prefix_sketch::prefixHits(const std::vector<block_hash>& blocks) const
{
    std::size_t hits = 0;
    while (hits < blocks.size() && contains(blocks[hits]))
        ++hits;
    return hits;
}

std::size_t prefix_sketch::memoryBytes() const
{
    return (m_recent.capacity() + m_older.capacity()) * (sizeof(truncated_hash) + 1);
}

bool prefix_sketch::contains(block_hash block) const
{
    const auto key = static_cast<truncated_hash>(block);
    return m_recent.contains(key) || m_older.contains(key);
}

} // namespace oriolepick
