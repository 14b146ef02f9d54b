/// \file
/// Revisions for tests in which the store is not restored and rows have no versions.
#pragma once

#include "routing/content_revision.h"

namespace oriolepick {

/// \return the revision of the store with \p number
inline store_version storedAt(std::uint64_t number)
{
    return { 1, number };
}

/// \return the revision of a table that was last changed at \p number
inline content_revision changedAt(std::uint64_t number)
{
    return { 0, storedAt(number) };
}

} // namespace oriolepick
