/// \file
/// Loaded models of an emulated engine, and its role, as orders change them.
#pragma once

#include "core/instant.h"
#include "targets/engine_state.h"

#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

struct engine_settings;

/// Answer to an order.
enum class order_outcome {
    Done, ///< in force
    Started, ///< a load that is under way
    StaleFencing,
    NotLoaded, ///< an unload of a model that is not there
};

/// Takes orders. Loads run one after another at the weight rate. An unload takes effect at once for new attempts;
/// those that run keep their weights until they end. Thread-safe.
class engine_models {
public:
    explicit engine_models(const engine_settings& settings);

    order_outcome take(const engine_order& order, instant now);

    /// \param now completes the loads that are due
    bool isLoaded(const model_ref& model, instant now);
    bool draining() const;

    /// \return the state, without the number of attempts
    engine_state state(instant now);

private:
    struct pending_load {
        model_ref model;
        instant ready;
    };

    void completeLoads(instant now);
    order_outcome load(const model_ref& model, instant now);
    order_outcome unload(const model_ref& model);

    const std::chrono::milliseconds m_loadTime;
    const bool m_checksFencing;
    const std::uint64_t m_incarnation; ///< start time of the process
    mutable std::mutex m_mutex;
    std::vector<model_ref> m_loaded;
    std::deque<pending_load> m_loading;
    std::string m_role;
    bool m_draining = false;
    std::uint64_t m_fencing = 0;
};

} // namespace oriolepick
