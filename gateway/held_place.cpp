#include "gateway/held_place.h"

#include "gateway/place_allocation.h"

namespace oriolepick {

held_place& held_place::operator=(held_place&& other) noexcept
{
    if (this == &other)
        return *this;
    end(place_end::Completed);
    m_owner = std::exchange(other.m_owner, nullptr);
    m_number = other.m_number;
    m_target = std::move(other.m_target);
    return *this;
}

void held_place::recordPromptRead()
{
    if (m_owner)
        m_owner->recordPromptRead(m_number);
}

void held_place::recordTokens(std::uint64_t heldTokens)
{
    if (m_owner)
        m_owner->recordTokens(m_number, heldTokens);
}

void held_place::end(place_end how)
{
    if (auto* owner = std::exchange(m_owner, nullptr))
        owner->end(m_number, how);
}

} // namespace oriolepick
