#include "wire/grant_codec.h"

#include "wire/messages.pb.h"

#include <cmath>

namespace oriolepick {

namespace {

    bool validRate(double rate)
    {
        return std::isfinite(rate) && rate >= 0;
    }

} // namespace

void encode(const demand_report& report, wire::demand_report& out)
{
    out.set_team(report.team.text());
    out.set_tokens_per_second(report.tokensPerSecond);
    out.set_sequence(report.sequence);
}

void encode(const team_grant& grant, wire::team_grant& out)
{
    out.set_team(grant.team.text());
    out.set_tokens_per_second(grant.tokensPerSecond);
    out.set_valid_for_ms(static_cast<std::uint32_t>(grant.validFor.count()));
    out.set_sequence(grant.sequence);
}

std::optional<demand_report> decode(const wire::demand_report& in)
{
    const auto team = team_id::parse(in.team());
    if (!team || !validRate(in.tokens_per_second()))
        return std::nullopt;
    return demand_report { *team, in.tokens_per_second(), in.sequence() };
}

std::optional<team_grant> decode(const wire::team_grant& in)
{
    const auto team = team_id::parse(in.team());
    if (!team || !validRate(in.tokens_per_second()))
        return std::nullopt;
    return team_grant { *team, in.tokens_per_second(), std::chrono::milliseconds(in.valid_for_ms()), in.sequence() };
}

} // namespace oriolepick
