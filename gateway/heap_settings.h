/// \file
/// Settings of the C library's heap for a process with many short-lived buffers.
#pragma once

namespace oriolepick {

/// Makes large buffers go back to the system as soon as they are freed. By default the heap keeps them once it has seen
/// a few, and each connection's largest buffer leaves a hole. Call it first.
void applyHeapSettings();

} // namespace oriolepick
