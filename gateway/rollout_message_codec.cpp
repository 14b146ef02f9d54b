#include "gateway/rollout_message_codec.h"

#include "wire/messages.pb.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::size_t MaxNameBytes = 256;
    /// Larger than the requests of any fleet in years, and small enough that the sum over all nodes does not overflow.
    constexpr std::uint64_t MaxCount = 1'000'000'000'000;

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= MaxNameBytes;
    }

    void encodeReport(const rollout_report& report, wire::rollout_report& out)
    {
        out.set_service(report.service.value());
        out.set_order(report.order);
        out.set_node_start(report.nodeStart);
        out.set_sequence(report.sequence);
        out.set_requests(report.requests);
        out.set_old_in_flight(report.oldInFlight);
        out.set_shifting(report.shifting);
        for (const auto& cell : report.cells) {
            auto& added = *out.add_cells();
            added.set_route(cell.route);
            added.set_target(cell.target);
            added.set_responses(cell.counts.responses);
            added.set_failures(cell.counts.failures);
            for (const auto count : cell.counts.latencies)
                added.add_latencies(count);
        }
    }

    std::optional<rollout_cell> decodeCell(const wire::rollout_cell& in)
    {
        if (in.route() >= MaxRolloutRoutes || in.responses() > MaxCount || in.failures() > in.responses()
            || static_cast<std::size_t>(in.latencies_size()) != LatencyBuckets)
            return std::nullopt;
        rollout_cell cell;
        cell.route = static_cast<std::uint8_t>(in.route());
        cell.target = in.target();
        cell.counts.responses = in.responses();
        cell.counts.failures = in.failures();
        std::uint64_t timed = 0;
        for (std::size_t index = 0; index < LatencyBuckets; ++index) {
            const auto count = in.latencies(static_cast<int>(index));
            if (count > in.responses())
                return std::nullopt;
            timed += count;
            cell.counts.latencies[index] = count;
        }
        return timed <= in.responses() ? std::optional(cell) : std::nullopt;
    }

    std::optional<rollout_message> decodeReport(const wire::rollout_report& in)
    {
        if (!isName(in.service()) || static_cast<std::size_t>(in.cells_size()) > MaxRolloutCells
            || in.requests() > MaxCount || in.old_in_flight() > MaxCount)
            return std::nullopt;
        rollout_report report;
        report.service = service_name(in.service());
        report.order = in.order();
        report.nodeStart = in.node_start();
        report.sequence = in.sequence();
        report.requests = in.requests();
        report.oldInFlight = in.old_in_flight();
        report.shifting = in.shifting();
        for (const auto& each : in.cells()) {
            const auto cell = decodeCell(each);
            if (!cell)
                return std::nullopt;
            report.cells.push_back(*cell);
        }
        return report;
    }

    std::optional<rollout_message> decodeState(const wire::rollout_state& in)
    {
        if (!isName(in.service()) || in.phase() > static_cast<std::uint32_t>(rollout_phase::RolledBack)
            || !std::isfinite(in.share()) || in.share() < 0 || in.share() > 1)
            return std::nullopt;
        return rollout_state { service_name(in.service()), in.order(), in.revision(),
            static_cast<rollout_phase>(in.phase()), in.share() };
    }

} // namespace

void encode(const rollout_message& message, wire::rollout& out)
{
    if (const auto* report = std::get_if<rollout_report>(&message)) {
        encodeReport(*report, *out.mutable_report());
    } else if (const auto* state = std::get_if<rollout_state>(&message)) {
        auto& encoded = *out.mutable_state();
        encoded.set_service(state->service.value());
        encoded.set_order(state->order);
        encoded.set_revision(state->revision);
        encoded.set_phase(static_cast<std::uint32_t>(state->phase));
        encoded.set_share(state->share);
    } else if (const auto* request = std::get_if<exposure_request>(&message)) {
        out.mutable_request()->set_service(request->service.value());
        out.mutable_request()->set_order(request->order);
        out.mutable_request()->set_number(request->number);
    } else {
        const auto& answer = std::get<exposure_answer>(message);
        out.mutable_answer()->set_number(answer.number);
        out.mutable_answer()->set_granted(answer.granted);
    }
}

std::optional<rollout_message> decode(const wire::rollout& in)
{
    if (in.has_report())
        return decodeReport(in.report());
    if (in.has_state())
        return decodeState(in.state());
    if (in.has_request()) {
        if (!isName(in.request().service()))
            return std::nullopt;
        return exposure_request { service_name(in.request().service()), in.request().order(), in.request().number() };
    }
    if (in.has_answer())
        return exposure_answer { in.answer().number(), in.answer().granted() };
    return std::nullopt;
}

} // namespace oriolepick
