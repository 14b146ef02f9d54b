// Guards the ticket parser: errors reported one at a time or without a path, a crash or a partly read ticket on
// malformed input, and a canonical text that changes its meaning.
#include "config/snapshot_json.h"
#include "config/ticket_json.h"
#include "core/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

using namespace oriolepick;

namespace {

const std::string Digest(64, 'a');

std::string fullTicket()
{
    return R"({"ticket":7,"operator":"op","note":"n","objects":[
{"kind":"fleet","fleet":"one","name":"one","state":{"title":"t","zones":["a","b"],"weight_loads_per_minute":3}},
{"kind":"team","fleet":"one","name":"desk","state":{"token_sha256":[")"
        + Digest + R"("],"requests_per_second":2.5,"highest_priority":7}},
{"kind":"model","fleet":"one","name":"m","state":{"versions":["1","2"],"adapters":["x"]}},
{"kind":"policy","fleet":"one","name":"now","state":{"strategy":"latency_first","deviations":3}},
{"kind":"target","fleet":"one","name":"w","state":{"address":"127.0.0.1:9","zone":"a","kind":"engine","leaving":true}},
{"kind":"deployment","fleet":"one","name":"d","state":{"model":"m","version":"1","adapter":"x","targets":["w","two/w"],
 "resume_policy":"now","priorities":{"lowest":1,"usual":2,"highest":3},"change_share":0.5}},
{"kind":"service","fleet":"one","name":"s","state":{"targets":["w"],
 "methods":[{"method":"POST","repeatable":false,"time_limit_ms":100}]}},
{"kind":"alias","fleet":"one","name":"old","state":{"deployment":"two/d"}},
{"kind":"objective","fleet":"one","name":"o","state":{"deployment":"d","metric":"token_gap_ms","goal":79}},
{"kind":"team","fleet":"one","name":"gone","deleted":true}]})";
}

bool has(const std::vector<field_error>& errors, const std::string& path, const std::string& part)
{
    return std::any_of(errors.begin(), errors.end(),
        [&](const field_error& error) { return error.path == path && error.problem.find(part) != std::string::npos; });
}

} // namespace

TEST(ticket_parser, canonical_text_is_a_fixed_point_of_every_kind)
{
    const auto parsed = parseTicket(fullTicket());
    ASSERT_TRUE(parsed.value) << toString(parsed.errors);
    EXPECT_EQ(parsed.value->objects.size(), 10u);
    const auto canonical = encodeTicket(*parsed.value);
    const auto again = parseTicket(canonical);
    ASSERT_TRUE(again.value) << toString(again.errors);
    EXPECT_EQ(encodeTicket(*again.value), canonical);
    const auto& deployment = std::get<deployment_settings>(*again.value->objects[5].state);
    EXPECT_EQ(deployment.targets[0], target_id(fleet_name("one"), "w"));
    EXPECT_EQ(deployment.targets[1], target_id(fleet_name("two"), "w"));
}

// Guards against tickets that are refused because a time is a fraction or a count is written as one.
TEST(ticket_parser, times_may_be_fractions)
{
    auto text = fullTicket();
    const auto replace
        = [&text](const std::string& from, const std::string& to) { text.replace(text.find(from), from.size(), to); };
    replace(R"("time_limit_ms":100)", R"("time_limit_ms":100.9)");
    replace(R"("deviations":3)", R"("deviations":3,"shortest_gap_ms":50.1)");
    replace(R"("highest_priority":7)", R"("highest_priority":7.0)");
    const auto parsed = parseTicket(text);
    ASSERT_TRUE(parsed.value) << toString(parsed.errors);
    const auto& objects = parsed.value->objects;
    EXPECT_EQ(std::get<service_settings>(*objects[6].state).methods[0].timeLimit, std::chrono::milliseconds(100));
    EXPECT_EQ(std::get<policy_settings>(*objects[3].state).minStallThreshold, std::chrono::milliseconds(51));
    replace(R"("highest_priority":7.0)", R"("highest_priority":7.5)");
    EXPECT_TRUE(has(parseTicket(text).errors, "objects[1].state.highest_priority", "7.5 is not a whole number"));
}

