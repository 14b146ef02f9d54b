#include "tool/node_overview.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace oriolepick {

namespace {

    using nlohmann::json;

    /// Reads fields and keeps the first fault.
    class page_reader {
    public:
        explicit page_reader(std::string path)
            : m_path(std::move(path))
        {
        }

        void read(const json& object, const char* name, std::string& value)
        {
            if (const auto* found = find(object, name, &json::is_string, "a text"))
                value = found->get<std::string>();
        }
        void read(const json& object, const char* name, bool& value)
        {
            if (const auto* found = find(object, name, &json::is_boolean, "true or false"))
                value = found->get<bool>();
        }
        void read(const json& object, const char* name, std::uint64_t& value)
        {
            if (const auto* found = find(object, name, &json::is_number_unsigned, "a count"))
                value = found->get<std::uint64_t>();
        }
        void read(const json& object, const char* name, std::int64_t& value)
        {
            if (const auto* found = find(object, name, &json::is_number_integer, "a whole number"))
                value = found->get<std::int64_t>();
        }
        void read(const json& object, const char* name, std::optional<bool>& value)
        {
            bool known = false;
            if (object.is_object() && object.contains(name)) {
                read(object, name, known);
                value = known;
            }
        }

        /// Calls \p each for the entries of a list that may be absent.
        template <typename Each> void list(const json& object, const char* name, Each each)
        {
            if (const auto* found = find(object, name, &json::is_array, "a list")) {
                for (const auto& entry : *found)
                    each(entry);
            }
        }

        void fail(const std::string& problem)
        {
            if (m_fault.empty())
                m_fault = m_path + problem;
        }
        const std::string& fault() const { return m_fault; }

    private:
        const json* find(const json& object, const char* name, bool (json::*is)() const noexcept, const char* wanted)
        {
            if (!object.is_object()) {
                fail("an entry is not an object");
                return nullptr;
            }
            const auto found = object.find(name);
            if (found == object.end())
                return nullptr;
            if (((*found).*is)())
                return &*found;
            fail(std::string(name) + ": is not " + wanted);
            return nullptr;
        }

        std::string m_path;
        std::string m_fault;
    };

    member_report readMember(page_reader& reader, const json& entry)
    {
        member_report member;
        reader.read(entry, "node", member.peer);
        reader.read(entry, "availability_zone", member.zone);
        reader.read(entry, "region", member.region);
        reader.read(entry, "state", member.state);
        return member;
    }

    target_report readTarget(page_reader& reader, const json& entry)
    {
        target_report target;
        reader.read(entry, "target", target.target);
        reader.read(entry, "zone", target.zone);
        reader.read(entry, "state", target.state);
        reader.read(entry, "reporting", target.reporting);
        return target;
    }

    bool isDeadOrLeft(const std::string& state)
    {
        return state == "dead" || state == "left";
    }

    /// Higher is worse; an unknown state is the worst.
    std::size_t badness(const std::string& state)
    {
        static constexpr std::array<const char*, 5> Order { "alive", "leaving", "suspect", "left", "dead" };
        return static_cast<std::size_t>(std::find(Order.begin(), Order.end(), state) - Order.begin());
    }

    void addMembers(node_overview& overview)
    {
        std::set<std::string> asked;
        for (const auto& node : overview.nodes)
            asked.insert(node.peer);
        std::map<std::string, member_report> others;
        for (const auto& node : overview.nodes) {
            for (const auto& member : node.members) {
                if (asked.count(member.peer))
                    continue;
                const auto [known, added] = others.emplace(member.peer, member);
                if (!added && badness(member.state) > badness(known->second.state))
                    known->second = member;
            }
        }
        for (auto& [peer, member] : others) {
            auto& zone = overview.zones[member.zone];
            zone.region = member.region;
            ++(isDeadOrLeft(member.state) ? zone.gone : zone.known);
            overview.notAsked.push_back(std::move(member));
        }
    }

} // namespace

result<node_report> parseNodeReport(const std::string& address, const std::string& page)
{
    if (page.size() > MaxStatusBytes)
        return error { error_kind::BodyTooLarge,
            "node " + address + ": the status is larger than " + std::to_string(MaxStatusBytes) + " bytes" };
    const auto body = json::parse(page, nullptr, false);
    page_reader reader("node " + address + ": ");
    node_report node;
    node.address = address;
    if (!body.is_object() || !body.contains("node") || !body.contains("ticket"))
        reader.fail("answered no status");
    else {
        reader.read(body, "node", node.name);
        reader.read(body, "availability_zone", node.zone);
        reader.read(body, "region", node.region);
        reader.read(body, "peer", node.peer);
        reader.read(body, "ready", node.ready);
        reader.read(body, "draining", node.draining);
        reader.read(body, "ticket", node.ticket);
        reader.read(body, "open_requests", node.openRequests);
        if (body.contains("requests")) {
            reader.read(body["requests"], "suspected", node.suspected);
            reader.read(body["requests"], "quarantined", node.quarantined);
        }
        reader.list(body, "members", [&](const json& entry) { node.members.push_back(readMember(reader, entry)); });
        reader.list(body, "target_list", [&](const json& entry) { node.targets.push_back(readTarget(reader, entry)); });
        reader.list(body, "leases", [&](const json& entry) {
            if (entry.is_string())
                node.leases.push_back(entry.get<std::string>());
            else
                reader.fail("leases: an entry is not a text");
        });
    }
    if (!reader.fault().empty())
        return error { error_kind::BadRequest, reader.fault() };
    return node;
}

node_overview mergeReports(std::vector<node_report> nodes)
{
    node_overview overview;
    overview.nodes = std::move(nodes);
    bool first = true;
    for (const auto& node : overview.nodes) {
        if (!node.problem.empty())
            continue;
        auto& zone = overview.zones[node.zone];
        zone.region = node.region;
        ++zone.known;
        zone.ready += node.ready && !node.draining ? 1 : 0;
        overview.highestTicket = std::max(overview.highestTicket, node.ticket);
        overview.lowestTicket = first ? node.ticket : std::min(overview.lowestTicket, node.ticket);
        first = false;
        overview.openRequests += node.openRequests;
        for (const auto& target : node.targets) {
            const bool silent = target.reporting && !*target.reporting;
            ++overview.targets[target.target][target.state + (silent ? ", silent" : "")];
            overview.targetZones[target.target] = target.zone;
        }
        for (const auto& lease : node.leases)
            overview.leases[lease].push_back(node.name);
    }
    addMembers(overview);
    return overview;
}

} // namespace oriolepick
