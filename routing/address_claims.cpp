#include "routing/address_claims.h"

#include <algorithm>

namespace oriolepick {

void address_claims::add(const std::string& address, const target_name& target)
{
    auto& state = m_addresses[address];
    if (state.owner != target && std::find(state.others.begin(), state.others.end(), target) == state.others.end())
        state.others.push_back(target);
}

void address_claims::remove(const std::string& address, const target_name& target)
{
    const auto found = m_addresses.find(address);
    if (found == m_addresses.end())
        return;
    auto& state = found->second;
    if (state.owner == target)
        state.owner.reset();
    state.others.erase(std::remove(state.others.begin(), state.others.end(), target), state.others.end());
    if (!state.owner && state.others.empty())
        m_addresses.erase(found);
}

void address_claims::setOwner(const std::string& address, const target_name& target)
{
    auto& state = m_addresses[address];
    if (state.owner == target)
        return;
    state.others.erase(std::remove(state.others.begin(), state.others.end(), target), state.others.end());
    if (state.owner)
        state.others.push_back(*state.owner);
    state.owner = target;
}

const target_name* address_claims::ownerOf(const std::string& address) const
{
    const auto found = m_addresses.find(address);
    return found != m_addresses.end() && found->second.owner ? &*found->second.owner : nullptr;
}

std::vector<target_name> address_claims::othersOf(const std::string& address) const
{
    const auto found = m_addresses.find(address);
    return found == m_addresses.end() ? std::vector<target_name> {} : found->second.others;
}

bool address_claims::isContested(const std::string& address) const
{
    const auto found = m_addresses.find(address);
    return found != m_addresses.end() && found->second.others.size() + (found->second.owner ? 1 : 0) > 1;
}

} // namespace oriolepick
