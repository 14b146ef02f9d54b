/// \file
/// Kinds of control-plane orders to engines.
#pragma once

namespace oriolepick {

/// Operation that an order requests from an engine.
enum class order_kind { Load, Unload, Role, Drain, Undrain };

} // namespace oriolepick
