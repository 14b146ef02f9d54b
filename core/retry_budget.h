/// \file
/// Budget for retries as a share of successes, so that failures cannot multiply the load on the survivors.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/resume_admission.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>

namespace oriolepick {

class resume_pacer;
class seeded_random;

/// Values of a retry budget.
struct retry_budget_settings {
    double retriesPerSuccess = 0.2; ///< retries earned by each success
    double minRetriesPerSecond = 1; ///< retries earned without any success
    double teamLimit = 200; ///< most retries saved up by a team: its streams in one zone of a busy node
    double groupLimit = 200; ///< the same for a target group
    double nodeLimit = 400; ///< the same for the node
    double hedgeReserve = 0.5; ///< share of each limit that hedges leave to broken streams
    std::chrono::milliseconds jitter { 40 }; ///< retries are spread over this time; small against the 1 s goal
};

/// Retries saved up under one key.
class retry_account {
public:
    /// \param limit most retries saved up; the account starts full
    retry_account(double limit, double minRetriesPerSecond, instant now);

    /// \return the retries available at \p now
    double balance(instant now) const;
    double limit() const { return m_limit; }
    void deposit(double retries, instant now);
    void take(instant now);

private:
    double m_limit;
    double m_floorPerSecond;
    double m_balance;
    instant m_updatedAt;
};

/// Retry budget per team, per target group and per node. Not synchronized: one per event loop, or guarded.
class retry_budget : public resume_admission {
public:
    /// \param pacer delays resumes after the loss of a zone, may be null, outlives this object
    /// \param random jitter source, outlives this object
    retry_budget(const retry_budget_settings& settings, resume_pacer* pacer, seeded_random& random, instant now);

    std::optional<instant> admit(const resume_request& request, instant now) override;
    void recordSuccess(const team_id& team, const std::string& targetGroup, instant now) override;

    /// \return how many attempts were denied
    std::uint64_t denied() const { return m_denied; }

private:
    retry_account& accountOf(const team_id& team, instant now);
    retry_account& accountOf(const std::string& targetGroup, instant now);

    retry_budget_settings m_settings;
    resume_pacer* m_pacer;
    seeded_random& m_random;
    retry_account m_node;
    absl::flat_hash_map<team_id, retry_account> m_teams;
    absl::flat_hash_map<std::string, retry_account> m_groups;
    std::uint64_t m_denied = 0;
};

} // namespace oriolepick
