// Guards the stored form of call rows: rows survive a round trip, damaged rows are refused with the field's name, and
// no damaged row terminates the process.
#include "config/call_row_json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

call_row sample(call_row_state state, const std::string& body)
{
    call_row row { state, "n1/3/17", 0xffffffffffffffffULL, node_id("n1"), wall_time(milliseconds(1'700'000'000'123)),
        {} };
    if (state == call_row_state::Answered)
        row.answer = { 201, "application/json", body };
    return row;
}

bool equal(const call_row& left, const call_row& right)
{
    return left.state == right.state && left.claimId == right.claimId && left.bodyDigest == right.bodyDigest
        && left.node == right.node && left.at == right.at && left.answer == right.answer;
}

} // namespace

RC_GTEST_PROP(call_row_json, round_trip, (const std::string& body))
{
    const auto state = *rc::gen::element(
        call_row_state::Claimed, call_row_state::Answered, call_row_state::Refused, call_row_state::MayHaveRun);
    const auto row = sample(state, body);
    RC_ASSERT(equal(call_row_json().decode(call_row_json().encode(row)).value(), row));
}

RC_GTEST_PROP(call_row_json, mutated_rows_are_refused_or_survive, ())
{
    auto text = call_row_json().encode(sample(call_row_state::Answered, "body"));
    const auto changes = *rc::gen::inRange(1, 5);
    for (int index = 0; index < changes; ++index) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::arbitrary<bool>())
            text[position] = static_cast<char>(*rc::gen::inRange(0, 256));
        else
            text.erase(position, *rc::gen::inRange<std::size_t>(1, 6));
    }
    const auto decoded = call_row_json().decode(text);
    if (decoded)
        RC_ASSERT(call_row_json().decode(call_row_json().encode(decoded.value())));
    else
        RC_ASSERT(decoded.error().kind == error_kind::BadRequest);
}

TEST(call_row_json, errors_name_the_field)
{
    const call_row_json codec;
    EXPECT_EQ(codec.decode("[]").error().message, "call row: value: not a JSON object");
    EXPECT_EQ(codec.decode(R"({"state":"running"})").error().message, "call row: state: \"running\" is unknown");
    EXPECT_EQ(codec.decode(R"({"state":"claimed","claim":"c","node":"n","digest":1,"at_ms":1e300})").error().message,
        "call row: at_ms: milliseconds since the epoch are required");
    EXPECT_EQ(codec.decode(R"({"state":"claimed","claim":"c","node":"n","digest":1,"at_ms":1,"x":1})").error().message,
        "call row: value: has an unknown field");
}
