#include "core/order_planner.h"

#include <algorithm>

namespace oriolepick {

namespace {

    bool hasLoaded(const planned_target& target, const model_ref& model)
    {
        return std::find(target.loaded.begin(), target.loaded.end(), model) != target.loaded.end();
    }

    const model_ref* surplusModel(const planned_target& target)
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

    /// Leaving targets and those without a deployment are no capacity: counting them as out of service would block
    /// every change while they exist.
    bool countsAsCapacity(const planned_target& target)
    {
        return target.wanted && !target.leaving;
    }

    bool roleDiffers(const planned_target& target)
    {
        return target.wanted && target.role != target.wantedRole;
    }

    bool isReconciled(const planned_target& target)
    {
        if (target.leaving)
            return target.draining;
        if (!target.wanted)
            return target.loaded.empty();
        return hasLoaded(target, *target.wanted) && !surplusModel(target) && !roleDiffers(target) && !target.draining;
    }

    /// \return the next step of one target, or nothing when it is settled or has to finish its work first
    std::optional<target_order> nextStep(const planned_target& target)
    {
        target_order order;
        order.target = target.target;
        if (target.leaving) {
            order.kind = order_kind::Drain;
            return target.draining ? std::nullopt : std::optional(order);
        }
        if (isReconciled(target) || target.loading)
            return std::nullopt;
        const auto* unwanted = surplusModel(target);
        const bool missing = target.wanted && !hasLoaded(target, *target.wanted);
        if (!unwanted && !missing && !roleDiffers(target)) {
            order.kind = order_kind::Undrain;
            return order;
        }
        if (!target.draining && !target.loaded.empty()) {
            order.kind = order_kind::Drain;
            return order;
        }
        if (target.runningRequests)
            return std::nullopt; // its streams end first
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

    /// Zones change one after another, in the order of their names: their lease holders plan independently, and two
    /// zones that start at the same time would together exceed the share.
    bool earlierZoneIsChanging(const std::vector<planned_target>& targets, const availability_zone& zone)
    {
        return std::any_of(targets.begin(), targets.end(), [&](const planned_target& target) {
            return target.zone < zone && target.reachable && !target.leaving && !isReconciled(target);
        });
    }

} // namespace

order_planner::order_planner(order_planner_settings settings)
    : m_settings(settings)
{
}

std::vector<target_order> order_planner::plan(instant now, const std::vector<planned_target>& targets,
    const availability_zone& zone, double maxUnavailableShare, const lease_authority& authority)
{
    double totalCapacity = 0;
    double unavailableCapacity = 0;
    for (const auto& target : targets) {
        if (!countsAsCapacity(target))
            continue;
        totalCapacity += target.capacity;
        unavailableCapacity += inService(target) && !hasRecentDrainOrder(now, target.target) ? 0 : target.capacity;
    }
    const bool blockedByZone = earlierZoneIsChanging(targets, zone);
    std::vector<target_order> orders;
    for (const auto& target : targets) {
        if (target.zone != zone || !target.reachable)
            continue;
        auto order = nextStep(target);
        if (!order) {
            if (isReconciled(target))
                m_issued.erase(target.target);
            continue;
        }
        order->fencing = authority.fencing;
        order->ticket = authority.ticket;
        const bool reducesCapacity = order->kind == order_kind::Drain && countsAsCapacity(target) && inService(target)
            && !hasRecentDrainOrder(now, target.target);
        if (reducesCapacity
            && (blockedByZone
                || (unavailableCapacity > 0
                    && unavailableCapacity + target.capacity > maxUnavailableShare * totalCapacity)))
            continue;
        if (reducesCapacity)
            unavailableCapacity += target.capacity;
        if (!mayReissue(now, *order) || (order->kind == order_kind::Load && !consumeLoadToken(now)))
            continue;
        m_issued.insert_or_assign(target.target, issued_order { order->kind, order->model, order->ticket, now });
        orders.push_back(std::move(*order));
    }
    return orders;
}

/// A drain counts from its order on, because the report that shows it comes later; but not for ever, because the order
/// may be lost and this node may not hold the target's lease any more.
bool order_planner::hasRecentDrainOrder(instant now, const target_id& target) const
{
    const auto found = m_issued.find(target);
    return found != m_issued.end() && found->second.kind == order_kind::Drain
        && now < found->second.at + m_settings.assumeDrainedFor;
}

bool order_planner::mayReissue(instant now, const target_order& order) const
{
    const auto found = m_issued.find(order.target);
    if (found == m_issued.end())
        return true;
    const auto& last = found->second;
    if (last.kind != order.kind || last.model != order.model)
        return true;
    return now
        >= last.at + (order.kind == order_kind::Load ? m_settings.loadReissueInterval : m_settings.reissueInterval);
}

bool order_planner::consumeLoadToken(instant now)
{
    if (m_tokensRefilledAt == instant {})
        m_tokensRefilledAt = now;
    const double minutes = std::chrono::duration<double, std::ratio<60>>(now - m_tokensRefilledAt).count();
    m_loadTokens = std::min(1.0, m_loadTokens + minutes * m_loadsPerMinute);
    m_tokensRefilledAt = now;
    if (m_loadTokens < 1)
        return false;
    m_loadTokens -= 1;
    return true;
}

} // namespace oriolepick
