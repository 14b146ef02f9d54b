/// \file
/// Compares the runs that service emulators recorded with what callers were told.
#pragma once

#include "standins/caller.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolepick {

/// Runs by key, summed over all emulators that answered.
struct recorded_runs {
    std::map<std::string, std::uint64_t> byKey;
    std::vector<std::string> unreachable; ///< emulators whose record is missing
};

/// Result of the comparison.
struct run_audit {
    std::uint64_t doubled = 0; ///< calls declared not repeatable that ran more than once
    std::uint64_t lost = 0; ///< complete calls that never ran
    std::uint64_t ranAfterNotRun = 0; ///< calls reported as "not run" that ran
    std::uint64_t unknownRan = 0; ///< calls of unknown outcome that ran
    std::uint64_t unknownNotRun = 0; ///< calls of unknown outcome that did not
    std::uint64_t repeated = 0; ///< repeatable calls that ran more than once, which is allowed

    /// Judges one call.
    void judge(caller_outcome outcome, bool repeatable, std::uint64_t runs);
    bool foundFault() const { return doubled || lost || ranAfterNotRun; }
};

/// Reads GET /runs of each emulator.
recorded_runs readRuns(const std::vector<std::string>& services);

/// \return the runs of the caller's \p key; a node may have qualified it as "fleet/team/key"
std::uint64_t runsOf(const recorded_runs& runs, const std::string& key);

} // namespace oriolepick
