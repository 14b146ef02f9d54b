/// \file
/// Read-only suggestion for operators: which model on how many workers, from the measured demand. Nothing acts on it;
/// operators turn it into a ticket or not.
#pragma once

#include "core/names.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oriolepick {

/// Demand for one model in a period that covers its peaks.
struct model_demand {
    model_id model;
    double tokensPerSecond = 0; ///< delivered and refused output tokens
    double tokensPerWorker = 0; ///< output tokens per second of one full worker, measured; 0 when unknown
    std::uint32_t workers = 0; ///< that serve the model now
};

/// Settings of capacity_advisor.
struct advisor_settings {
    double utilization = 0.7; ///< wanted; the rest covers the loss of one zone of four
    std::uint32_t minimumWorkers = 2; ///< per model with demand, so that one crash leaves a target
    double scaleDownUtilization
        = 0.4; ///< workers are released only below this, or models would swap at every fluctuation
};

/// Advice for one model.
struct capacity_advice {
    model_id model;
    std::uint32_t workers = 0; ///< now
    std::uint32_t suggested = 0;
    double utilization = 0; ///< of the current workers, above 1 when demand exceeds them
    std::string reason;
};

/// \param demands one entry per model
/// \param spareWorkers workers without a model
/// \return one entry per model in the order of \p demands; the sum of the suggestions never exceeds the workers that
///         exist. Models with the highest utilization are served first.
std::vector<capacity_advice> adviseCapacity(
    const std::vector<model_demand>& demands, std::uint32_t spareWorkers, const advisor_settings& settings = {});

} // namespace oriolepick
