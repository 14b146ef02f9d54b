/// \file
/// Continuous batching of an emulated engine.
#pragma once

#include "core/instant.h"
#include "standins/engine_settings.h"
#include "standins/prompt_cache.h"
#include "targets/engine_load.h"

#include <absl/container/flat_hash_map.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace oriolepick {

class emulated_attempt;
class engine_faults;

/// Answer to the submission of an attempt.
enum class submit_outcome { Accepted, QueueFull, Exists };

/// Prompt tokens of an attempt and how many the cache had.
struct prefill_report {
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
};

/// Runs attempts step by step on a thread of its own. Thread-safe.
class emulated_batch {
public:
    /// \param faults outlives this object
    /// \param crash called once, on the batch's thread, when a prompt contains the setting's crash text
    emulated_batch(const engine_settings& settings, engine_faults& faults, std::function<void()> crash);
    ~emulated_batch();
    emulated_batch(const emulated_batch&) = delete;
    emulated_batch& operator=(const emulated_batch&) = delete;

    submit_outcome submit(const std::shared_ptr<emulated_attempt>& attempt);

    /// \return the attempt with the identifier \p id, or null
    std::shared_ptr<emulated_attempt> find(const std::string& id) const;

    /// \return whether there was such an attempt
    bool cancel(const std::string& id);

    /// Cancels all attempts and ends the thread.
    void stop();

    /// \return the load as of the last report, which lags by the setting
    engine_load reportedLoad();

    /// \return the load now
    engine_load currentLoad() const;

    prefill_report prefillOf(const std::string& id) const;
    cache_events cacheEventsAfter(std::uint64_t after) const;
    std::uint32_t attempts() const; ///< known attempts, including complete ones that can be attached to
    std::uint64_t computedTokens() const; ///< output tokens computed since the start

private:
    struct entry {
        std::shared_ptr<emulated_attempt> attempt;
        prefill_report prefill;
        std::uint32_t prefillLeft = 0;
    };

    void run();
    void admit();
    instant planStep(instant previous);
    void step();
    std::uint32_t prefill(entry& running, std::uint32_t budget);
    void sweep(instant now);
    engine_load loadLocked() const;

    const engine_settings m_settings;
    engine_faults& m_faults;
    const std::function<void()> m_crash;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    prompt_cache m_cache;
    absl::flat_hash_map<std::string, std::shared_ptr<entry>> m_entries; ///< by attempt identifier
    std::deque<std::shared_ptr<entry>> m_waiting; ///< by priority, then arrival
    std::vector<std::shared_ptr<entry>> m_running;
    std::uint32_t m_stepPrefill = 0; ///< prompt tokens that the step under way computes
    std::uint64_t m_computed = 0;
    engine_load m_reported;
    instant m_reportedAt;
    std::thread m_thread;
};

} // namespace oriolepick
