#include "gateway/heap_settings.h"

#include <malloc.h>

namespace oriolepick {

namespace {

    /// Bytes from which a buffer gets pages of its own; common requests and answers stay below.
    constexpr int OwnPagesFrom = 65'536;

} // namespace

void applyHeapSettings()
{
    mallopt(M_MMAP_THRESHOLD, OwnPagesFrom);
}

} // namespace oriolepick
