/// \file
/// Words for the parts of a generation in traces and metric labels.
#pragma once

#include "core/generation_actions.h"

namespace oriolepick {

/// \return for example "continue"
const char* toString(attempt_purpose purpose);

/// \return for example "false_suspicion"
const char* toString(generation_counter counter);

} // namespace oriolepick
