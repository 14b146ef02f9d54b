// Guards the platform parsers against malformed input: no byte change may terminate the process, and what is accepted
// survives a round trip.
#include "ports/instance_json.h"
#include "ports/table_json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;

namespace {

std::string mutated(std::string text)
{
    const auto changes = *rc::gen::inRange(0, 4);
    for (int index = 0; index < changes && !text.empty(); ++index) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[position] = static_cast<char>(*rc::gen::inRange(0, 256));
            break;
        case 1:
            text.erase(position, 1 + *rc::gen::inRange<std::size_t>(0, 8));
            break;
        default:
            text.insert(position, text.substr(*rc::gen::inRange<std::size_t>(0, text.size()), 6));
        }
    }
    return text;
}

} // namespace

RC_GTEST_PROP(platform_json, mutated_transactions_are_refused_or_survive, ())
{
    const auto text = mutated(
        encodeTransaction({ { { "a", store_version(0, 3) }, { "b", std::nullopt } }, { { "a", "x" }, { "b", {} } } })
            .value());
    const auto parsed = parseTransaction(text);
    if (!parsed) {
        RC_ASSERT(parsed.error().kind == error_kind::BadRequest);
        return;
    }
    const auto encoded = encodeTransaction(parsed.value()).value();
    RC_ASSERT(encodeTransaction(parseTransaction(encoded).value()).value() == encoded);
}

RC_GTEST_PROP(platform_json, mutated_rows_and_instances_are_refused_or_survive, ())
{
    const auto rows = parseRows(mutated(encodeRows({ { "k", "v", { 0, 1 } }, { "l", "w", { 0, 2 } } })), 0);
    if (rows)
        RC_ASSERT(parseRows(encodeRows(rows.value()), 0).value().size() == rows.value().size());
    (void)parseRow(mutated(encodeRow({ "k", "v", { 0, 1 } })), 0);
    (void)parseFailedKeys(mutated(R"({"failed":["a","b"]})"));
    const auto instances = parseInstances(mutated(encodeInstances({ { "a:1", availability_zone("z"), "engine" } })));
    if (instances)
        RC_ASSERT(parseInstances(encodeInstances(instances.value())).value() == instances.value());
}

TEST(platform_json, errors_name_the_field)
{
    EXPECT_EQ(parseTransaction(R"({"conditions":[{"key":"a"}],"writes":[]})").error().message,
        "conditions[0].version: an unsigned number is required");
    EXPECT_EQ(parseInstances(R"({"instances":[{"address":"a","zone":"z","kind":"k","state":"dead"}]})").error().message,
        "instances[0].state: \"dead\" is neither \"live\" nor \"leaving\"");
}
