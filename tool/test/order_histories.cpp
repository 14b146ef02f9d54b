// Guards that every target ends with what the accepted tickets want, over random histories of lease holders that are
// paused between planning and sending, nodes with an older state, lost table answers and orders that arrive late; and
// that one fencing number never serves two holders.
#include "core/fleet_state.h"
#include "core/lease_manager.h"
#include "core/order_planner.h"
#include "standins/fake_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

const fleet_name One("one");
const std::vector<std::string> Zones { "a", "b" };
constexpr unsigned NodeCount = 3;
constexpr unsigned TargetCount = 6;

struct running_target {
    planned_target report; ///< without what is wanted
    bool checksFencing = false;
    std::uint64_t highestFencing = 0;
};

class order_world {
public:
    order_world()
    {
        ticket first { 1, "op", "", {} };
        for (unsigned index = 0; index < TargetCount; ++index) {
            running_target target;
            target.report.target = target_id(One, "w" + std::to_string(index));
            target.report.zone = availability_zone(Zones[index % Zones.size()]);
            target.report.reachable = true;
            target.report.role = "mixed";
            target.checksFencing = index % 3 == 0;
            m_targets.push_back(target);
            target_settings settings;
            settings.zone = target.report.zone;
            first.objects.push_back({ { object_kind::Target, One, target.report.target.name() }, settings });
        }
        first.objects.push_back(deployment("1", TargetCount));
        m_states.push_back(fleet_state().after({ first }));
        for (unsigned node = 0; node < NodeCount; ++node) {
            m_nodes.push_back({ order_planner({}), {}, 0 });
            m_nodes.back().planner.setLoadsPerMinute(10'000);
            for (const auto& zone : Zones)
                m_nodes.back().leases.emplace(zone, lease_manager("one/d/" + zone, "n" + std::to_string(node), {}));
        }
    }

    void run(unsigned kind, unsigned first, unsigned second)
    {
        m_now += milliseconds(100);
        switch (kind) {
        case 0:
            return file(first, second);
        case 1:
            m_now += milliseconds(second * 10);
            return;
        case 2:
            return arrive(first);
        case 3:
            m_table.releaseHeld();
            return;
        case 4:
            m_nodes[first % NodeCount].known = m_states.size() - 1;
            return;
        default:
            work(first % NodeCount, second);
        }
    }

    void healAndRequireWanted()
    {
        while (m_table.releaseHeld()) { }
        while (!m_late.empty())
            arrive(0);
        for (auto& node : m_nodes)
            node.known = m_states.size() - 1;
        for (int round = 0; round < 600 && !allAsWanted(); ++round) {
            m_now += milliseconds(2000);
            for (unsigned node = 0; node < NodeCount; ++node) {
                work(node, Healthy);
                work(node, Healthy);
            }
        }
        RC_ASSERT(allAsWanted());
    }

private:
    static constexpr unsigned Healthy = 7;

    struct ordering_node {
        order_planner planner;
        std::map<std::string, lease_manager> leases;
        std::size_t known; ///< index of the state that this node has in force
    };
    struct late_order {
        target_order order;
        unsigned node;
    };

    static ticket_object deployment(const std::string& version, unsigned targets)
    {
        deployment_settings settings;
        settings.model = model_id(One, "m");
        settings.version = model_version(version);
        settings.maxUnavailableShare = 0.4;
        for (unsigned index = 0; index < targets; ++index)
            settings.targets.emplace_back(One, "w" + std::to_string(index));
        return { { object_kind::Deployment, One, "d" }, settings };
    }

    void file(unsigned first, unsigned second)
    {
        const auto& last = m_states.back();
        const target_id id(One, "w" + std::to_string(first % TargetCount));
        auto settings = *last->target(id);
        settings.role = second % 2 ? "mixed" : "decode";
        settings.leaving = second % 5 == 0;
        m_states.push_back(last->after({ { last->number() + 1, "op", "",
            { deployment(std::to_string(1 + second % 3), 1 + (first / 7) % TargetCount),
                { { object_kind::Target, One, id.name() }, settings } } } }));
    }

    planned_target planned(const running_target& target, const fleet_state& state) const
    {
        auto view = target.report;
        const auto wanted = *state.desired(view.target);
        view.wanted = wanted.model;
        view.wantedRole = wanted.role;
        view.leaving = wanted.leaving;
        return view;
    }

    bool allAsWanted() const
    {
        return std::all_of(m_targets.begin(), m_targets.end(), [&](const running_target& target) {
            const auto view = planned(target, *m_states.back());
            if (view.leaving)
                return view.draining;
            if (!view.wanted)
                return view.loaded.empty();
            return view.loaded == std::vector<model_ref> { *view.wanted } && view.role == view.wantedRole
                && !view.draining;
        });
    }

    void work(unsigned index, unsigned fault)
    {
        auto& node = m_nodes[index];
        platform_faults faults;
        faults.down = fault % 7 == 1;
        faults.loseResponses = fault % 7 == 3 ? 1 : 0;
        faults.delayBefore = milliseconds(fault % 7 == 4 ? 1 : 0);
        for (auto& [zone, lease] : node.leases) {
            m_table.setFaults(faults);
            if (const auto action = lease.wake(m_now)) {
                if (const auto* read = std::get_if<lease_manager::read_row>(&*action))
                    lease.rowRead(m_now, m_table.read(read->key, milliseconds(1)), m_table.epoch());
                else
                    lease.committed(m_now,
                        m_table.commit(std::get<lease_manager::commit_rows>(*action).transaction, milliseconds(1)));
            }
            m_table.setFaults({});
            const auto fencing = lease.fencing(m_now);
            if (!fencing)
                continue;
            const auto [user, added] = m_fencingUser.emplace(std::pair(zone, *fencing), index);
            RC_ASSERT(user->second == index);
            std::vector<planned_target> view;
            for (const auto& target : m_targets)
                view.push_back(planned(target, *m_states[node.known]));
            for (const auto& order : node.planner.plan(
                     m_now, view, availability_zone(zone), 0.4, { *fencing, m_states[node.known]->number() })) {
                if (fault % 7 == 2)
                    m_late.push_back({ order, index }); // the holder is paused before it sends
                else
                    execute(order);
            }
        }
    }

    void arrive(unsigned chosen)
    {
        if (m_late.empty())
            return;
        const auto place = m_late.begin() + static_cast<std::ptrdiff_t>(chosen % m_late.size());
        const auto order = place->order;
        m_late.erase(place);
        execute(order);
    }

    void execute(const target_order& order)
    {
        const auto found = std::find_if(m_targets.begin(), m_targets.end(),
            [&](const running_target& target) { return target.report.target == order.target; });
        if (found->checksFencing && order.fencing < found->highestFencing)
            return;
        found->highestFencing = std::max(found->highestFencing, order.fencing);
        auto& report = found->report;
        const auto model = std::find(report.loaded.begin(), report.loaded.end(), order.model);
        if (order.kind == order_kind::Drain || order.kind == order_kind::Undrain)
            report.draining = order.kind == order_kind::Drain;
        else if (order.kind == order_kind::Role)
            report.role = order.role;
        else if (order.kind == order_kind::Load && model == report.loaded.end())
            report.loaded.push_back(order.model);
        else if (order.kind == order_kind::Unload && model != report.loaded.end())
            report.loaded.erase(model);
    }

    instant m_now { std::chrono::hours(1) };
    fake_table m_table;
    std::vector<std::shared_ptr<const fleet_state>> m_states;
    std::vector<running_target> m_targets;
    std::vector<ordering_node> m_nodes;
    std::vector<late_order> m_late;
    std::map<std::pair<std::string, std::uint64_t>, unsigned> m_fencingUser;
};

} // namespace

TEST(order_histories, targets_end_as_the_tickets_want)
{
    EXPECT_TRUE(rc::check("random histories", [] {
        using step = std::tuple<unsigned, unsigned, unsigned>;
        const auto steps = *rc::gen::scale(3.0,
            rc::gen::container<std::vector<step>>(rc::gen::tuple(rc::gen::resize(100, rc::gen::inRange(0u, 10u)),
                rc::gen::resize(100, rc::gen::inRange(0u, 997u)), rc::gen::resize(100, rc::gen::inRange(0u, 997u)))));
        order_world world;
        for (const auto& [kind, first, second] : steps)
            world.run(kind, first, second);
        world.healAndRequireWanted();
    }));
}
