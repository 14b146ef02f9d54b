/// \file
/// Order of the contents of a replicated table.
#pragma once

#include "core/store_version.h"

#include <cstdint>
#include <tuple>

namespace oriolepick {

/// Orders the contents of a table. A version that the writer of the rows assigned precedes the revision of the store,
/// because a restored store may return an older content at a later revision.
struct content_revision {
    std::uint64_t version = 0; ///< assigned by the writer of the rows; 0 for tables without such versions
    store_version stored; ///< revision of the store at the last change

    friend bool operator==(const content_revision& left, const content_revision& right)
    {
        return std::tie(left.version, left.stored) == std::tie(right.version, right.stored);
    }
    friend bool operator<(const content_revision& left, const content_revision& right)
    {
        return std::tie(left.version, left.stored) < std::tie(right.version, right.stored);
    }
    friend bool operator!=(const content_revision& left, const content_revision& right) { return !(left == right); }
    friend bool operator>(const content_revision& left, const content_revision& right) { return right < left; }
    friend bool operator<=(const content_revision& left, const content_revision& right) { return !(right < left); }
    friend bool operator>=(const content_revision& left, const content_revision& right) { return !(left < right); }
};

} // namespace oriolepick
