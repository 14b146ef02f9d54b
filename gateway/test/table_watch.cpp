// Guards against news that is missed when the store is away, forgets its history or answers badly.
#include "gateway/table_watch.h"

#include "core/seeded_random.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

// Answers each reading by the next scripted answer; the loop stops when the script is used up.
class scripted_source : public row_source {
public:
    explicit scripted_source(boost::asio::io_context& loop)
        : m_loop(loop)
    {
    }

    void readAll(const std::string&, callback done) override { answer("all", std::move(done)); }

    void readChanges(const std::string&, std::uint64_t revision, std::chrono::milliseconds, callback done) override
    {
        answer("after " + std::to_string(revision), std::move(done));
    }

    std::vector<row_answer> script;
    std::vector<std::string> asked;

private:
    void answer(const std::string& question, callback done)
    {
        asked.push_back(question);
        if (script.empty()) {
            m_loop.stop();
            return;
        }
        auto next = std::move(script.front());
        script.erase(script.begin());
        done(std::move(next));
    }

    boost::asio::io_context& m_loop;
};

class TableWatch : public testing::Test {
protected:
    static row_answer done(std::uint64_t revision, std::vector<stored_row> rows)
    {
        row_answer answer;
        answer.status = row_status::Done;
        answer.rows = std::move(rows);
        answer.revision = revision;
        return answer;
    }
    static row_answer failed(row_status status)
    {
        row_answer answer;
        answer.status = status;
        return answer;
    }

    void play(std::vector<row_answer> script)
    {
        source.script = std::move(script);
        watch_settings settings;
        settings.pause = 1ms;
        settings.retryPause = 1ms;
        table_watch watch("t", source, timers, random, log, metrics, settings,
            { [this](const auto& rows) { seen.push_back("all " + std::to_string(rows.size())); },
                [this](const auto& rows) { seen.push_back("changes " + std::to_string(rows.size())); },
                [](const stored_row& row) { return row.value != "same"; }, [this] { seen.emplace_back("returned"); } });
        watch.start();
        loop.run();
        handedOn = watch.replica().changesAfter(5, 1h, timers.now());
    }

    boost::asio::io_context loop;
    timer_queue timers { loop };
    seeded_random random { 1 };
    decision_log log { open("/dev/null", O_WRONLY), "n", 100 };
    gateway_metrics metrics;
    scripted_source source { loop };
    std::vector<std::string> seen;
    row_answer handedOn;
};

TEST_F(TableWatch, FollowsChangesAfterTheRevisionRead)
{
    play({ done(5, { { "a", "1", false } }), done(9, { { "a", "2", false } }), done(9, {}) });
    EXPECT_EQ(source.asked, (std::vector<std::string> { "all", "after 5", "after 9", "after 9" }));
    EXPECT_EQ(seen, (std::vector<std::string> { "all 1", "changes 1" }));
}

TEST_F(TableWatch, HandsOnlyNewsToOtherNodes)
{
    play({ done(5, {}), done(9, { { "a", "same", false }, { "b", "new", false } }) });
    EXPECT_EQ(handedOn.rows.size(), 1U);
    EXPECT_EQ(handedOn.rows[0].key, "b");
    EXPECT_EQ(handedOn.revision, 9U);
    EXPECT_EQ(seen.back(), "changes 2") << "this node itself hears of all";
}

TEST_F(TableWatch, ReadsAnewWhenHistoryIsLost)
{
    play({ done(5, {}), failed(row_status::HistoryLost), done(30, { { "a", "1", false } }) });
    EXPECT_EQ(source.asked, (std::vector<std::string> { "all", "after 5", "all", "after 30" }));
    EXPECT_EQ(seen, (std::vector<std::string> { "all 0", "all 1" }));
}

TEST_F(TableWatch, GoesOnFromTheSameRevisionAfterAnOutage)
{
    play({ done(5, {}), failed(row_status::Unavailable), failed(row_status::Malformed),
        done(7, { { "a", "1", true } }) });
    EXPECT_EQ(source.asked, (std::vector<std::string> { "all", "after 5", "after 5", "after 5", "after 7" }));
    EXPECT_EQ(seen, (std::vector<std::string> { "all 0", "returned", "changes 1" }));
}

} // namespace
