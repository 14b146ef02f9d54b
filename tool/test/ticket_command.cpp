// Guards the operators' command: example tickets that it rejects, wrong exit codes, a lost answer shown as a failure,
// a wait that ends before every node has the ticket, and snapshots that change what is read back.
#include "config/snapshot_json.h"
#include "config/state_in_force.h"
#include "standins/fake_table.h"
#include "tool/command.h"
#include "tool/test/ticket_world_parts.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace oriolepick;

namespace {

std::filesystem::path sourceRoot()
{
    auto path = std::filesystem::current_path();
    while (!std::filesystem::exists(path / "packages.txt") && path.has_relative_path())
        path = path.parent_path();
    return path;
}

/// Nodes that are one ticket further at each reading.
class advancing_nodes : public node_reader {
public:
    result<std::string> read(const std::string& address, const std::string& page, const std::string&) override
    {
        if (address == "down")
            return error { error_kind::TargetFailed, "node down does not answer" };
        if (page == "in-force")
            return std::string(R"({"ticket":4,"node":"n","objects":[{"kind":"fleet","fleet":"one","name":"one",)"
                               R"("state":{"zones":["a"]}}]})");
        return "{\"ticket\":" + std::to_string(numbers[address]++) + "}";
    }
    std::map<std::string, ticket_number> numbers;
};

/// Forwards to a table that outlives the command's connection.
class shared_table : public table_service {
public:
    explicit shared_table(table_service& table)
        : m_table(table)
    {
    }
    result<table_outcome> commit(const table_transaction& transaction, std::chrono::milliseconds timeout) override
    {
        return m_table.commit(transaction, timeout);
    }
    result<std::optional<table_row>> read(const std::string& key, std::chrono::milliseconds timeout) const override
    {
        return m_table.read(key, timeout);
    }
    result<std::vector<table_row>> scan(const std::string& prefix, const std::string& after, std::size_t limit,
        std::chrono::milliseconds timeout) const override
    {
        return m_table.scan(prefix, after, limit, timeout);
    }
    store_epoch epoch() const override { return m_table.epoch(); }

private:
    table_service& m_table;
};

class ticket_command : public testing::Test {
protected:
    int run(std::vector<std::string> arguments)
    {
        out.str("");
        err.str("");
        tool_environment environment { out, err,
            [this](const std::string&) {
                return platform_connection { std::make_unique<shared_table>(table),
                    std::make_unique<memory_objects>() };
            },
            nodes, [this](std::chrono::milliseconds time) { slept += time; },
            [](const std::string& name) {
                return name == "ORIOLEPICK_PLATFORM" ? std::optional<std::string>("platform") : std::nullopt;
            } };
        return static_cast<int>(runTool(arguments, environment));
    }

    std::string example(const std::string& name) const { return (sourceRoot() / "examples" / name).string(); }

    fake_table table;
    advancing_nodes nodes;
    std::ostringstream out;
    std::ostringstream err;
    std::chrono::milliseconds slept { 0 };
};

} // namespace

TEST_F(ticket_command, check_accepts_every_example)
{
    for (const auto* fleet : { "atelier", "refill-works" }) {
        std::vector<std::string> arguments { "ticket", "check" };
        for (const auto& entry : std::filesystem::directory_iterator(sourceRoot() / "examples" / fleet))
            arguments.push_back(entry.path().string());
        std::sort(arguments.begin() + 2, arguments.end());
        ASSERT_GE(arguments.size(), 4u);
        EXPECT_EQ(run(arguments), 0) << out.str() << err.str();
    }
}

TEST_F(ticket_command, exit_codes_tell_failure_from_wrong_usage)
{
    EXPECT_EQ(run({ "--help" }), 0);
    EXPECT_EQ(run({ "--version" }), 0);
    EXPECT_EQ(run({ "ticket", "--help" }), 0);
    EXPECT_EQ(run({}), 2);
    EXPECT_EQ(run({ "tickets" }), 2);
    EXPECT_EQ(run({ "ticket", "status", "x" }), 2);
    EXPECT_EQ(run({ "ticket", "file", "--wait", example("atelier/1-fleet.json") }), 2);
    EXPECT_EQ(run({ "ticket", "check", "absent.json" }), 1);
    EXPECT_EQ(run({ "ticket", "status", "1" }), 1);
}

