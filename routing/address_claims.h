/// \file
/// Which of several targets that register with one address may be reached there.
#pragma once

#include "core/names.h"
#include "routing/routing_names.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// Holds the claims of registered targets on their addresses. An address has at most one owner: one process listens
/// there, and a request to any other target of that address would reach the owner.
class address_claims {
public:
    /// Adds the claim of \p target on \p address, which does not make it the owner.
    void add(const std::string& address, const target_name& target);

    /// Withdraws the claim of \p target, if any. If it owned \p address, the address has no owner.
    void remove(const std::string& address, const target_name& target);

    /// Makes \p target the owner of \p address. The owner until then still claims it.
    void setOwner(const std::string& address, const target_name& target);

    /// \return the owner of \p address, or null
    const target_name* ownerOf(const std::string& address) const;

    /// \return the targets that claim \p address without owning it
    std::vector<target_name> othersOf(const std::string& address) const;

    /// \return whether several targets claim \p address. Then each renewal of one of them is news to all nodes: a node
    /// that learned of the claims in another order may have another owner
    bool isContested(const std::string& address) const;

private:
    struct address_state {
        std::optional<target_name> owner;
        std::vector<target_name> others;
    };

    absl::flat_hash_map<std::string, address_state> m_addresses;
};

} // namespace oriolepick
