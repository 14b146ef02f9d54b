#include "gateway/place_codec.h"

#include "wire/messages.pb.h"

#include <algorithm>

namespace oriolepick {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t MaxNameBytes = 256;
    constexpr milliseconds MaxTime { std::chrono::hours(1) }; ///< longer waits and ages are invalid
    constexpr std::uint64_t MaxBusyMs = 1'000'000'000'000; ///< 1,000 targets that are busy for a year use a thirtieth
    constexpr std::uint64_t MaxTokens = 1'000'000'000'000; ///< far above the memory of all engines
    constexpr std::uint32_t MaxRank = 1'000;
    constexpr std::uint32_t MaxCount = 1'000'000; ///< requests in flight, or free places
    constexpr std::uint32_t MaxShards = 1'024; ///< five times those of 12,000 targets
    /// A shard has about 64 targets; with these bounds a message fits into a datagram of 8 KB.
    constexpr int MaxUses = 100;
    constexpr int MaxNumbers = 512; ///< requests of one node that wait or are undecided
    constexpr int MaxExcluded = 100;

    std::uint32_t clampedMs(milliseconds time)
    {
        return static_cast<std::uint32_t>(std::clamp(time, milliseconds(0), MaxTime).count());
    }

    bool isValidTime(std::uint32_t time)
    {
        return milliseconds(time) <= MaxTime;
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= MaxNameBytes;
    }

    // Keeps the newest, which are at the end.
    template <typename Value, typename Field> void encodeNewest(const std::vector<Value>& values, int limit, Field* out)
    {
        const auto first = values.size() - std::min(values.size(), static_cast<std::size_t>(limit));
        out->Add(values.begin() + static_cast<std::ptrdiff_t>(first), values.end());
    }

    void encodeShard(const place_shard& shard, wire::place_shard& out)
    {
        out.set_service(shard.service.value());
        out.set_zone(shard.zone.value());
        out.set_index(shard.index);
        out.set_count(shard.count);
    }

    std::optional<place_shard> decodeShard(const wire::place_shard& in)
    {
        if (!isName(in.service()) || in.zone().size() > MaxNameBytes || in.count() > MaxShards
            || in.index() >= in.count())
            return std::nullopt;
        return place_shard { service_name(in.service()), availability_zone(in.zone()), in.index(), in.count() };
    }

    void encodeReport(const place_report& report, wire::place_report& out)
    {
        out.set_started_at(report.startedAt);
        out.set_sequence(report.sequence);
        out.set_newest(report.newest);
        encodeNewest(report.open, MaxNumbers, out.mutable_open());
        for (const auto& use : report.uses) {
            if (out.uses_size() >= MaxUses)
                break;
            auto& added = *out.add_uses();
            added.set_target(use.target);
            added.set_in_flight(std::min(use.inFlight, MaxCount));
            added.set_unread_tokens(std::min(use.unreadTokens, MaxTokens));
            added.set_held_tokens(std::min(use.heldTokens, MaxTokens));
            added.set_completed(use.completed);
            added.set_busy_ms(static_cast<std::uint64_t>(std::clamp<std::int64_t>(use.busy.count(), 0, MaxBusyMs)));
            if (use.refusedAgo)
                added.set_refused_ago_ms(clampedMs(*use.refusedAgo));
            if (use.faultAgo)
                added.set_fault_ago_ms(clampedMs(*use.faultAgo));
        }
    }

    std::optional<place_report> decodeReport(const wire::place_report& in)
    {
        if (in.open_size() > MaxNumbers || in.uses_size() > MaxUses)
            return std::nullopt;
        place_report report { in.started_at(), in.sequence(), in.newest(), { in.open().begin(), in.open().end() }, {} };
        for (const auto& each : in.uses()) {
            if (each.in_flight() > MaxCount || each.unread_tokens() > MaxTokens || each.held_tokens() > MaxTokens
                || each.busy_ms() > MaxBusyMs || !isValidTime(each.refused_ago_ms())
                || !isValidTime(each.fault_ago_ms()))
                return std::nullopt;
            auto& use = report.uses.emplace_back();
            use.target = each.target();
            use.inFlight = each.in_flight();
            use.unreadTokens = each.unread_tokens();
            use.heldTokens = each.held_tokens();
            use.completed = each.completed();
            use.busy = milliseconds(each.busy_ms());
            if (each.has_refused_ago_ms())
                use.refusedAgo = milliseconds(each.refused_ago_ms());
            if (each.has_fault_ago_ms())
                use.faultAgo = milliseconds(each.fault_ago_ms());
        }
        return report;
    }

    std::optional<place_message> decodeRequest(place_shard shard, const wire::place_request& in)
    {
        if (in.rank() > MaxRank || !isValidTime(in.latest_start_ms()) || !isValidTime(in.objective_ms())
            || in.prompt_tokens() > MaxTokens || in.output_tokens() > MaxTokens || !isValidTime(in.prefill_ms())
            || !isValidTime(in.waited_ms()) || in.excluded_size() > MaxExcluded)
            return std::nullopt;
        place_request request;
        request.number = in.number();
        request.shard = std::move(shard);
        request.rank = in.rank();
        request.team = in.team();
        request.latestStart = milliseconds(in.latest_start_ms());
        request.objective = milliseconds(in.objective_ms());
        request.promptTokens = in.prompt_tokens();
        request.outputTokens = in.output_tokens();
        request.prefillTime = milliseconds(in.prefill_ms());
        request.waited = milliseconds(in.waited_ms());
        request.excluded.assign(in.excluded().begin(), in.excluded().end());
        if (in.has_report()) {
            request.report = decodeReport(in.report());
            if (!request.report)
                return std::nullopt;
        }
        return request;
    }

