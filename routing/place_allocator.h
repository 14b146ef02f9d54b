/// \file
/// The accounts of all shards that one node allocates.
#pragma once

#include "core/instant.h"
#include "core/seeded_random.h"
#include "routing/place_account.h"
#include "routing/place_directory.h"
#include "routing/place_messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace oriolepick {

/// Settings of place_allocator.
struct place_allocator_settings {
    place_account_settings account;
    std::size_t maxShards = 1'024; ///< bound of the memory; more than a node is asked for in the largest fleet
    std::chrono::milliseconds idleRetention { 10'000 }; ///< of the account of a shard without messages
};

/// Answers the requests of all nodes for the shards of this one. It answers also for shards that another node allocates
/// in its own view: the views differ for moments only, and targets refuse the excess. Not synchronized.
class place_allocator {
public:
    using actions = std::vector<send_place_message>;

    /// \param directory must outlive this object. After it changed, call tick().
    place_allocator(const place_directory& directory, const place_allocator_settings& settings, seeded_random random);

    /// Handles place_request, place_state, place_cancel and place_renewal; ignores other messages.
    actions receive(const node_id& from, const place_message& message, instant now);

    /// Performs all due work. Call at nextDue() or later, and after a change of the directory.
    actions tick(instant now);

    /// \return the time of the next due work of tick()
    instant nextDue() const;

    /// \return the account of \p shard, or null
    const place_account* find(const place_shard& shard) const;

    /// \return the number of shards with an account
    std::size_t shards() const { return m_accounts.size(); }

    /// \return the number of requests that wait, over all shards
    std::size_t waiting() const;

private:
    place_account* accountOf(const place_shard& shard, instant now);
    actions followDirectory(instant now);

    const place_directory& m_directory;
    place_allocator_settings m_settings;
    seeded_random m_random;
    std::map<place_shard, place_account> m_accounts;
    std::uint64_t m_seenRevision = 0;
};

} // namespace oriolepick
