/// \file
/// A bounded estimate of the prompt-prefix blocks that one engine holds in its cache.
#pragma once

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace oriolepick {

/// Chained hash of a prompt block: equal hashes mean equal prompts up to the end of the block.
using block_hash = std::uint64_t;

/// Two generations of block hashes. When the recent one is full it replaces the older one, which approximates the
/// engine's least-recently-used eviction without a time stamp per block.
class prefix_sketch {
public:
    /// \param capacityBlocks blocks the engine can cache; about twice as many hashes are kept at most
    explicit prefix_sketch(std::size_t capacityBlocks);

    /// Records that the engine has (or is about to have) \p blocks.
    void add(const std::vector<block_hash>& blocks);

    /// Records an eviction that the engine reported.
    void remove(block_hash block);

    /// Applies the sequence number of a cache event. Lost events age the sketch, because they may have been evictions.
    /// \param sequence number of the event, consecutive per engine
    /// \return false when the event is old or repeated and must be ignored
    bool acceptSequence(std::uint64_t sequence);

    /// Forgets the older generation.
    void rotate();

    /// Forgets everything, for an engine that restarted.
    void clear();

    /// \return how many leading blocks of \p blocks are believed to be cached
    std::size_t prefixHits(const std::vector<block_hash>& blocks) const;

    /// \return the number of stored hashes
    std::size_t size() const { return m_recent.size() + m_older.size(); }

    /// \return bytes of heap memory in use
    std::size_t memoryBytes() const;

private:
    using truncated_hash = std::uint32_t; // half the memory; a collision costs one wrong estimate

    bool contains(block_hash block) const;

    std::size_t m_capacity;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_lostEvents = 0;
    absl::flat_hash_set<truncated_hash> m_recent;
    absl::flat_hash_set<truncated_hash> m_older;
};

} // namespace oriolepick
