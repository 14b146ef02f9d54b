/// \file
/// Capacity recommendation for operators: the number of workers per model, computed from measured demand. It is never
/// applied automatically; operators decide whether to submit a ticket.
#pragma once

#include "core/names.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oriolepick {

/// Measured demand for one model, over a period that covers its peaks.
struct model_demand {
    model_id model;
    double tokensPerSecond = 0; ///< output tokens, both delivered and refused
    double tokensPerWorker = 0; ///< measured output tokens per second of one fully loaded worker; 0 if unknown
    std::uint32_t workers = 0; ///< workers that serve the model now
};

/// Settings of adviseCapacity().
struct advisor_settings {
    double utilization = 0.7; ///< target utilization; the rest covers the loss of one zone of four
    std::uint32_t minimumWorkers = 2; ///< per model with demand, so that one worker remains after a crash
    /// Workers are released only below this utilization; otherwise every fluctuation would cause models to be swapped.
    double scaleDownUtilization = 0.4;
};

/// Recommendation for one model.
struct capacity_advice {
    model_id model;
    std::uint32_t workers = 0; ///< current workers
    std::uint32_t suggested = 0; ///< recommended workers
    double utilization = 0; ///< utilization of the current workers; above 1 if demand exceeds their capacity
    std::string reason;
};

/// Computes a recommendation for each model.
/// \param demands one entry per model
/// \param spareWorkers workers without a model
/// \return one entry per model in the order of \p demands; the sum of the suggestions never exceeds the workers that
///     exist. Additional workers go to the models with the highest utilization first.
std::vector<capacity_advice> adviseCapacity(
    const std::vector<model_demand>& demands, std::uint32_t spareWorkers, const advisor_settings& settings = {});

} // namespace oriolepick
