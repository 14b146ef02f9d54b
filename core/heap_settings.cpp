#include "core/heap_settings.h"

#include <malloc.h>

namespace oriolepick {

namespace {

    /// Size from which a buffer is allocated with mmap(); common requests and responses are smaller.
    constexpr int MmapThresholdBytes = 65'536;

} // namespace

void applyHeapSettings()
{
    mallopt(M_MMAP_THRESHOLD, MmapThresholdBytes);
}

} // namespace oriolepick
