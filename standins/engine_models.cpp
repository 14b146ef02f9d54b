#include "standins/engine_models.h"

#include "standins/engine_settings.h"

#include <algorithm>

namespace oriolepick {

engine_models::engine_models(const engine_settings& settings)
    : m_loadTime(settings.weightBytes * 1000 / std::max<std::uint64_t>(settings.weightBytesPerSecond, 1))
    , m_checksFencing(settings.checksFencing)
    , m_incarnation(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
    , m_loaded(settings.models)
    , m_role(settings.role)
{
}

order_outcome engine_models::take(const engine_order& order, instant now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    completeLoads(now);
    if (m_checksFencing && order.fencing < m_fencing)
        return order_outcome::StaleFencing;
    m_fencing = std::max(m_fencing, order.fencing);
    switch (order.kind) {
    case order_kind::Load:
        return load(order.model, now);
    case order_kind::Unload:
        return unload(order.model);
    case order_kind::Role:
        m_role = order.role;
        break;
    case order_kind::Drain:
        m_draining = true;
        break;
    case order_kind::Undrain:
        m_draining = false;
        break;
    }
    return order_outcome::Done;
}

bool engine_models::isLoaded(const model_ref& model, instant now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    completeLoads(now);
    return std::find(m_loaded.begin(), m_loaded.end(), model) != m_loaded.end();
}

bool engine_models::draining() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_draining;
}

engine_state engine_models::state(instant now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    completeLoads(now);
    engine_state state;
    state.loaded = m_loaded;
    if (!m_loading.empty())
        state.loading = m_loading.front().model;
    state.role = m_role;
    state.draining = m_draining;
    state.fencing = m_fencing;
    state.incarnation = m_incarnation;
    return state;
}

void engine_models::completeLoads(instant now)
{
    while (!m_loading.empty() && m_loading.front().ready <= now) {
        m_loaded.push_back(std::move(m_loading.front().model));
        m_loading.pop_front();
    }
}

order_outcome engine_models::load(const model_ref& model, instant now)
{
    if (std::find(m_loaded.begin(), m_loaded.end(), model) != m_loaded.end())
        return order_outcome::Done;
    for (const auto& pending : m_loading) {
        if (pending.model == model)
            return order_outcome::Started;
    }
    const instant begin = m_loading.empty() ? now : m_loading.back().ready;
    m_loading.push_back({ model, begin + m_loadTime });
    return order_outcome::Started;
}

order_outcome engine_models::unload(const model_ref& model)
{
    const auto isSame = [&](const pending_load& pending) { return pending.model == model; };
    const auto pending = std::remove_if(m_loading.begin(), m_loading.end(), isSame);
    const bool wasLoading = pending != m_loading.end();
    m_loading.erase(pending, m_loading.end());
    const auto found = std::find(m_loaded.begin(), m_loaded.end(), model);
    if (found == m_loaded.end())
        return wasLoading ? order_outcome::Done : order_outcome::NotLoaded;
    m_loaded.erase(found);
    return order_outcome::Done;
}

} // namespace oriolepick
