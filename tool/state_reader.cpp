#include "tool/state_reader.h"

#include "config/snapshot_json.h"
#include "config/state_in_force.h"
#include "tool/command.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace oriolepick {

result<std::shared_ptr<const fleet_state>> readStateAt(const ticket_store& store, std::optional<ticket_number> at)
{
    const auto upTo = at.value_or(std::numeric_limits<ticket_number>::max());
    state_in_force state;
    while (state.get()->number() < upTo) {
        const auto before = state.get()->number();
        auto read = store.readTail(before, upTo);
        if (!read)
            return read.error();
        auto& batch = read.value();
        if (batch.lastNumber() > upTo)
            batch.tickets.resize(upTo >= batch.first ? upTo - batch.first + 1 : 0);
        const auto head = batch.headNumber;
        const auto applied = state.apply(batch);
        if (!applied)
            return applied.error();
        if (applied.value() == before)
            return at ? result<std::shared_ptr<const fleet_state>>(error { error_kind::BadRequest,
                       "ticket " + std::to_string(*at) + " is not accepted; the last is " + std::to_string(head) })
                      : result<std::shared_ptr<const fleet_state>>(state.get());
        if (!at && applied.value() >= head)
            break;
    }
    return state.get();
}

result<std::shared_ptr<const fleet_state>> readNodeState(
    node_reader& nodes, const std::string& address, const std::string& token)
{
    const auto text = nodes.read(address, "in-force", token);
    if (!text)
        return text.error();
    // A node's page names itself and its ticket number; the rest is as in a snapshot.
    auto page = nlohmann::json::parse(text.value(), nullptr, false);
    if (!page.is_object() || !page.contains("ticket") || !page.contains("objects"))
        return error { error_kind::TargetFailed, "node " + address + " answered no state in force" };
    const nlohmann::json snapshot { { "number", page["ticket"] }, { "objects", page["objects"] },
        { "retired", page.value("retired", nlohmann::json::array()) } };
    return parseSnapshot(snapshot.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace oriolepick
