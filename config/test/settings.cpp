// Guards the settings check: every bad field is named with its path before anything starts, and no mutation of a
// settings file ends the process.
#include "config/settings_json.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace oriolepick;

namespace {

const std::string Valid = R"({"node":{"name":"n1","zone":"z1","region":"r1"},"callers":{"listen":"127.0.0.1:8001"},
"peers":{"listen":"127.0.0.1:9001","seeds":["127.0.0.1:9002"]},"platform":{"address":"127.0.0.1:7000"},
"operators":{"token_sha256":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"},
"cursor":{"keys":[{"id":1,"secret_hex":"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}]}})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

bool names(const settings_outcome& outcome, const std::string& path, const std::string& part)
{
    return std::any_of(outcome.errors.begin(), outcome.errors.end(), [&](const settings_error& problem) {
        return problem.path == path && problem.message.find(part) != std::string::npos;
    });
}

} // namespace

TEST(settings, a_valid_file_is_read)
{
    const auto outcome = parseSettings(Valid);
    ASSERT_TRUE(outcome.value) << outcome.errors.front().path << outcome.errors.front().message;
    EXPECT_EQ(outcome.value->callersListen, "127.0.0.1:8001");
    EXPECT_EQ(outcome.value->peersSeeds.size(), 1u);
    EXPECT_EQ(outcome.value->cursorKeys.front().id, 1u);
}

TEST(settings, an_unknown_field_names_the_nearest_one)
{
    const auto outcome = parseSettings(replaced(Valid, "\"listen\"", "\"lisen\""));
    EXPECT_TRUE(names(outcome, "callers.lisen", "callers.listen"));
    EXPECT_TRUE(names(outcome, "callers.listen", "required"));
}

TEST(settings, all_problems_are_reported_at_once)
{
    auto text = replaced(Valid, "127.0.0.1:8001", "nowhere");
    text = replaced(text, "127.0.0.1:9002", "127.0.0.1:0");
    text = replaced(text, "\"zone\":\"z1\"", "\"zone\":7");
    const auto outcome = parseSettings(text);
    EXPECT_TRUE(names(outcome, "callers.listen", "nowhere"));
    EXPECT_TRUE(names(outcome, "peers.seeds[0]", "127.0.0.1:0"));
    EXPECT_TRUE(names(outcome, "node.zone", "required"));
    EXPECT_FALSE(outcome.value);
}

TEST(settings, short_cursor_keys_are_rejected)
{
    const auto outcome = parseSettings(replaced(Valid, "00112233445566778899aabbccddeeff00112233", "00"));
    EXPECT_TRUE(names(outcome, "cursor.keys[0].secret_hex", "32 bytes"));
}

// Guards against a process that does not start because a figure is a fraction or a whole number written as one.
TEST(settings, figures_may_be_fractions)
{
    const auto with = [](const std::string& path, const std::string& value) {
        const auto dot = path.find('.');
        auto document = nlohmann::json::parse(Valid);
        document[path.substr(0, dot)][path.substr(dot + 1)] = nlohmann::json::parse(value);
        return parseSettings(document.dump());
    };
    for (const std::string path : { "callers.threads", "callers.max_body_bytes", "targets.response_memory_bytes",
             "queue.capacity", "platform.timeout_ms", "platform.ticket_poll_ms", "queue.timeout_ms", "drain.timeout_ms",
             "cursor.lifetime_s" }) {
        for (const std::string value : { "2000000", "2000000.0", "2000000.5", "2e6", "1500.25", "64" }) {
            const auto outcome = with(path, value);
            EXPECT_TRUE(outcome.value || names(outcome, path, "is outside")) << path << " " << value;
        }
        for (const std::string value : { "-1", "-0.5", "true", "\"1500\"", "null" })
            EXPECT_TRUE(names(with(path, value), path, value)) << path << " " << value;
    }
    EXPECT_EQ(with("drain.timeout_ms", "1500.9").value->drainTimeout, std::chrono::milliseconds(1500));
    EXPECT_EQ(with("platform.ticket_poll_ms", "99.1").value->ticketPollInterval, std::chrono::milliseconds(100));
    EXPECT_EQ(with("cursor.lifetime_s", "10.5").value->cursorLifetime, std::chrono::seconds(10));
    EXPECT_EQ(with("callers.threads", "4.5").value->callersThreads, 4);
}

TEST(settings, mutated_files_give_settings_or_errors)
{
    EXPECT_TRUE(rc::check("every mutation ends in settings or errors", [] {
        auto text = Valid;
        const auto changes = *rc::gen::inRange(1, 6);
        for (int index = 0; index < changes; ++index) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            text[position] = *rc::gen::arbitrary<char>();
        }
        const auto outcome = parseSettings(text);
        RC_ASSERT(outcome.value.has_value() == outcome.errors.empty());
    }));
}