TEST_F(ticket_command, a_lost_answer_is_resolved_and_a_resubmission_is_accepted)
{
    platform_faults faults;
    faults.loseResponses = 1;
    table.setFaults(faults);
    EXPECT_EQ(run({ "ticket", "file", example("atelier/1-fleet.json") }), 0) << err.str();
    EXPECT_EQ(run({ "ticket", "file", example("atelier/1-fleet.json") }), 0);
    EXPECT_NE(out.str().find("it was before"), std::string::npos);
    EXPECT_EQ(run({ "ticket", "file", "--json", example("refill-works/1-fleet.json") }), 1);
    EXPECT_NE(out.str().find("the next number is 2"), std::string::npos) << out.str();
    EXPECT_EQ(run({ "ticket", "file", example("atelier/3-roll-back.json") }), 1);
    EXPECT_NE(err.str().find("ticket_number_gap"), std::string::npos) << err.str();
    EXPECT_NE(err.str().find("the next number is 2"), std::string::npos);
}

TEST_F(ticket_command, an_outage_is_reported_as_unavailable_and_changes_nothing)
{
    platform_faults faults;
    faults.down = true;
    table.setFaults(faults);
    EXPECT_EQ(run({ "ticket", "file", example("atelier/1-fleet.json") }), 1);
    EXPECT_NE(err.str().find("platform_unavailable"), std::string::npos) << err.str();
    EXPECT_GE(slept, std::chrono::seconds(2)) << "operations are repeated after a pause";
    table.setFaults({});
    EXPECT_EQ(run({ "ticket", "status", "1" }), 1);
}

TEST_F(ticket_command, wait_ends_when_the_last_node_has_the_ticket_in_force)
{
    nodes.numbers["slow"] = 0;
    nodes.numbers["fast"] = 1;
    EXPECT_EQ(run({ "ticket", "file", "--wait", "--node=fast", "--node=slow", example("atelier/1-fleet.json") }), 0);
    EXPECT_NE(out.str().find("1 of 2 nodes"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("2 of 2 nodes"), std::string::npos);
    EXPECT_EQ(run({ "ticket", "file", "--wait", "--node=fast", "--node=down", "--timeout=1",
                  example("atelier/1-fleet.json") }),
        1);
    EXPECT_NE(out.str().find("does not answer"), std::string::npos);
}

TEST_F(ticket_command, reads_back_by_number_and_shows_what_changed)
{
    for (const auto* name : { "1-fleet", "2-new-version", "3-roll-back" })
        ASSERT_EQ(run({ "ticket", "file", example("atelier/" + std::string(name) + ".json") }), 0) << err.str();
    EXPECT_EQ(run({ "ticket", "diff", "2" }), 0);
    EXPECT_EQ(out.str(), "deployment atelier/manuals /version: \"3\" -> \"4\"\n");
    EXPECT_EQ(run({ "in-force", "--at=2", "--json" }), 0);
    const auto state = parseSnapshot(out.str());
    ASSERT_TRUE(state);
    EXPECT_EQ(state.value()->number(), 2u);
    EXPECT_EQ(state.value()->deployment(deployment_id(fleet_name("atelier"), "manuals"))->version, model_version("4"));
    EXPECT_EQ(run({ "in-force", "--at=9" }), 1);
    EXPECT_EQ(run({ "in-force", "--node=any" }), 0);
    EXPECT_EQ(out.str(), "number in force: 4\nfleet one/one\n");
    EXPECT_EQ(run({ "in-force", "--node=down" }), 1);
    EXPECT_EQ(run({ "ticket", "log", "--last=2", "--json" }), 0);
    EXPECT_EQ(nlohmann::json::parse(out.str())["tickets"].size(), 2u);
}
