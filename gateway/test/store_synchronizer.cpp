// Guards against changes that are lost when the store is unavailable, has dropped its history or responds with errors,
// and when changes are pulled from another node instead.
#include "gateway/store_synchronizer.h"

#include "core/test/loopback_ports.h"
#include "core/text.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_message_codec.h"
#include "gateway/gateway_metrics.h"
#include "gateway/http_endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <fcntl.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Bound { 2'000 };

// Answers each read with the next scripted answer, and without changes after the end of the script.
class scripted_source : public row_source {
public:
    void readAll(const std::string&, callback done) override { answer("all", {}, std::move(done)); }

    void readChanges(
        const std::string&, const store_version& revision, std::chrono::milliseconds, callback done) override
    {
        answer("after " + std::to_string(revision.number()), revision, std::move(done));
    }

    std::vector<row_answer> script;
    std::vector<std::string> requests;

private:
    void answer(const std::string& question, const store_version& revision, callback done)
    {
        row_answer next;
        next.status = row_status::Done;
        next.revision = std::max(revision, m_revision);
        if (!script.empty()) {
            next = std::move(script.front());
            script.erase(script.begin());
            requests.push_back(question);
            m_revision = std::max(m_revision, next.revision);
        }
        done(std::move(next));
    }

    store_version m_revision { 1, 1 };
};

row_answer done(std::uint64_t number, std::vector<stored_row> rows, std::uint64_t epoch = 1)
{
    row_answer answer;
    answer.status = row_status::Done;
    answer.rows = std::move(rows);
    answer.revision = { epoch, number };
    return answer;
}

row_answer failed(row_status status)
{
    row_answer answer;
    answer.status = status;
    return answer;
}

// A node with its peer endpoint; tests deliver its digests by function calls.
struct test_node {
    test_node(boost::asio::io_context& loop, timer_queue& timers, bool readsAtStart)
        : address(freeLoopbackAddress())
        , log(open("/dev/null", O_WRONLY), "n", 100)
        , synchronizer(loop, timers, { tableOf(config, "op", false), tableOf(targets, "servers", true) },
              { [this](const node_id& to, const news_digest& digest) { sent.emplace_back(to, digest); },
                  [this](instant) { events.emplace_back("returned"); } },
              node_id(address), Bound, readsAtStart, 1e6, 1, log, metrics)
        , endpoint(loop, address, [this](std::string_view target) {
            auto body = synchronizer.answer(target);
            return body ? page_response { 200, "application/octet-stream", *body }
                        : page_response { 404, "text/plain", "" };
        })
    {
    }

    replicated_table tableOf(row_source& source, const std::string& name, bool filtered)
    {
        table_replica::row_classifier classify;
        if (filtered)
            classify
                = [](const stored_row& row) { return row.value == "same" ? row_effect::Renewal : row_effect::Update; };
        const bool recorded = name == "servers";
        table_follower::consumer rows { classify,
            [this, recorded](const std::vector<stored_row>& all) {
                if (recorded)
                    events.push_back("all " + std::to_string(all.size()));
            },
            [this, recorded](const stored_row& row) {
                if (recorded)
                    events.push_back("change " + row.key);
            } };
        if (recorded) {
            rows.departures = [this] { return departures; };
            rows.onDepartures = [this](const std::vector<target_departure>& known) {
                for (const auto& departure : known)
                    learned.push_back(departure.target.value());
            };
        }
        return { name, source, std::move(rows) };
    }

    std::string address;
    scripted_source config;
    scripted_source targets;
    std::vector<std::string> events;
    std::vector<target_departure> departures; // known to this node
    std::vector<std::string> learned; // targets of the departures of other nodes
    std::vector<std::pair<node_id, news_digest>> sent;
    decision_log log;
    gateway_metrics metrics;
    store_synchronizer synchronizer;
    http_endpoint endpoint;
};

class StoreSynchronizer : public testing::Test {
protected:
    // Runs the event loop until all scripted answers are used.
    void runScript(std::vector<row_answer> script)
    {
        const auto answers = reader.targets.requests.size() + script.size();
        reader.targets.script = std::move(script);
        reader.synchronizer.start();
        EXPECT_TRUE(runUntil([&] { return reader.targets.requests.size() == answers; }));
    }

    bool runUntil(const std::function<bool()>& done)
    {
        const auto end = timers.now() + 10s;
        while (!done() && timers.now() < end)
            loop.run_one_for(10ms);
        return done();
    }

