/// \file
/// The use of a target by one request, which ends with this object at the latest.
#pragma once

#include "routing/place_client.h"

#include <cstdint>
#include <utility>

namespace oriolepick {

class place_allocation;

/// Reports the end of the use to the allocators, so that no path of a request leaves a place occupied.
class held_place {
public:
    /// Holds nothing.
    held_place() = default;
    /// \param owner must outlive this object
    held_place(place_allocation& owner, std::uint64_t number, target_name target)
        : m_owner(&owner)
        , m_number(number)
        , m_target(std::move(target))
    {
    }
    ~held_place() { end(place_end::Completed); }

    held_place(held_place&& other) noexcept
        : m_owner(std::exchange(other.m_owner, nullptr))
        , m_number(other.m_number)
        , m_target(std::move(other.m_target))
    {
    }
    held_place& operator=(held_place&& other) noexcept;
    held_place(const held_place&) = delete;
    held_place& operator=(const held_place&) = delete;

    /// \return whether a use of \p target is held
    bool isAt(const target_name& target) const { return m_owner && m_target == target; }

    /// Records that the engine has read the prompt.
    void recordPromptRead();

    /// Records the memory in tokens that the run takes at the engine.
    void recordTokens(std::uint64_t heldTokens);

    /// \return whether a use is held
    bool isHeld() const { return m_owner != nullptr; }

    /// \return the target of the use
    const target_name& target() const { return m_target; }

    /// Ends the use, if any is held.
    void end(place_end how);

private:
    place_allocation* m_owner = nullptr;
    std::uint64_t m_number = 0;
    target_name m_target;
};

} // namespace oriolepick
