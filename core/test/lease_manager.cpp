// Guards that two nodes never hold one lease at the same time and that no two holders get the same fencing number,
// despite pauses, lost answers and delayed commits.
#include "core/lease_manager.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <vector>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

/// Fake table with one row and conditional commits.
struct lease_table {
    std::optional<table_row> row;
    std::optional<table_row> copied;
    store_epoch epoch = 0;

    /// Comes back from the copy: what was written since is gone.
    void restore()
    {
        ++epoch;
        row = copied;
        if (row)
            row->version = store_version(epoch, row->version.number());
        copied = row;
    }

    bool commit(const table_transaction& transaction)
    {
        const auto& expected = transaction.conditions.at(0).version;
        if (expected.has_value() != row.has_value() || (row && row->version != *expected))
            return false;
        row = table_row { transaction.writes.at(0).key, *transaction.writes.at(0).value,
            row ? row->version.next() : store_version(epoch, 7) };
        return true;
    }
};

class lease_simulation {
public:
    static constexpr unsigned NodeCount = 3;

    lease_simulation()
    {
        for (unsigned index = 0; index < NodeCount; ++index)
            m_managers.emplace_back("one/d/z", "node" + std::to_string(index), lease_settings {});
    }

    /// \param kind 0: the node runs an operation; 1: the answer is lost; 2: the commit is delayed; 3: time passes;
    ///     4: a delayed commit takes effect; 5: the table is copied; 6: the table comes back from the copy
    void run(unsigned kind, unsigned node, unsigned amount)
    {
        m_now += milliseconds(kind == 3 ? 200 + amount * 20 : 50);
        if (kind == 4 && !m_delayed.empty()) {
            m_table.commit(m_delayed.front());
            m_delayed.erase(m_delayed.begin());
        } else if (kind == 5)
            m_table.copied = m_table.row;
        else if (kind == 6)
            m_table.restore();
        else if (kind < 3)
            runOperation(m_managers[node % NodeCount], kind, amount);
        check();
    }

    void runWithoutFaults()
    {
        m_delayed.clear();
        for (int round = 0; round < 200; ++round) {
            m_now += milliseconds(500);
            for (auto& manager : m_managers)
                runOperation(manager, 0, 0);
            check();
        }
    }

    unsigned holders() const
    {
        unsigned count = 0;
        for (const auto& manager : m_managers)
            count += manager.fencing(m_now) ? 1 : 0;
        return count;
    }

private:
    void runOperation(lease_manager& manager, unsigned fault, unsigned amount)
    {
        const auto action = manager.wake(m_now);
        if (!action)
            return;
        const error lost { error_kind::PlatformUnknown, "lost" };
        if (std::holds_alternative<lease_manager::read_row>(*action)) {
            const auto row = m_table.row;
            const auto epoch = m_table.epoch;
            m_now += milliseconds(amount); // the node may be paused before it processes the answer
            if (fault)
                manager.rowRead(m_now, error { error_kind::PlatformUnavailable, "down" }, epoch);
            else
                manager.rowRead(m_now, row, epoch);
            return;
        }
        const auto& transaction = std::get<lease_manager::commit_rows>(*action).transaction;
        if (fault == 2) {
            m_delayed.push_back(transaction);
            return manager.committed(m_now, lost);
        }
        table_outcome outcome { m_table.commit(transaction), {} };
        if (outcome.committed)
            outcome.versions = { m_table.row->version };
        m_now += milliseconds(amount * 12); // a pause of up to 8 s between the commit and its answer
        if (fault == 1)
            manager.committed(m_now, lost);
        else
            manager.committed(m_now, outcome);
    }

    void check()
    {
        RC_ASSERT(holders() <= 1);
        for (unsigned index = 0; index < NodeCount; ++index) {
            if (const auto fencing = m_managers[index].fencing(m_now)) {
                const auto [entry, added] = m_holderByFencing.emplace(*fencing, index);
                RC_ASSERT(entry->second == index);
                RC_ASSERT(*fencing >= m_highestFencing);
                m_highestFencing = *fencing;
            }
        }
    }