    boost::asio::io_context loop;
    timer_queue timers { loop };
    test_node reader { loop, timers, true };
};

TEST_F(StoreSynchronizer, FollowsChangesAfterTheRevisionRead)
{
    runScript({ done(5, { { "a", "1", false } }), done(9, { { "a", "2", false } }), done(9, {}) });
    EXPECT_EQ(reader.targets.requests, (std::vector<std::string> { "all", "after 5", "after 9" }));
    EXPECT_EQ(reader.events, (std::vector<std::string> { "all 1", "change a" }));
    EXPECT_TRUE(reader.synchronizer.isLoaded());
    EXPECT_TRUE(reader.synchronizer.isReader());
    EXPECT_FALSE(reader.synchronizer.isStoreUnavailable());
    EXPECT_LT(reader.synchronizer.age(), Bound);
}

TEST_F(StoreSynchronizer, ReadsWholeTableWhenHistoryIsLost)
{
    runScript({ done(5, {}), failed(row_status::HistoryLost), done(30, { { "a", "1", false } }) });
    EXPECT_EQ(reader.targets.requests, (std::vector<std::string> { "all", "after 5", "all" }));
    EXPECT_EQ(reader.events, (std::vector<std::string> { "all 0", "all 1" }));
}

// Guards against changes that are missed because a restored store has handed out the requested number again.
TEST_F(StoreSynchronizer, ReadsWholeTableWhenTheStoreWasRestored)
{
    runScript({ done(5, { { "a", "1", false } }), done(8, { { "b", "1", false } }, 2),
        done(8, { { "a", "1", false }, { "b", "1", false }, { "c", "1", false } }, 2), done(9, {}, 2) });
    EXPECT_EQ(reader.targets.requests, (std::vector<std::string> { "all", "after 5", "all", "after 8" }));
    EXPECT_EQ(reader.events, (std::vector<std::string> { "all 1", "returned", "all 3" }))
        << "registrations that the store has lost may return";
}

// Guards against a restored store whose lower numbers are taken for outdated states for good.
TEST_F(StoreSynchronizer, TakesLowerNumbersOfALaterEpoch)
{
    runScript({ done(50, {}), failed(row_status::HistoryLost), done(3, { { "a", "1", false } }, 2),
        done(4, { { "a", "2", false } }, 2) });
    EXPECT_EQ(reader.targets.requests, (std::vector<std::string> { "all", "after 50", "all", "after 3" }));
    EXPECT_EQ(reader.events.back(), "change a");
}

TEST_F(StoreSynchronizer, ResumesFromTheSameRevisionAfterAnOutage)
{
    runScript({ done(5, {}), failed(row_status::Unavailable), failed(row_status::Malformed),
        done(7, { { "a", "1", true } }) });
    EXPECT_EQ(reader.targets.requests, (std::vector<std::string> { "all", "after 5", "after 5", "after 5" }));
    EXPECT_EQ(reader.events.back(), "change a");
}

// Registrations that expired while they could not be renewed do not mean that the targets are gone, so the target
// tracker must be notified of the recovery before it receives the changes.
TEST_F(StoreSynchronizer, StoreRecoveryIsReportedBeforeTheChanges)
{
    std::vector<row_answer> script { done(5, { { "a", "1", false } }) };
    for (int failure = 0; failure < 6; ++failure)
        script.push_back(failed(row_status::Unavailable));
    runScript(std::move(script));
    EXPECT_TRUE(reader.synchronizer.isStoreUnavailable());
    runScript({ done(9, { { "a", "", true } }) });
    EXPECT_EQ(reader.events, (std::vector<std::string> { "all 1", "returned", "change a" }));
    EXPECT_FALSE(reader.synchronizer.isStoreUnavailable());
}

TEST_F(StoreSynchronizer, OutdatedStoreStateIsIgnored)
{
    runScript({ done(9, { { "a", "2", false } }), done(4, { { "a", "1", false } }) });
    EXPECT_EQ(reader.events, (std::vector<std::string> { "all 1" }));
}

class StoreSynchronizerFollower : public StoreSynchronizer {
protected:
    void SetUp() override
    {
        runScript({ done(5, { { "a", "1", false } }) });
        reader.synchronizer.setNodes({ node_id(follower.address) }, {});
    }

