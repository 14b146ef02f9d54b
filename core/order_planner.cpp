#include "core/order_planner.h"

#include <algorithm>

namespace oriolepick {

namespace {

    bool hasLoaded(const planned_target& target, const model_ref& model)
    {
        return std::find(target.loaded.begin(), target.loaded.end(), model) != target.loaded.end();
    }

    const model_ref* unwantedModel(const planned_target& target)
    {
        for (const auto& model : target.loaded) {
            if (!target.wanted || model != *target.wanted)
                return &model;
        }
        return nullptr;
    }

    bool inService(const planned_target& target)
    {
        return target.reachable && !target.draining && !target.leaving && !target.loaded.empty();
    }

    /// Leaving targets and targets without a deployment do not count as capacity. If they counted as unavailable, they
    /// would block every change while they exist.
    bool isCapacity(const planned_target& target)
    {
        return target.wanted && !target.leaving;
    }

    bool roleDiffers(const planned_target& target)
    {
        return target.wanted && target.role != target.wantedRole;
    }

    bool settled(const planned_target& target)
    {
        if (target.leaving)
            return target.draining;
        if (!target.wanted)
            return target.loaded.empty();
        return hasLoaded(target, *target.wanted) && !unwantedModel(target) && !roleDiffers(target) && !target.draining;
    }

    /// \return the next order for one target, or nothing if the target is reconciled or has work to finish first
    std::optional<target_order> nextStep(const planned_target& target)
    {
        target_order order;
        order.target = target.target;
        if (target.leaving) {
            order.kind = order_kind::Drain;
            return target.draining ? std::nullopt : std::optional(order);
        }
        if (settled(target) || target.loading)
            return std::nullopt;
        const auto* unwanted = unwantedModel(target);
        const bool missing = target.wanted && !hasLoaded(target, *target.wanted);
        if (!unwanted && !missing && !roleDiffers(target)) {
            order.kind = order_kind::Undrain;
            return order;
        }
        if (!target.draining && !target.loaded.empty()) {
            order.kind = order_kind::Drain;
            return order;
        }
        if (target.running)
            return std::nullopt; // requests in progress must finish first
        if (unwanted) {
            order.kind = order_kind::Unload;
            order.model = *unwanted;
        } else if (missing) {
            order.kind = order_kind::Load;
            order.model = *target.wanted;
        } else {
            order.kind = order_kind::Role;
            order.role = target.wantedRole;
        }
        return order;
    }

    /// Zones change one after another, in the order of their names. Each zone has its own lease holder, which plans
    /// independently; two zones that change at the same time could together exceed the maximum unavailable share.
    bool earlierZoneChanges(const std::vector<planned_target>& targets, const availability_zone& zone)
    {
        return std::any_of(targets.begin(), targets.end(), [&](const planned_target& target) {
            return target.zone < zone && target.reachable && !target.leaving && !settled(target);
        });
    }

} // namespace

order_planner::order_planner(order_planner_settings settings)
    : m_settings(settings)
{
}

std::vector<target_order> order_planner::plan(instant now, const std::vector<planned_target>& targets,
    const availability_zone& zone, double changeShare, const order_authority& authority)
{
    double total = 0;
    double out = 0;
    for (const auto& target : targets) {
        if (!isCapacity(target))
            continue;
        total += target.capacity;
        out += inService(target) && !drainGiven(now, target.target) ? 0 : target.capacity;
    }
    const bool waitsForZone = earlierZoneChanges(targets, zone);
    std::vector<target_order> orders;
    for (const auto& target : targets) {
        if (target.zone != zone || !target.reachable)
            continue;
        auto order = nextStep(target);
        if (!order) {
            if (settled(target))
                m_given.erase(target.target);
            continue;
        }
        order->fencing = authority.fencing;
        order->ticket = authority.ticket;
        const bool takesOut = order->kind == order_kind::Drain && isCapacity(target) && inService(target)
            && !drainGiven(now, target.target);
        if (takesOut && (waitsForZone || (out > 0 && out + target.capacity > changeShare * total)))
            continue;
        if (takesOut)
            out += target.capacity;
        if (!mayRepeat(now, *order) || (order->kind == order_kind::Load && !takeLoadToken(now)))
            continue;
        m_given.insert_or_assign(target.target, given_order { order->kind, order->model, order->ticket, now });
        orders.push_back(std::move(*order));
    }
    return orders;
}

/// A target counts as draining from the time of its drain order, because its report follows later. The time is limited,
/// because the order may be lost and this node may have lost the target's lease.
bool order_planner::drainGiven(instant now, const target_id& target) const
{
    const auto found = m_given.find(target);
    return found != m_given.end() && found->second.kind == order_kind::Drain
        && now < found->second.at + m_settings.countDrainFor;
}

bool order_planner::mayRepeat(instant now, const target_order& order) const
{
    const auto found = m_given.find(order.target);
    if (found == m_given.end())
        return true;
    const auto& last = found->second;
    if (last.kind != order.kind || last.model != order.model)
        return true;
    return now >= last.at + (order.kind == order_kind::Load ? m_settings.repeatLoadAfter : m_settings.repeatAfter);
}

bool order_planner::takeLoadToken(instant now)
{
    if (m_tokensAt == instant {})
        m_tokensAt = now;
    const double minutes = std::chrono::duration<double, std::ratio<60>>(now - m_tokensAt).count();
    m_loadTokens = std::min(1.0, m_loadTokens + minutes * m_loadsPerMinute);
    m_tokensAt = now;
    if (m_loadTokens < 1)
        return false;
    m_loadTokens -= 1;
    return true;
}

} // namespace oriolepick