    instant m_now { std::chrono::hours(1) };
    lease_table m_table;
    std::vector<table_transaction> m_delayed;
    std::vector<lease_manager> m_managers;
    std::map<std::uint64_t, unsigned> m_holderByFencing;
    std::uint64_t m_highestFencing = 0;
};

} // namespace

TEST(lease_manager, at_most_one_holder_and_every_fencing_number_has_one_holder)
{
    EXPECT_TRUE(rc::check("random pauses and lost answers", [] {
        using step = std::tuple<unsigned, unsigned, unsigned>;
        const auto steps = *rc::gen::scale(4.0,
            rc::gen::container<std::vector<step>>(rc::gen::tuple(rc::gen::resize(100, rc::gen::inRange(0u, 5u)),
                rc::gen::resize(100, rc::gen::inRange(0u, 3u)), rc::gen::resize(100, rc::gen::inRange(0u, 700u)))));
        lease_simulation simulation;
        for (const auto& [kind, node, amount] : steps)
            simulation.run(kind, node, amount);
        simulation.runWithoutFaults();
        RC_ASSERT(simulation.holders() == 1u);
    }));
}

TEST(lease_manager, the_same_holds_when_the_table_comes_back_from_copies)
{
    EXPECT_TRUE(rc::check("random pauses, lost answers and restores", [] {
        using step = std::tuple<unsigned, unsigned, unsigned>;
        const auto steps = *rc::gen::scale(4.0,
            rc::gen::container<std::vector<step>>(rc::gen::tuple(rc::gen::resize(100, rc::gen::inRange(0u, 7u)),
                rc::gen::resize(100, rc::gen::inRange(0u, 3u)), rc::gen::resize(100, rc::gen::inRange(0u, 700u)))));
        lease_simulation simulation;
        for (const auto& [kind, node, amount] : steps)
            simulation.run(kind, node, amount);
        simulation.runWithoutFaults();
        RC_ASSERT(simulation.holders() == 1u);
    }));
}

TEST(lease_manager, a_paused_holder_stops_before_another_takes_over_with_a_higher_number)
{
    lease_table table;
    lease_manager first("g", "a", {});
    lease_manager second("g", "b", {});
    instant now { std::chrono::hours(1) };
    const auto runOperation = [&](lease_manager& manager) {
        const auto action = manager.wake(now);
        if (!action)
            return;
        if (std::holds_alternative<lease_manager::read_row>(*action))
            manager.rowRead(now, table.row, 0);
        else
            manager.committed(
                now, table_outcome { table.commit(std::get<lease_manager::commit_rows>(*action).transaction), {} });
    };
    runOperation(first);
    runOperation(first);
    ASSERT_EQ(first.fencing(now), 1u);
    for (int round = 0; round < 30; ++round) { // the first node is paused
        runOperation(second);
        now += milliseconds(500);
        EXPECT_FALSE(first.fencing(now) && second.fencing(now));
    }
    EXPECT_EQ(second.fencing(now), 2u);
    EXPECT_FALSE(first.fencing(now));
}

TEST(lease_manager, a_late_answer_gives_no_lease_beyond_its_request)
{
    lease_table table;
    lease_manager manager("g", "a", {});
    instant now { std::chrono::hours(1) };
    manager.wake(now);
    manager.rowRead(now, table.row, 0);
    const auto action = manager.wake(now);
    ASSERT_TRUE(action && std::holds_alternative<lease_manager::commit_rows>(*action));
    const table_outcome outcome { table.commit(std::get<lease_manager::commit_rows>(*action).transaction), {} };
    now += milliseconds(9'000); // paused: another node may take over 10 s after it observed the row
    manager.committed(now, outcome);
    EXPECT_FALSE(manager.fencing(now));
}