    // Delivers the reader's next digest to the follower, as the network would.
    void deliverDigest()
    {
        reader.sent.clear();
        EXPECT_TRUE(runUntil([this] { return !reader.sent.empty(); }));
        follower.synchronizer.receive(node_id(reader.address), reader.sent.back().second);
    }

    test_node follower { loop, timers, false };
};

TEST_F(StoreSynchronizerFollower, FollowerLoadsTablesWithoutTheStore)
{
    deliverDigest();
    EXPECT_TRUE(runUntil([this] { return follower.synchronizer.isLoaded(); }));
    EXPECT_EQ(follower.events, (std::vector<std::string> { "all 1" }));
    EXPECT_TRUE(follower.config.requests.empty());
    EXPECT_TRUE(follower.targets.requests.empty());
}

TEST_F(StoreSynchronizerFollower, FollowerReceivesOnlyUpdates)
{
    deliverDigest();
    EXPECT_TRUE(runUntil([this] { return follower.synchronizer.isLoaded(); }));
    runScript({ done(9, { { "a", "same", false }, { "b", "new", false } }), done(11, { { "a", "same", false } }) });
    EXPECT_TRUE(runUntil([this] {
        deliverDigest();
        return follower.events.size() == 2;
    }));
    EXPECT_EQ(follower.events, (std::vector<std::string> { "all 1", "change b" }));
    EXPECT_EQ(reader.events, (std::vector<std::string> { "all 1", "change a", "change b", "change a" }))
        << "the reader reports all changes";
}

TEST_F(StoreSynchronizerFollower, MalformedAnswerIsSkipped)
{
    reader.sent.clear();
    EXPECT_TRUE(runUntil([this] { return !reader.sent.empty(); }));
    const auto address = freeLoopbackAddress();
    const http_endpoint faultyNode(loop, address, [](std::string_view) {
        return page_response { 200, "text/plain", "nonsense" };
    });
    follower.synchronizer.receive(node_id(address), reader.sent.back().second);
    follower.synchronizer.receive(node_id(reader.address), reader.sent.back().second);
    EXPECT_TRUE(runUntil([this] { return follower.synchronizer.isLoaded(); }));
    EXPECT_EQ(follower.events, (std::vector<std::string> { "all 1" }));
}

TEST_F(StoreSynchronizerFollower, AnotherNodeReadsWhenTheReaderIsGone)
{
    deliverDigest();
    EXPECT_TRUE(runUntil([this] { return follower.synchronizer.isReader(); }));
    EXPECT_LT(follower.synchronizer.age(), Bound);
}

// Guards against late registrations that a node uses, because it read the whole table after the removals.
TEST_F(StoreSynchronizer, ANodeThatReadTheWholeTableAsksOthersWhichTargetsLeave)
{
    test_node other(loop, timers, false);
    other.departures = { { target_name("a"), { 1, 5 }, 4s } };
    runScript({ done(10, { { "a", "late" } }) });
    EXPECT_TRUE(reader.learned.empty()) << "no other node is known";
    reader.synchronizer.setNodes({ node_id(other.address) }, {});
    ASSERT_TRUE(runUntil([&] { return !reader.learned.empty(); }));
    EXPECT_EQ(reader.learned.front(), "a");
}

// Guards against departures that are not learned from a slow node, because the next question is due before its answer.
TEST_F(StoreSynchronizer, ALaterQuestionAboutDeparturesKeepsTheEarlierOne)
{
    using boost::asio::ip::tcp;
    tcp::acceptor acceptor(loop, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    std::vector<tcp::socket> questions;
    const std::function<void()> accept = [&] {
        acceptor.async_accept([&](const boost::system::error_code& error, tcp::socket connection) {
            ASSERT_FALSE(error);
            questions.push_back(std::move(connection));
            accept();
        });
    };
    accept();
    runScript({ done(10, { { "a", "late" } }) });
    reader.synchronizer.setNodes({ node_id(concatenated("127.0.0.1:", acceptor.local_endpoint().port())) }, {});
    ASSERT_TRUE(runUntil([&] { return questions.size() == 2; }));
    news_batch known;
    known.departures = { { target_name("a"), { 1, 5 }, 4s } };
    const auto body = encodeBatch(known);
    boost::asio::write(questions.front(),
        boost::asio::buffer(concatenated("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body)));
    EXPECT_TRUE(runUntil([&] { return !reader.learned.empty(); }));
}

} // namespace
