/// \file
/// Allocator settings of the C library for a process with many short-lived buffers.
#pragma once

namespace oriolepick {

/// Makes the allocator return large buffers to the system as soon as they are freed. By default its mmap threshold
/// grows once a few large buffers have been freed; later ones come from the heap, and the largest buffer of each
/// connection leaves a hole there. Call this before any other code allocates.
void applyHeapSettings();

} // namespace oriolepick
