#include "wire/ticket_codec.h"

#include "wire/messages.pb.h"

namespace oriolepick {

namespace {

    constexpr int MaximumTickets = 10000;

} // namespace

void encode(const ticket_batch& batch, wire::ticket_batch& out)
{
    out.set_snapshot_number(batch.snapshotNumber);
    out.set_snapshot(batch.snapshot);
    out.set_first(batch.first);
    for (const auto& text : batch.tickets)
        out.add_tickets(text);
    out.set_head_number(batch.headNumber);
    out.set_epoch(batch.epoch);
}

std::optional<ticket_batch> decode(const wire::ticket_batch& in)
{
    if (in.tickets_size() > MaximumTickets || !in.first() || (in.snapshot_number() && in.snapshot().empty()))
        return std::nullopt;
    ticket_batch batch;
    batch.snapshotNumber = in.snapshot_number();
    batch.snapshot = in.snapshot();
    batch.first = in.first();
    batch.tickets.assign(in.tickets().begin(), in.tickets().end());
    batch.headNumber = in.head_number();
    batch.epoch = in.epoch();
    return batch;
}

} // namespace oriolepick
