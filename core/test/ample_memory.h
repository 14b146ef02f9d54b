/// \file
/// A memory budget for tests of other things.
#pragma once

#include "core/memory_budget.h"

namespace oriolepick {

/// \return a budget that no test uses up
inline memory_budget& ampleMemory()
{
    static memory_budget budget(std::size_t { 1 } << 30, 16'384);
    return budget;
}

} // namespace oriolepick