TEST(ticket_parser, reports_all_errors_with_path_and_value)
{
    const auto parsed = parseTicket(R"({"ticket":0,"opertor":"x","objects":[
{"kind":"target","fleet":"one","name":"a/b","state":{"adress":"127.0.0.1:9","zone":7,"kind":"gpu","capacity":0}},
{"kind":"polcy","fleet":"one","name":"p","deleted":true},
{"kind":"team","fleet":"one","name":"t","state":{"token_sha256":["secret"],"requests_per_second":-1}},
{"kind":"alias","fleet":"one","name":"x"}]})");
    EXPECT_FALSE(parsed.value);
    EXPECT_TRUE(has(parsed.errors, "ticket", "0 is not a number from 1"));
    EXPECT_TRUE(has(parsed.errors, "operator", "is missing"));
    EXPECT_TRUE(has(parsed.errors, "opertor", "did you mean 'operator'"));
    EXPECT_TRUE(has(parsed.errors, "objects[0].name", "\"a/b\" is not a name"));
    EXPECT_TRUE(has(parsed.errors, "objects[0].state.adress", "did you mean 'address'"));
    EXPECT_TRUE(has(parsed.errors, "objects[0].state.zone", "7 is not a text"));
    EXPECT_TRUE(has(parsed.errors, "objects[0].state.kind", "none of engine, service"));
    EXPECT_TRUE(has(parsed.errors, "objects[0].state.capacity", "0 is outside 1"));
    EXPECT_TRUE(has(parsed.errors, "objects[1].kind", "did you mean 'policy'"));
    EXPECT_TRUE(has(parsed.errors, "objects[2].state.token_sha256[0]", "is not a SHA-256 digest"));
    EXPECT_TRUE(has(parsed.errors, "objects[2].state.requests_per_second", "-1"));
    EXPECT_TRUE(has(parsed.errors, "objects[3]", "needs either a state"));
}

TEST(ticket_parser, rejects_repeated_names_deep_nesting_and_oversize)
{
    EXPECT_TRUE(
        has(parseTicket(R"({"ticket":1,"ticket":2,"operator":"x","objects":[]})").errors, "ticket", "more than once"));
    EXPECT_TRUE(has(parseTicket(std::string(100'000, '[')).errors, "", "nested deeper"));
    EXPECT_TRUE(has(parseTicket(std::string(MaxTicketBytes + 1, ' ')).errors, "", "more than the limit"));
}

TEST(ticket_parser, survives_mutated_input_and_never_returns_both_value_and_errors)
{
    EXPECT_TRUE(rc::check("mutations of a valid ticket", [] {
        seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
        auto text = fullTicket();
        static const std::array<std::string, 10> Pieces { "null", "-1", "1e999", "\"\\ud800\"", "{}", "[]", "\xff",
            "\"", "99999999999999999999", "true" };
        for (auto edits = 1 + random.below(4); edits > 0; --edits) {
            const auto at = random.below(text.size());
            switch (random.below(4)) {
            case 0:
                text.erase(at, 1 + random.below(12));
                break;
            case 1:
                text.insert(at, Pieces[random.below(Pieces.size())]);
                break;
            case 2:
                text[at] = static_cast<char>(random.below(256));
                break;
            default:
                text.replace(at, 1 + random.below(6), Pieces[random.below(Pieces.size())]);
            }
        }
        const auto parsed = parseTicket(text);
        RC_ASSERT(parsed.value.has_value() == parsed.errors.empty());
        if (parsed.value) {
            const auto canonical = encodeTicket(*parsed.value);
            const auto again = parseTicket(canonical);
            RC_ASSERT(again.value.has_value());
            RC_ASSERT(encodeTicket(*again.value) == canonical);
        }
        static_cast<void>(parseSnapshot(text));
    }));
}

TEST(snapshot_json, keeps_objects_and_retired_deployments)
{
    auto change = *parseTicket(fullTicket()).value;
    change.number = 1;
    const auto state = fleet_state().after(
        { change, { 2, "op", "", { { { object_kind::Deployment, fleet_name("one"), "d" }, std::nullopt } } } });
    const auto text = encodeSnapshot(*state);
    const auto restored = parseSnapshot(text);
    ASSERT_TRUE(restored) << restored.error().message;
    EXPECT_EQ(encodeSnapshot(*restored.value()), text);
    EXPECT_TRUE(restored.value()->deploymentForStream(deployment_id(fleet_name("one"), "d")));
    EXPECT_TRUE(restored.value()->teamByTokenDigest(Digest));
}
