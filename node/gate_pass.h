/// \file
/// The right to run one generation, given back on destruction.
#pragma once

#include "core/names.h"

#include <chrono>

namespace oriolepick {

class generation_gate;

class gate_pass {
public:
    gate_pass(generation_gate& gate, deployment_id deployment);
    ~gate_pass();
    gate_pass(const gate_pass&) = delete;
    gate_pass& operator=(const gate_pass&) = delete;

    /// \param latency time from dispatch to first token
    void recordFirstToken(std::chrono::milliseconds latency);

private:
    generation_gate& m_gate;
    deployment_id m_deployment;
};

} // namespace oriolepick
