/// \file
/// Makes the node's retry budget with its pacer usable by all request threads.
#pragma once

#include "core/resume_admission.h"
#include "core/resume_pacer.h"
#include "core/retry_budget.h"
#include "core/seeded_random.h"

#include <mutex>

namespace oriolepick {

/// Serialises access to one retry_budget.
class locked_admission final : public resume_admission {
public:
    locked_admission(const retry_budget_settings& settings, std::uint64_t seed, instant now)
        : m_random(seed)
        , m_pacer(resume_pacer_settings {}, now)
        , m_budget(settings, &m_pacer, m_random, now)
    {
    }

    std::optional<instant> admit(const resume_request& request, instant now) override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_budget.admit(request, now);
    }

    void recordSuccess(const team_id& team, const std::string& targetGroup, instant now) override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_budget.recordSuccess(team, targetGroup, now);
    }

private:
    std::mutex m_mutex;
    seeded_random m_random;
    resume_pacer m_pacer;
    retry_budget m_budget;
};

} // namespace oriolepick
