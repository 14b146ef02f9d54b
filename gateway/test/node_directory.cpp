// Guards against nodes that never find each other, and against a load on the store that grows with the number of nodes.
#include "gateway/node_directory.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/row_writer.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <fcntl.h>

#include <map>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class fake_table : public row_source, public row_writer {
public:
    void readAll(const std::string&, row_source::callback done) override
    {
        row_answer answer;
        answer.status = row_status::Done;
        for (const auto& [key, value] : rows)
            answer.rows.push_back({ key, value, false });
        ++calls;
        done(std::move(answer));
    }
    void readChanges(const std::string&, const store_version&, std::chrono::milliseconds, row_source::callback) override
    {
    }
    void put(const std::string&, const std::string& key, const std::string& value, row_writer::callback done) override
    {
        rows[key] = value;
        ++calls;
        done(true, {});
    }
    void remove(const std::string&, const std::string& key, row_writer::callback) override { rows.erase(key); }

    std::map<std::string, std::string> rows;
    int calls = 0;
};

class NodeDirectory : public testing::Test {
protected:
    void runDirectory(const std::string& name, bool isIsolated, bool isReader, std::chrono::milliseconds time)
    {
        node_directory directory(name, { availability_zone("z"), node_id("10.0.0.1:" + name) }, table, table, timers,
            { [isIsolated] { return isIsolated; }, [isReader] { return isReader; },
                [this](const auto& nodes) { found = nodes; } },
            log, metrics);
        directory.start();
        loop.run_for(time);
    }

    boost::asio::io_context loop;
    timer_queue timers { loop };
    decision_log log { open("/dev/null", O_WRONLY), "n", 100 };
    gateway_metrics metrics;
    fake_table table;
    std::vector<node_id> found;
};

TEST_F(NodeDirectory, IsolatedNodeFindsTheOthers)
{
    table.rows["2"] = encodeNodeRow({ availability_zone("z"), node_id("10.0.0.1:2") });
    table.rows["3"] = "no row of ours";
    runDirectory("1", true, false, 1'200ms);
    EXPECT_EQ(found, (std::vector<node_id> { node_id("10.0.0.1:1"), node_id("10.0.0.1:2") }));
    EXPECT_EQ(table.calls, 2);
}

TEST_F(NodeDirectory, ConnectedNodeWritesNothing)
{
    runDirectory("1", false, false, 1'200ms);
    EXPECT_EQ(table.calls, 0);
}

TEST_F(NodeDirectory, StoreReaderPublishesItsRow)
{
    runDirectory("1", false, true, 1'200ms);
    EXPECT_EQ(table.rows.size(), 1U);
    EXPECT_EQ(table.calls, 2) << "one write and one read within 15 s";
}

// Guards against partitions that do not find each other for long because a restored store has lost their rows.
TEST_F(NodeDirectory, RowIsWrittenAgainWhenTheStoreMayHaveLostIt)
{
    node_directory directory("1", { availability_zone("z"), node_id("10.0.0.1:1") }, table, table, timers,
        { [] { return false; }, [] { return true; }, [](const auto&) {} }, log, metrics);
    directory.start();
    loop.run_for(1'200ms);
    table.rows.clear();
    directory.discoverAgain();
    loop.run_for(600ms);
    EXPECT_EQ(table.rows.size(), 1U);
}

} // namespace
