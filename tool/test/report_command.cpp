// Guards the report command: scrape files that cannot be read back, objectives of tickets that are not used, a report
// that fails because of one broken scrape or a platform that is down, and HTML that loads from elsewhere.
#include "tool/burn_html.h"
#include "tool/burn_report.h"
#include "tool/command.h"
#include "tool/scrape_files.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <unistd.h>

using namespace oriolepick;

namespace {

/// Nodes whose failed responses grow at each scrape; "down" does not answer.
class scraped_nodes : public node_reader {
public:
    result<std::string> read(const std::string& address, const std::string& page, const std::string&) override
    {
        if (address == "down")
            return error { error_kind::TargetFailed, "node down does not answer" };
        if (page == "in-force")
            return std::string(
                R"({"ticket":4,"node":"n","objects":[{"kind":"objective","fleet":"atelier","name":"own",)"
                R"("state":{"deployment":"manuals","metric":"success_share","goal":0.5}}]})");
        const auto round = ++rounds[address];
        return "oriolepick_responses_total{fleet=\"atelier\",deployment=\"manuals\",priority=\"5\",result=\"whole\"} "
            + std::to_string(90 * round)
            + "\noriolepick_responses_total{fleet=\"atelier\",deployment=\"manuals\",priority=\"5\",result=\"failed\"} "
            + std::to_string(10 * round) + "\n";
    }
    std::map<std::string, int> rounds;
};

class report_command : public testing::Test {
protected:
    report_command()
        : directory(std::filesystem::temp_directory_path() / ("report_command." + std::to_string(getpid())))
    {
        std::filesystem::remove_all(directory);
        std::filesystem::create_directories(directory);
    }
    ~report_command() override { std::filesystem::remove_all(directory); }

    int run(std::vector<std::string> arguments)
    {
        out.str("");
        err.str("");
        tool_environment environment { out, err, [](const std::string&) { return platform_connection {}; }, nodes,
            [this](std::chrono::milliseconds time) { now += time; },
            [](const std::string&) { return std::optional<std::string>(); }, [this] { return now; } };
        arguments.insert(arguments.begin(), "report");
        return static_cast<int>(runTool(arguments, environment));
    }

    std::filesystem::path directory;
    scraped_nodes nodes;
    wall_time now { std::chrono::seconds(1'700'000'000) };
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace

TEST_F(report_command, files_and_live_scrapes_give_the_same_report)
{
    ASSERT_EQ(run({ "scrape", "--scrapes=" + directory.string(), "--node=a-1:80", "--node=down", "--node=b" }), 0);
    EXPECT_NE(out.str().find("10 scrapes"), std::string::npos) << out.str();
    EXPECT_NE(err.str().find("node down"), std::string::npos);
    EXPECT_TRUE(std::filesystem::exists(directory / "a-1:80-1700000060.prom"));
    std::ofstream(directory / "b-1700000061.prom") << "broken{";
    std::ofstream(directory / "noname.prom") << "a 1\n";
    ASSERT_EQ(run({ "burn", "--json", "--scrapes=" + directory.string() }), 0) << err.str();
    EXPECT_NE(err.str().find("noname.prom"), std::string::npos);
    EXPECT_NE(err.str().find("line 1"), std::string::npos);
    const auto kept = nlohmann::json::parse(out.str());
    nodes.rounds.clear();
    ASSERT_EQ(run({ "burn", "--json", "--node=a-1:80", "--node=b" }), 0);
    const auto live = nlohmann::json::parse(out.str());
    EXPECT_EQ(kept["rows"], live["rows"]);
    EXPECT_EQ(live["rows"][0]["period"]["total"], 800);
    EXPECT_EQ(live["rows"][0]["period"]["bad"], 80);
    EXPECT_EQ(live["rows"][0]["declared_by"], "default");
    EXPECT_EQ(live["rows"][0]["alerts"].size(), 3u);
}

TEST_F(report_command, objectives_of_tickets_replace_the_built_in_ones)
{
    ASSERT_EQ(run({ "burn", "--json", "--node=a", "--objectives=a" }), 0);
    const auto report = nlohmann::json::parse(out.str());
    EXPECT_EQ(report["rows"][0]["declared_by"], "atelier/own");
    EXPECT_EQ(report["firing"], false);
    ASSERT_EQ(run({ "burn", "--node=a", "--objectives=down" }), 0);
    EXPECT_NE(err.str().find("built-in objectives"), std::string::npos);
    EXPECT_NE(out.str().find("PAGE fast-burn: whole responses, atelier/manuals"), std::string::npos) << out.str();
}

TEST_F(report_command, wrong_arguments_are_named)
{
    EXPECT_EQ(run({ "burn" }), 2);
    EXPECT_EQ(run({ "scrape", "--node=a" }), 2);
    EXPECT_EQ(run({ "burn", "--node=down" }), 1);
    EXPECT_EQ(run({ "burn", "--node=a", "--interval=0" }), 1);
    EXPECT_NE(err.str().find("--interval: '0'"), std::string::npos);
    EXPECT_EQ(run({ "burn", "--scrapes=" + (directory / "absent").string() }), 1);
}

TEST_F(report_command, html_refers_to_nothing_outside_and_escapes_names)
{
    const event_series odd { objective_metric::SuccessShare, "<script src=x>", "a&b", "\"5\"" };
    const auto report = calculateBurn(
        { { "n", now, { { odd, {} } }, {} }, { "n", now + std::chrono::seconds(60), { { odd, { 10, 5, {} } } }, {} } },
        {}, std::chrono::hours(24));
    const auto html = burnHtml(report);
    EXPECT_NE(html.find("<svg"), std::string::npos);
    EXPECT_NE(html.find("Paging"), std::string::npos);
    EXPECT_NE(html.find("prefers-color-scheme"), std::string::npos);
    EXPECT_NE(html.find("a&amp;b"), std::string::npos);
    const std::regex outside("https?:|//|src=[^x]|href|@import|url\\(|<script|<link|<img|<iframe", std::regex::icase);
    std::smatch found;
    EXPECT_FALSE(std::regex_search(html, found, outside)) << found.str();
    ASSERT_EQ(run({ "burn", "--node=a", "--html=" + (directory / "r.html").string() }), 0);
    EXPECT_GT(std::filesystem::file_size(directory / "r.html"), 1000u);
}