    std::optional<place_message> decodeAnswer(place_shard shard, const wire::place_answer& in)
    {
        if (in.outcome() > static_cast<std::uint32_t>(place_outcome::Waiting) || in.target().size() > MaxNameBytes
            || !isValidTime(in.retry_after_ms()) || !isValidTime(in.decision_within_ms()) || in.free() > MaxCount
            || !isValidTime(in.wait_ms()))
            return std::nullopt;
        const auto outcome = static_cast<place_outcome>(in.outcome());
        if ((outcome == place_outcome::Granted) == in.target().empty())
            return std::nullopt; // a grant names its target, other answers name none
        return place_answer { in.number(), std::move(shard), outcome, target_name(in.target()),
            milliseconds(in.retry_after_ms()), milliseconds(in.decision_within_ms()),
            { in.free(), milliseconds(in.wait_ms()) } };
    }

    /// Encodes each kind of message.
    struct encoder {
        wire::place& out;

        void operator()(const place_request& request) const
        {
            encodeShard(request.shard, *out.mutable_shard());
            auto& body = *out.mutable_request();
            body.set_number(request.number);
            body.set_rank(std::min(request.rank, MaxRank));
            body.set_team(request.team);
            body.set_latest_start_ms(clampedMs(request.latestStart));
            body.set_objective_ms(clampedMs(request.objective));
            body.set_prompt_tokens(std::min(request.promptTokens, MaxTokens));
            body.set_output_tokens(std::min(request.outputTokens, MaxTokens));
            body.set_prefill_ms(clampedMs(request.prefillTime));
            body.set_waited_ms(clampedMs(request.waited));
            encodeNewest(request.excluded, MaxExcluded, body.mutable_excluded());
            if (request.report)
                encodeReport(*request.report, *body.mutable_report());
        }

        void operator()(const place_answer& answer) const
        {
            encodeShard(answer.shard, *out.mutable_shard());
            auto& body = *out.mutable_answer();
            body.set_number(answer.number);
            body.set_outcome(static_cast<std::uint32_t>(answer.outcome));
            if (answer.outcome == place_outcome::Granted)
                body.set_target(answer.target.value());
            body.set_retry_after_ms(clampedMs(answer.retryAfter));
            body.set_decision_within_ms(clampedMs(answer.decisionWithin));
            body.set_free(std::min(answer.room.free, MaxCount));
            body.set_wait_ms(clampedMs(answer.room.wait));
        }

        void operator()(const place_state& state) const
        {
            encodeShard(state.shard, *out.mutable_shard());
            encodeReport(state.report, *out.mutable_state());
        }

        void operator()(const place_cancel& cancel) const
        {
            encodeShard(cancel.shard, *out.mutable_shard());
            out.mutable_cancel()->set_number(cancel.number);
        }

        void operator()(const place_renewal& renewal) const
        {
            encodeShard(renewal.shard, *out.mutable_shard());
            encodeNewest(renewal.numbers, MaxNumbers, out.mutable_renewal()->mutable_numbers());
        }

        void operator()(const place_line_state& state) const
        {
            encodeShard(state.shard, *out.mutable_shard());
            encodeNewest(state.waiting, MaxNumbers, out.mutable_line_state()->mutable_waiting());
        }
    };

    std::optional<place_message> decodeMessage(const wire::place& in)
    {
        auto shard = decodeShard(in.shard());
        if (!shard)
            return std::nullopt;
        switch (in.body_case()) {
        case wire::place::kRequest:
            return decodeRequest(std::move(*shard), in.request());
        case wire::place::kAnswer:
            return decodeAnswer(std::move(*shard), in.answer());
        case wire::place::kState:
            if (auto report = decodeReport(in.state()))
                return place_state { std::move(*shard), std::move(*report) };
            return std::nullopt;
        case wire::place::kCancel:
            return place_cancel { std::move(*shard), in.cancel().number() };
        case wire::place::kRenewal: {
            const auto& numbers = in.renewal().numbers();
            if (numbers.size() > MaxNumbers)
                return std::nullopt;
            return place_renewal { std::move(*shard), { numbers.begin(), numbers.end() } };
        }
        case wire::place::kLineState: {
            const auto& waiting = in.line_state().waiting();
            if (waiting.size() > MaxNumbers)
                return std::nullopt;
            return place_line_state { std::move(*shard), { waiting.begin(), waiting.end() } };
        }
        case wire::place::BODY_NOT_SET:
            break;
        }
        return std::nullopt;
    }

} // namespace

void encode(const place_datagram& datagram, wire::place& out)
{
    std::visit(encoder { out }, datagram.message);
    if (out.has_request())
        out.mutable_request()->set_request(datagram.request);
}

std::optional<place_datagram> decode(const wire::place& in)
{
    auto message = decodeMessage(in);
    if (!message)
        return std::nullopt;
    return place_datagram { std::move(*message), in.request().request() };
}

} // namespace oriolepick
