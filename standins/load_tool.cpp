#include "standins/load_tool.h"

#include "core/seeded_random.h"
#include "core/stable_hash.h"
#include "standins/elastic_thread_pool.h"
#include "standins/run_audit.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <thread>
#include <utility>

namespace oriolepick {

namespace {

    using clock = std::chrono::steady_clock;
    using nlohmann::json;

    std::string makePrompt(const completion_traffic& traffic, std::uint64_t number, seeded_random& random)
    {
        // The shared part depends on the traffic only, the rest is unique to the request.
        seeded_random shared(stableHash(traffic.bearer + traffic.model));
        std::string prompt;
        while (prompt.size() < traffic.sharedBytes)
            prompt += absl::StrCat("page ", shared.below(100'000), " ");
        prompt += absl::StrCat("request ", number, " ", traffic.promptText, " ");
        while (prompt.size() < traffic.promptBytes)
            prompt += absl::StrCat("word", random.below(100'000), " ");
        if (traffic.fixedLength)
            prompt += absl::StrCat("[length=", traffic.fixedLength, "]");
        return prompt;
    }

    json percentiles(const value_summary& values)
    {
        return { { "count", values.count() }, { "p50_ms", values.percentile(0.5) },
            { "p95_ms", values.percentile(0.95) }, { "p99_ms", values.percentile(0.99) },
            { "max_ms", values.percentile(1) } };
    }

    std::uint64_t countOf(const std::map<caller_outcome, std::uint64_t>& outcomes, caller_outcome outcome)
    {
        const auto found = outcomes.find(outcome);
        return found == outcomes.end() ? 0 : found->second;
    }

    json outcomesJson(const std::map<caller_outcome, std::uint64_t>& outcomes)
    {
        return { { "complete", countOf(outcomes, caller_outcome::Complete) },
            { "not_run", countOf(outcomes, caller_outcome::NotRun) },
            { "may_have_run", countOf(outcomes, caller_outcome::MayHaveRun) },
            { "gave_up", countOf(outcomes, caller_outcome::GaveUp) } };
    }

} // namespace

load_tool::load_tool(load_plan plan)
    : m_plan(std::move(plan))
{
}

std::string load_tool::run()
{
    const auto begin = clock::now();
    elastic_thread_pool pool(m_plan.maxOpen);
    std::vector<std::thread> senders;
    std::uint64_t seed = m_plan.seed;
    for (const auto& traffic : m_plan.completions)
        senders.emplace_back([this, &traffic, &pool, seed = ++seed] { sendCompletions(traffic, seed, pool); });
    for (const auto& traffic : m_plan.calls)
        senders.emplace_back([this, &traffic, &pool, seed = ++seed] { sendCalls(traffic, seed, pool); });
    for (auto& sender : senders)
        sender.join();
    pool.shutdown();
    return resultJson(std::chrono::duration<double>(clock::now() - begin).count());
}

template <typename Send> void load_tool::pace(double rate, seeded_random& random, Send send)
{
    const auto begin = clock::now();
    std::chrono::duration<double> at(0);
    for (std::uint64_t number = 0; at < m_plan.duration; ++number) {
        std::this_thread::sleep_until(begin + std::chrono::duration_cast<clock::duration>(at));
        send(number);
        at += std::chrono::duration<double>(-std::log(1 - random.unit()) / rate);
    }
}

void load_tool::sendCompletions(const completion_traffic& traffic, std::uint64_t seed, elastic_thread_pool& pool)
{
    seeded_random random(seed);
    pace(traffic.rate, random, [&](std::uint64_t number) {
        completion_call call;
        call.traffic = &traffic;
        call.key = absl::StrCat("g-", seed, "-", number);
        call.prompt = makePrompt(traffic, number, random);
        call.seed = random.below(1'000'000);
        call.maxTokens = traffic.maxTokens[random.below(traffic.maxTokens.size())];
        const auto node = static_cast<std::size_t>(random.below(m_plan.nodes.size()));
        if (!openOne(m_completions))
            return;
        pool.enqueue([this, call, node] { closeOne(m_completions, runCompletion(m_plan, call, node)); });
    });
}

void load_tool::sendCalls(const call_traffic& traffic, std::uint64_t seed, elastic_thread_pool& pool)
{
    seeded_random random(seed);
    pace(traffic.rate, random, [&](std::uint64_t number) {
        const std::string key = absl::StrCat("c-", seed, "-", number);
        const auto node = static_cast<std::size_t>(random.below(m_plan.nodes.size()));
        if (!openOne(m_plainCalls))
            return;
        pool.enqueue([this, &traffic, key, node] {
            const auto report = runPlainCall(m_plan, traffic, key, node);
            closeOne(m_plainCalls, report);
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_calls[key] = { report.outcome, traffic.repeatable };
        });
    });
}

bool load_tool::openOne(totals& where)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_open >= m_plan.maxOpen) {
        ++where.skipped;
        return false;
    }
    ++m_open;
    ++where.sent;
    return true;
}

void load_tool::closeOne(totals& where, const caller_report& report)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_open;
    ++where.outcomes[report.outcome];
    if (report.outcome != caller_outcome::Complete)
        ++where.errors[report.errorCode.empty() ? "none" : report.errorCode];
    where.breaks += report.breaks;
    where.tokens += report.tokens;
    where.faults.add(report.faults);
    if (report.firstToken)
        where.firstToken.add(*report.firstToken);
    where.betweenTokens.add(report.betweenTokens);
    if (report.longestGap.count())
        where.longestGap.add(report.longestGap);
    if (report.longestBreakGap.count())
        where.breakGap.add(report.longestBreakGap);
}

std::string load_tool::resultJson(double seconds)
{
    const auto& answers = m_completions;
    json made { { "name", "load_tool" }, { "seed", m_plan.seed }, { "seconds", seconds },
        { "completions",
            { { "sent", answers.sent }, { "skipped", answers.skipped }, { "outcomes", outcomesJson(answers.outcomes) },
                { "errors", answers.errors }, { "breaks", answers.breaks }, { "tokens", answers.tokens },
                { "tokens_per_s", static_cast<double>(answers.tokens) / seconds },
                { "faults",
                    { { "missing", answers.faults.missing }, { "repeated", answers.faults.repeated },
                        { "mixed", answers.faults.mixed }, { "wrong_end", answers.faults.wrongEnd } } },
                { "first_token", percentiles(answers.firstToken) },
                { "between_tokens", percentiles(answers.betweenTokens) },
                { "longest_gap_per_stream", percentiles(answers.longestGap) },
                { "gap_around_break", percentiles(answers.breakGap) } } } };
    run_audit audit;
    const auto runs = readRuns(m_plan.services);
    for (const auto& [key, call] : m_calls) {
        if (!m_plan.services.empty())
            audit.judge(call.outcome, call.repeatable, runsOf(runs, key));
    }
    made["calls"] = { { "sent", m_plainCalls.sent }, { "skipped", m_plainCalls.skipped },
        { "outcomes", outcomesJson(m_plainCalls.outcomes) }, { "errors", m_plainCalls.errors },
        { "breaks", m_plainCalls.breaks }, { "response", percentiles(m_plainCalls.firstToken) },
        { "doubled", audit.doubled }, { "lost", audit.lost }, { "ran_after_not_run", audit.ranAfterNotRun },
        { "unknown_ran", audit.unknownRan }, { "unknown_not_run", audit.unknownNotRun },
        { "repeated_allowed", audit.repeated }, { "services_unreachable", runs.unreachable } };
    m_foundFault = answers.faults.any() || audit.foundFault();
    return made.dump();
}

} // namespace oriolepick
