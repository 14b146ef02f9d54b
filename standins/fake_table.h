/// \file
/// In-process fake of the table service for unit tests, with the faults of the platform emulator but without sleeps.
#pragma once

#include "ports/table_service.h"
#include "standins/fault_switch.h"
#include "standins/memory_table.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace oriolepick {

/// Implements the port on a table in memory. A delay before the effect holds a commit: it is reported as
/// PlatformUnknown at once and takes effect when the test calls releaseHeld().
class fake_table : public table_service {
public:
    explicit fake_table(std::uint64_t seed = 1);

    result<table_outcome> commit(const table_transaction& transaction, std::chrono::milliseconds timeout) override;
    result<std::optional<table_row>> read(const std::string& key, std::chrono::milliseconds timeout) const override;
    result<std::vector<table_row>> scan(const std::string& prefix, const std::string& after, std::size_t limit,
        std::chrono::milliseconds timeout) const override;

    store_epoch epoch() const override { return m_table.epoch(); }

    /// \return all rows as they are now
    memory_table::contents copy() const { return m_table.copy(); }

    /// Comes back from \p copy with the next epoch.
    void restore(memory_table::contents copy) { m_table.restore(std::move(copy)); }

    /// Replaces the faults in force.
    void setFaults(const platform_faults& faults);

    /// Lets the oldest held commit take effect (if its conditions still hold).
    /// \return whether there was one
    bool releaseHeld();

    /// \return commits that reached the table, including refused ones
    std::size_t commits() const;

    /// \return reads and scans that reached the table
    std::size_t reads() const;

private:
    memory_table m_table;
    mutable fault_switch m_faults;
    mutable std::mutex m_mutex;
    std::vector<table_transaction> m_held;
    std::size_t m_commits = 0;
    mutable std::size_t m_reads = 0;
};

} // namespace oriolepick
