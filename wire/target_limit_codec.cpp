#include "wire/target_limit_codec.h"

#include "core/text.h"
#include "wire/messages.pb.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>
#include <cstddef>

namespace oriolepick {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t MaxNameBytes = 256;
    constexpr milliseconds MaxTime { std::chrono::hours(1) }; ///< longer ages and waits are invalid
    constexpr double MaxRefused = 1e6; ///< far more than a node refuses between two messages

    std::uint32_t clampedMs(milliseconds time)
    {
        return static_cast<std::uint32_t>(std::clamp(time, milliseconds(0), MaxTime).count());
    }

    bool isValidTime(std::uint32_t time)
    {
        return milliseconds(time) <= MaxTime;
    }

    void encode(const limit_statement& statement, wire::limit_statement& out)
    {
        out.set_limited(statement.limit.requestsPerSecond.has_value());
        out.set_requests_per_second(statement.limit.requestsPerSecond.value_or(0));
        out.set_incarnation(statement.limit.incarnation);
        out.set_age_ms(clampedMs(statement.age));
    }

    std::optional<limit_statement> decode(const wire::limit_statement& in)
    {
        if (!isValidTime(in.age_ms()))
            return std::nullopt;
        limit_statement statement { { std::nullopt, in.incarnation() }, milliseconds(in.age_ms()) };
        if (!in.limited())
            return statement;
        const auto limit = readLimit(in.requests_per_second());
        if (limit.reading != limit_reading::AsNamed)
            return std::nullopt;
        statement.limit.requestsPerSecond = limit.requestsPerSecond;
        return statement;
    }

    std::optional<permit_request> decode(const wire::permit_request& in)
    {
        const auto known = decode(in.known());
        if (!known || !std::isfinite(in.refused()) || in.refused() < 0 || in.refused() > MaxRefused)
            return std::nullopt;
        return permit_request { in.number(), *known, in.refused() };
    }

    std::optional<permit_answer> decode(const wire::permit_answer& in)
    {
        const auto known = decode(in.known());
        if (!known || !isValidTime(in.time_to_next_ms()) || !isValidTime(in.spread_ms()))
            return std::nullopt;
        return permit_answer { in.number(), in.granted(), *known, milliseconds(in.time_to_next_ms()),
            milliseconds(in.spread_ms()) };
    }

    bool isAddress(const std::string& text)
    {
        const auto separator = text.rfind(':');
        in_addr address {};
        return separator != std::string::npos && inet_pton(AF_INET, text.substr(0, separator).c_str(), &address) == 1
            && parseNumber<std::uint16_t>(std::string_view(text).substr(separator + 1));
    }

    std::optional<limit_notice> decode(const wire::limit_notice& in)
    {
        const auto known = decode(in.known());
        if (!known || (!in.owner().empty() && !isAddress(in.owner())))
            return std::nullopt;
        return limit_notice { *known, node_id(in.owner()), in.owner_is_local() };
    }

} // namespace

void encode(const target_limit_message& message, wire::target_limit& out)
{
    out.set_target(message.target.value());
    out.set_zone(message.zone.value());
    if (const auto* request = std::get_if<permit_request>(&message.body)) {
        out.mutable_request()->set_number(request->number);
        encode(request->known, *out.mutable_request()->mutable_known());
        out.mutable_request()->set_refused(std::min(request->refused, MaxRefused));
    } else if (const auto* answer = std::get_if<permit_answer>(&message.body)) {
        out.mutable_answer()->set_number(answer->number);
        out.mutable_answer()->set_granted(answer->granted);
        encode(answer->known, *out.mutable_answer()->mutable_known());
        out.mutable_answer()->set_time_to_next_ms(clampedMs(answer->timeToNext));
        out.mutable_answer()->set_spread_ms(clampedMs(answer->spread));
    } else {
        const auto& notice = std::get<limit_notice>(message.body);
        encode(notice.known, *out.mutable_notice()->mutable_known());
        out.mutable_notice()->set_owner(notice.owner.value());
        out.mutable_notice()->set_owner_is_local(notice.ownerIsLocal);
    }
}

std::optional<target_limit_message> decode(const wire::target_limit& in)
{
    if (in.target().empty() || in.target().size() > MaxNameBytes || in.zone().size() > MaxNameBytes)
        return std::nullopt;
    target_limit_message message { limited_target(in.target()), availability_zone(in.zone()), {} };
    const auto take = [&message](const auto& body) {
        if (!body)
            return false;
        message.body = *body;
        return true;
    };
    bool valid = false;
    if (in.has_request())
        valid = take(decode(in.request()));
    else if (in.has_answer())
        valid = take(decode(in.answer()));
    else if (in.has_notice())
        valid = take(decode(in.notice()));
    return valid ? std::optional<target_limit_message>(std::move(message)) : std::nullopt;
}

} // namespace oriolepick
