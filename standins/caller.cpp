#include "standins/caller.h"

#include "core/memory_budget.h"
#include "targets/call_abort.h"
#include "targets/event_stream_parser.h"
#include "targets/http_exchange.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace oriolepick {

namespace {

    using clock = std::chrono::steady_clock;
    using nlohmann::json;

    constexpr std::chrono::milliseconds ReconnectPause { 20 };
    constexpr std::chrono::milliseconds DefaultRetryAfter { 200 };
    // A call whose outcome is unknown stays so; a caller asks a few times and then stops.
    constexpr int MaxUnknownAnswers = 3;
    constexpr std::size_t MaxBodyBytes = std::size_t { 1 } << 20;
    constexpr std::size_t BudgetOfBodies = 16; ///< more than the copies that one exchange reserves

    /// The error object in a body.
    struct error_report {
        std::string code;
        bool notRun = false;
        bool retryable = false;
        std::chrono::milliseconds retryAfter { 0 };
    };

    std::optional<error_report> readError(const json& body)
    {
        if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
            return std::nullopt;
        const json& found = body["error"];
        error_report report;
        if (found.contains("code") && found["code"].is_string())
            report.code = found["code"].get<std::string>();
        report.notRun = found.contains("run") && found["run"] == "not_run";
        report.retryable = found.contains("retryable") && found["retryable"] == true;
        if (found.contains("retry_after_ms") && found["retry_after_ms"].is_number_unsigned())
            report.retryAfter = std::chrono::milliseconds(found["retry_after_ms"].get<std::uint32_t>());
        return report;
    }

    /// The caller of one streamed completion.
    class completion_caller {
    public:
        completion_caller(const load_plan& plan, const completion_call& call)
            : m_plan(plan)
            , m_call(call)
            , m_checker(answer_function(call.traffic->ref, call.seed, call.prompt), call.maxTokens, plan.salts)
        {
        }

        caller_report run(std::size_t node)
        {
            m_begin = clock::now();
            while (!m_final && clock::now() - m_begin < m_plan.patience) {
                connect(m_plan.nodes[node++ % m_plan.nodes.size()]);
                if (!m_final)
                    std::this_thread::sleep_for(std::exchange(m_pause, ReconnectPause));
            }
            m_report.tokens = m_checker.tokens().size();
            m_report.faults = m_checker.faults();
            return std::move(m_report);
        }

    private:
        std::string body() const
        {
            json made { { "model", m_call.traffic->model }, { "prompt", m_call.prompt },
                { "max_tokens", m_call.maxTokens }, { "seed", m_call.seed }, { "stream", true } };
            if (m_call.traffic->sendsPriority)
                made["priority"] = m_call.traffic->priority;
            if (m_call.traffic->deadlineMs)
                made["deadline_ms"] = m_call.traffic->deadlineMs;
            if (!m_cursor.empty() && m_plan.returnsTokens)
                made["oriolepick"] = { { "received_token_ids", m_checker.tokens() } };
            return made.dump();
        }

        void connect(const std::string& node)
        {
            service_request request { "POST", "/v1/completions",
                { { "Content-Type", "application/json" }, { "Authorization", "Bearer " + m_call.traffic->bearer },
                    { "Idempotency-Key", m_call.key } },
                body() };
            if (!m_cursor.empty())
                request.headers.emplace_back("Last-Event-ID", m_cursor);
            event_stream_parser parser;
            std::string errorBody;
            int status = 0;
            const response_handlers handlers {
                [&](int code, const header_list&) {
                    status = code;
                    return true;
                },
                [&](std::string_view bytes) {
                    if (status != 200) {
                        errorBody.append(bytes);
                        return errorBody.size() < MaxBodyBytes;
                    }
                    return parser.feed(bytes, [this](const stream_event& event) { return takeEvent(event); })
                        == event_stream_parser::status::Ok;
                },
            };
            call_abort abort;
            ++m_report.connections;
            exchange(node, request, { std::chrono::seconds(1), m_plan.idle }, handlers, abort);
            if (!m_final && status && status != 200)
                takeError(readError(json::parse(errorBody, nullptr, false)));
            else if (!m_final)
                noteBreak();
        }

        void noteBreak()
        {
            ++m_report.breaks;
            m_broken = true;
        }

        bool takeEvent(const stream_event& event)
        {
            if (event.data == "[DONE]") {
                m_checker.takeEnd(m_finishReason);
                m_report.outcome = caller_outcome::Complete;
                m_final = true;
                return false;
            }
            const json data = json::parse(event.data, nullptr, false);
            if (const auto report = readError(data)) {
                takeError(report);
                return false;
            }
            if (!event.id.empty())
                m_cursor = event.id;
            return takeData(data);
        }

