/// \file
/// Estimate, in bounded memory, of the prompt-prefix blocks that one engine holds in its cache.
#pragma once

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace oriolepick {

/// Chained hash of a prompt block: equal hashes mean prompts that are equal up to the end of the block.
using block_hash = std::uint64_t;

/// Two sets of block hashes, a recent and an older one. When the recent set is full, it replaces the older set. This
/// approximates the engine's least-recently-used eviction without a time stamp per block.
class prefix_sketch {
public:
    /// \param capacityBlocks blocks that the engine can cache; the sketch keeps at most about twice as many hashes
    explicit prefix_sketch(std::size_t capacityBlocks);

    /// Records that the engine has cached \p blocks or is about to cache them.
    void add(const std::vector<block_hash>& blocks);

    /// Records an eviction that the engine reported.
    void remove(block_hash block);

    /// Checks the sequence number of a cache event. A gap means lost events; enough of them rotate the sketch, because
    /// the lost events may have been evictions.
    /// \param sequence number of the event, consecutive per engine
    /// \return false if the event is out of order or a duplicate and must be ignored
    bool acceptSequence(std::uint64_t sequence);

    /// Discards the older set and replaces it by the recent set, which becomes empty.
    void rotate();

    /// Discards all hashes and the sequence number, for an engine that restarted.
    void clear();

    /// \return how many leading blocks of \p blocks are probably cached
    std::size_t prefixHits(const std::vector<block_hash>& blocks) const;

    /// \return the number of stored hashes
    std::size_t size() const { return m_recent.size() + m_older.size(); }

    /// \return bytes of heap memory in use
    std::size_t memoryBytes() const;

private:
    using truncated_hash = std::uint32_t; // half the memory of a full hash; a collision costs only a wrong estimate

    bool contains(block_hash block) const;

    std::size_t m_capacity;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_lostEvents = 0;
    absl::flat_hash_set<truncated_hash> m_recent;
    absl::flat_hash_set<truncated_hash> m_older;
};

} // namespace oriolepick
