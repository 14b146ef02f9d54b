// Guards status and trace: a node that does not answer or sends a malformed page hides the others, known nodes that
// were not asked are left out, and trace lines of several nodes appear out of order.
#include "tool/command.h"
#include "tool/node_overview.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <sstream>

using namespace oriolepick;

namespace {

const std::string FirstPage = R"({"node":"node-1","availability_zone":"a","region":"r","peer":"p1","ready":true,
"draining":false,"ticket":7,"open_requests":3,"requests":{"suspected":2,"quarantined":1},"leases":["atelier/m/a"],
"target_list":[{"target":"atelier/e1","zone":"a","state":"live","reporting":true},
{"target":"atelier/e2","zone":"b","state":"suspected","reporting":false}],
"members":[{"node":"p1","availability_zone":"a","region":"r","state":"alive"},
{"node":"p2","availability_zone":"b","region":"r","state":"alive"},
{"node":"p3","availability_zone":"b","region":"r","state":"dead"}]})";
const std::string SecondPage = R"({"node":"node-2","availability_zone":"b","region":"r","peer":"p2","ready":false,
"ticket":6,"open_requests":1,"target_list":[{"target":"atelier/e1","zone":"a","state":"live","reporting":true}],
"members":[{"node":"p3","availability_zone":"b","region":"r","state":"suspect"}]})";

class paged_nodes : public node_reader {
public:
    result<std::string> read(const std::string& address, const std::string& page, const std::string&) override
    {
        const auto found = pages.find(address + " " + page);
        if (found == pages.end())
            return error { error_kind::TargetFailed, "node " + address + " does not answer" };
        return found->second;
    }
    std::map<std::string, std::string> pages { { "n1 status", FirstPage }, { "n2 status", SecondPage },
        { "n3 status", R"({"node":"x","ticket":"seven"})" },
        { "n1 trace/atelier/bench/k%201", R"({"node":"node-1","lines":["10.500 started","12.000 broken"]})" },
        { "n2 trace/atelier/bench/k%201", R"({"node":"node-2","lines":["11.250 resumed"]})" },
        { "n3 trace/atelier/bench/k%201", R"({"node":"node-3","lines":["no time"]})" } };
};

class status_and_trace : public testing::Test {
protected:
    int run(const std::vector<std::string>& arguments)
    {
        out.str("");
        err.str("");
        tool_environment environment { out, err, [](const std::string&) { return platform_connection {}; }, nodes,
            [this](std::chrono::milliseconds) { ++refreshes; },
            [](const std::string&) { return std::optional<std::string>(); }, [] { return wall_time(); },
            [this] { return refreshes >= 3; } };
        return static_cast<int>(runTool(arguments, environment));
    }

    paged_nodes nodes;
    std::ostringstream out;
    std::ostringstream err;
    int refreshes = 0;
};

} // namespace

TEST_F(status_and_trace, status_merges_nodes_and_lists_those_not_asked)
{
    ASSERT_EQ(run({ "status", "--json", "--node=n1", "--node=n2" }), 0) << err.str();
    const auto shown = nlohmann::json::parse(out.str());
    EXPECT_EQ(shown["highest_ticket"], 7);
    EXPECT_EQ(shown["lowest_ticket"], 6);
    EXPECT_EQ(shown["open_requests"], 4);
    ASSERT_EQ(shown["not_asked"].size(), 1u);
    EXPECT_EQ(shown["not_asked"][0]["peer"], "p3");
    EXPECT_EQ(shown["not_asked"][0]["state"], "dead");
    EXPECT_EQ(shown["zones"][1], nlohmann::json::parse(R"({"zone":"b","region":"r","ready":0,"known":1,"gone":1})"));
    EXPECT_EQ(shown["targets"][0]["nodes_by_state"]["live"], 2);
    EXPECT_EQ(shown["targets"][1]["nodes_by_state"]["suspected, silent"], 1);
    EXPECT_EQ(shown["leases"]["atelier/m/a"][0], "node-1");
    EXPECT_EQ(shown["nodes"][0]["quarantined"], 1);
}

TEST_F(status_and_trace, a_node_without_a_valid_page_does_not_hide_the_others)
{
    EXPECT_EQ(run({ "status", "--node=n0", "--node=n1", "--node=n3" }), 1);
    EXPECT_NE(out.str().find("node n0 does not answer"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("node n3: ticket: is not a count"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("node-1"), std::string::npos);
}

TEST_F(status_and_trace, watch_refreshes_until_interrupted)
{
    EXPECT_EQ(run({ "status", "--watch", "--node=n1" }), 0);
    EXPECT_EQ(refreshes, 3);
    EXPECT_EQ(run({ "status" }), 2);
}

TEST_F(status_and_trace, trace_merges_lines_by_time_with_the_node)
{
    EXPECT_EQ(run({ "trace", "--node=n2", "--node=n1", "--node=n3", "--node=n0", "atelier/bench/k 1" }), 0);
    EXPECT_EQ(out.str(),
        "10.500 node-1           started\n11.250 node-2           resumed\n12.000 node-1           broken\n");
    EXPECT_NE(err.str().find("node n3 answered no trace"), std::string::npos);
    EXPECT_NE(err.str().find("node n0 does not answer"), std::string::npos);
    ASSERT_EQ(run({ "trace", "--json", "--node=n1", "atelier/bench/k 1" }), 0);
    EXPECT_EQ(nlohmann::json::parse(out.str())["lines"][1]["time"], 12.0);
    EXPECT_EQ(run({ "trace", "--node=n1", "atelier/bench/other" }), 1);
    EXPECT_EQ(run({ "trace", "--node=n1", "bench" }), 1);
    EXPECT_NE(err.str().find("'bench' is not fleet/team/key"), std::string::npos);
}

TEST_F(status_and_trace, mutated_status_pages_are_parsed_or_rejected)
{
    EXPECT_TRUE(rc::check("parses or names the node", [](const std::vector<std::pair<std::uint16_t, char>>& changes) {
        auto page = FirstPage;
        for (const auto& [at, symbol] : changes) {
            if (at % 2)
                page[at % page.size()] = symbol;
            else
                page.insert(at % page.size(), 1, symbol);
        }
        const auto parsed = parseNodeReport("n", page);
        if (parsed)
            overviewTable(mergeReports({ parsed.value() }));
        else
            RC_ASSERT(parsed.error().message.rfind("node n: ", 0) == 0);
    }));
}
