// Guards the scrape parser: a crash or endless loop on malformed input, limits that do not hold, wrong labels, and
// counters that reach the wrong objective.
#include "tool/event_counts.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace oriolepick;

namespace {

const std::string Scrape = R"(# HELP oriolepick_responses_total Generations
# TYPE oriolepick_responses_total counter
oriolepick_responses_total{fleet="atelier",deployment="manuals",priority="5",result="whole"} 40
oriolepick_responses_total{fleet="atelier",deployment="manuals",priority="5",result="failed"} 2 1700000000000
oriolepick_responses_total{fleet="atelier",deployment="manuals",priority="5",result="refused"} 7
oriolepick_first_token_seconds_count{fleet="atelier",deployment="manuals",priority="5"} 10
oriolepick_first_token_seconds_bucket{fleet="atelier",deployment="manuals",priority="5",le="0.6"} 6
oriolepick_first_token_seconds_bucket{fleet="atelier",deployment="manuals",priority="5",le="0.78"} 9
oriolepick_first_token_seconds_bucket{fleet="atelier",deployment="manuals",priority="5",le="+Inf"} 10
oriolepick_refusals_total{fleet="atelier",code="overloaded",run="not_run"} 3
oriolepick_refusals_total{fleet="atelier",code="target_failed",run="may_have_run"} 4
oriolepick_calls_total{fleet="atelier",service="atelier/booking",outcome="answered"} 8
oriolepick_repeated_calls_total{fleet="atelier",service="atelier/booking"} 1
oriolepick_ticket_in_force 12
odd{text="a \"b\" \\ \n",} NaN
)";

std::string faultOf(const std::string& text)
{
    const auto parsed = parseMetricsText(text);
    return parsed ? "none" : parsed.error().message;
}

} // namespace

TEST(metrics_text, counters_reach_their_objective)
{
    const auto parsed = parseMetricsText(Scrape);
    ASSERT_TRUE(parsed) << parsed.error().message;
    ASSERT_EQ(parsed.value().size(), 13u);
    EXPECT_EQ(parsed.value().back().labels.at("text"), "a \"b\" \\ \n");
    const auto scrape = summarizeScrape("a", {}, parsed.value());
    EXPECT_EQ(scrape.ticket, 12);
    const auto& whole = scrape.series.at({ objective_metric::SuccessShare, "atelier", "manuals", "5" });
    EXPECT_DOUBLE_EQ(whole.total, 42);
    EXPECT_DOUBLE_EQ(whole.bad, 2);
    const auto& first = scrape.series.at({ objective_metric::FirstTokenMs, "atelier", "manuals", "5" });
    EXPECT_DOUBLE_EQ(first.badBeyond(780), 1);
    EXPECT_DOUBLE_EQ(first.badBeyond(700), 4);
    EXPECT_DOUBLE_EQ(first.badBeyond(100), 10);
    EXPECT_DOUBLE_EQ(scrape.series.at({ objective_metric::TruthfulRefusalShare, "atelier" }).total, 3);
    const auto& calls = scrape.series.at({ objective_metric::AtMostOnceShare, "atelier", "booking" });
    EXPECT_DOUBLE_EQ(calls.total, 8);
    EXPECT_DOUBLE_EQ(calls.bad, 1);
}

TEST(metrics_text, faults_name_line_and_cause)
{
    EXPECT_EQ(faultOf("a 1\n1b 2\n"), "line 2: does not start with a metric name");
    EXPECT_EQ(faultOf("a{b=\"c} 1"), "line 1: the value of label 'b' is not closed or has an unknown escape");
    EXPECT_EQ(faultOf("a{b=\"c\" d=\"e\"} 1"), "line 1: has no ',' or '}' after label 'b'");
    EXPECT_EQ(faultOf("a{b=\"c\",b=\"d\"} 1"), "line 1: label 'b' appears twice");
    EXPECT_EQ(faultOf("a one"), "line 1: value 'one' is not a number");
    EXPECT_EQ(faultOf("a 1 soon"), "line 1: timestamp 'soon' is not an integer");
    EXPECT_EQ(faultOf("a 1 2 3"), "line 1: has text after the timestamp");
    EXPECT_EQ(faultOf("a"), "line 1: has no blank before the value");
}

TEST(metrics_text, limits_hold)
{
    EXPECT_NE(faultOf(std::string(MaxScrapeBytes + 1, 'a')).find("larger than"), std::string::npos);
    EXPECT_NE(faultOf("a{b=\"" + std::string(MaxMetricLineBytes, 'c') + "\"} 1").find("longer"), std::string::npos);
    std::string labels;
    for (std::size_t index = 0; index <= MaxMetricLabels; ++index)
        labels += "l" + std::to_string(index) + "=\"\",";
    EXPECT_NE(faultOf("a{" + labels + "} 1").find("more than 16 labels"), std::string::npos);
    std::string samples;
    for (std::size_t index = 0; index <= MaxScrapeSamples; ++index)
        samples += "a 1\n";
    EXPECT_NE(faultOf(samples).find("more than 200000 samples"), std::string::npos);
}

TEST(metrics_text, mutated_scrapes_are_parsed_or_rejected)
{
    EXPECT_TRUE(rc::check("parses or reports a line", [](const std::vector<std::pair<std::uint16_t, char>>& changes) {
        auto text = Scrape;
        for (const auto& [at, symbol] : changes) {
            const auto position = at % text.size();
            if (at % 3 == 0 && text.size() > 1)
                text.erase(position, 1);
            else if (at % 3 == 1)
                text.insert(position, 1, symbol);
            else
                text[position] = symbol;
        }
        const auto parsed = parseMetricsText(text);
        if (!parsed)
            RC_ASSERT(parsed.error().message.rfind("line ", 0) == 0);
        else
            summarizeScrape("a", {}, parsed.value());
    }));
}
