/// \file
/// Which targets are leaving, by whichever source says so first.
#pragma once

#include "core/names.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>

namespace oriolepick {

/// Who can say that a target is leaving.
enum class leaving_source { Ticket, InstanceList, TargetReport };

/// Keeps each source's latest statement. A target gets no new work while any source says that it is leaving.
class leaving_targets {
public:
    void set(const target_id& target, leaving_source source, bool leaving)
    {
        m_statements[target].at(static_cast<std::size_t>(source)) = leaving;
    }
    void forget(const target_id& target) { m_statements.erase(target); }

    bool isLeaving(const target_id& target) const
    {
        const auto found = m_statements.find(target);
        if (found == m_statements.end())
            return false;
        for (const bool leaving : found->second) {
            if (leaving)
                return true;
        }
        return false;
    }

private:
    absl::flat_hash_map<target_id, std::array<bool, 3>> m_statements;
};

} // namespace oriolepick