        bool takeData(const json& data)
        {
            if (!data.is_object() || !data.contains("choices") || !data["choices"].is_array() || data["choices"].empty()
                || !data["choices"][0].is_object())
                return false;
            const json& choice = data["choices"][0];
            if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
                m_finishReason = choice["finish_reason"].get<std::string>();
            // An event that only ends the answer carries no token.
            if (!data.contains("oriolepick") || !data["oriolepick"].is_object()
                || !data["oriolepick"].contains("token_id") || !data["oriolepick"]["token_id"].is_number_unsigned())
                return true;
            const json& own = data["oriolepick"];
            if (!own.contains("position") || !own["position"].is_number_unsigned() || !choice.contains("text")
                || !choice["text"].is_string())
                return false;
            noteToken();
            m_checker.takeToken(own["position"].get<std::uint32_t>(),
                { own["token_id"].get<token_id>(), choice["text"].get<std::string>() });
            return true;
        }

        void noteToken()
        {
            const auto now = clock::now();
            if (!m_report.firstToken) {
                m_report.firstToken = now - m_begin;
            } else {
                const std::chrono::nanoseconds gap = now - m_lastToken;
                m_report.betweenTokens.add(gap);
                m_report.longestGap = std::max(m_report.longestGap, gap);
                auto& longest = m_broken ? m_report.longestBreakGap : m_report.longestConnectedGap;
                longest = std::max(longest, gap);
            }
            m_broken = false;
            m_lastToken = now;
        }

        void takeError(const std::optional<error_report>& report)
        {
            if (report && report->retryable) {
                noteBreak();
                m_report.errorCode = report->code;
                m_pause = report->retryAfter.count() ? report->retryAfter : DefaultRetryAfter;
                return;
            }
            m_final = true;
            m_report.errorCode = report ? report->code : "malformed";
            m_report.outcome = report && report->notRun ? caller_outcome::NotRun : caller_outcome::MayHaveRun;
        }

        const load_plan& m_plan;
        const completion_call& m_call;
        answer_checker m_checker;
        caller_report m_report;
        clock::time_point m_begin;
        clock::time_point m_lastToken;
        std::chrono::milliseconds m_pause { ReconnectPause };
        std::string m_cursor;
        std::string m_finishReason;
        bool m_broken = false; ///< since the last token
        bool m_final = false;
    };

    bool isFinalCallAnswer(const buffered_response& response, caller_report& report, std::chrono::milliseconds& pause)
    {
        const auto found = readError(json::parse(response.body, nullptr, false));
        if (!found) {
            report.outcome = caller_outcome::Complete;
            return true;
        }
        report.errorCode = found->code;
        report.outcome = found->notRun ? caller_outcome::NotRun : caller_outcome::MayHaveRun;
        pause = found->retryAfter.count() ? found->retryAfter : DefaultRetryAfter;
        return !found->retryable;
    }

} // namespace

caller_report runCompletion(const load_plan& plan, const completion_call& call, std::size_t firstNode)
{
    return completion_caller(plan, call).run(firstNode);
}

caller_report runPlainCall(
    const load_plan& plan, const call_traffic& traffic, const std::string& key, std::size_t firstNode)
{
    const auto begin = clock::now();
    caller_report report;
    const service_request request { traffic.method, absl::StrCat("/v1/services/", traffic.service, traffic.path),
        { { "Content-Type", "application/json" }, { "Authorization", "Bearer " + traffic.bearer },
            { "Idempotency-Key", key } },
        traffic.method == "GET" ? std::string() : absl::StrCat("{\"order\":\"", key, "\"}") };
    memory_budget memory(BudgetOfBodies * MaxBodyBytes, 0);
    int unknownAnswers = 0;
    for (std::size_t node = firstNode; clock::now() - begin < plan.patience; ++node) {
        call_abort abort;
        ++report.connections;
        const auto response = exchangeBuffered(plan.nodes[node % plan.nodes.size()], request,
            { std::chrono::seconds(1), plan.idle }, MaxBodyBytes, memory, abort);
        auto pause = ReconnectPause;
        if (response.result.end == exchange_end::Complete) {
            if (isFinalCallAnswer(response, report, pause)) {
                report.firstToken = clock::now() - begin;
                return report;
            }
            if (report.outcome == caller_outcome::MayHaveRun && ++unknownAnswers == MaxUnknownAnswers)
                return report;
        } else {
            ++report.breaks;
            // What an earlier answer said does not hold for the repetition whose answer was lost.
            report.outcome = caller_outcome::GaveUp;
        }
        std::this_thread::sleep_for(pause);
    }
    return report;
}

} // namespace oriolepick
