/// \file
/// How often the parts of prompts occurred in runs that began to write their answers.
#pragma once

#include "core/crash_ledger.h"
#include "core/instant.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace oriolepick {

/// Bounds of sound_runs.
struct sound_runs_settings {
    std::chrono::seconds window { 60 }; ///< older runs do not count
    std::size_t maxRuns = 512; ///< runs of about 60 bytes; the oldest is forgotten first
};

/// Remembers the last sound runs of one node. Not synchronized.
class sound_runs {
public:
    explicit sound_runs(const sound_runs_settings& settings);

    /// Records that a run with \p parts began to write its answer.
    void add(const std::vector<request_fingerprint>& parts, instant now);

    /// \return how many of the remembered runs had \p part
    run_share shareOf(request_fingerprint part, instant now);

    /// \return the time of the last remembered run with \p part
    std::optional<instant> lastRunWith(request_fingerprint part) const;

private:
    struct run {
        instant at;
        std::vector<request_fingerprint> parts;
    };
    struct occurrence {
        std::uint32_t runs = 0;
        instant last;
    };

    void forgetOld(instant now);

    sound_runs_settings m_settings;
    std::deque<run> m_runs; // oldest first
    absl::flat_hash_map<request_fingerprint, occurrence> m_occurrences;
};

} // namespace oriolepick
