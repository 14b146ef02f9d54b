#include "routing/place_messages.h"

#include "core/stable_hash.h"

namespace oriolepick {

target_hash hashOf(const target_name& target)
{
    return stableHash(target.value());
}

} // namespace oriolepick
