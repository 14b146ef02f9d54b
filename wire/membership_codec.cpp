#include "wire/membership_codec.h"

#include "wire/messages.pb.h"

namespace oriolepick {

namespace {

    constexpr std::size_t MaximumNameBytes = 128;

    void encodeUpdate(const member_update& update, wire::member_update& out)
    {
        out.set_node(update.node.value());
        out.set_incarnation(update.incarnation);
        out.set_state(static_cast<std::uint32_t>(update.state));
        out.set_zone(update.zone.value());
        out.set_region(update.region.value());
    }

    bool validName(const std::string& name)
    {
        return !name.empty() && name.size() <= MaximumNameBytes;
    }

    std::optional<member_update> decodeUpdate(const wire::member_update& in)
    {
        if (!validName(in.node()) || !validName(in.zone()) || !validName(in.region())
            || in.state() > static_cast<std::uint32_t>(member_state::Dead))
            return std::nullopt;
        member_update update;
        update.node = node_id(in.node());
        update.zone = availability_zone(in.zone());
        update.region = region_name(in.region());
        update.state = static_cast<member_state>(in.state());
        update.incarnation = in.incarnation();
        return update;
    }

    struct body_encoder {
        wire::membership& out;

        void operator()(const ping_message& body) const { out.mutable_ping()->set_sequence(body.sequence); }
        void operator()(const ack_message& body) const
        {
            out.mutable_ack()->set_sequence(body.sequence);
            out.mutable_ack()->set_subject(body.subject.value());
        }
        void operator()(const ping_request_message& body) const
        {
            out.mutable_ping_request()->set_sequence(body.sequence);
            out.mutable_ping_request()->set_subject(body.subject.value());
        }
        void operator()(const sync_request_message& body) const
        {
            out.mutable_sync_request()->set_after(body.after.value());
        }
        void operator()(const sync_page_message& body) const
        {
            out.mutable_sync_page()->set_last(body.last.value());
            out.mutable_sync_page()->set_more(body.more);
        }
    };

    std::optional<membership_body> decodeBody(const wire::membership& in)
    {
        switch (in.body_case()) {
        case wire::membership::kPing:
            return ping_message { in.ping().sequence() };
        case wire::membership::kAck:
            return ack_message { in.ack().sequence(), node_id(in.ack().subject()) };
        case wire::membership::kPingRequest:
            return ping_request_message { in.ping_request().sequence(), node_id(in.ping_request().subject()) };
        case wire::membership::kSyncRequest:
            return sync_request_message { node_id(in.sync_request().after()) };
        case wire::membership::kSyncPage:
            return sync_page_message { node_id(in.sync_page().last()), in.sync_page().more() };
        case wire::membership::BODY_NOT_SET:
            break;
        }
        return std::nullopt;
    }

} // namespace

void encode(const membership_message& message, wire::membership& out)
{
    encodeUpdate(message.sender, *out.mutable_sender());
    for (const auto& update : message.updates)
        encodeUpdate(update, *out.add_updates());
    std::visit(body_encoder { out }, message.body);
}

std::optional<membership_message> decode(const wire::membership& in)
{
    const auto sender = decodeUpdate(in.sender());
    auto body = decodeBody(in);
    if (!sender || !body || static_cast<std::size_t>(in.updates_size()) > maxUpdates(*body))
        return std::nullopt;
    membership_message message { *sender, std::move(*body), {} };
    for (const auto& encoded : in.updates()) {
        const auto update = decodeUpdate(encoded);
        if (!update)
            return std::nullopt;
        message.updates.push_back(*update);
    }
    return message;
}

} // namespace oriolepick
