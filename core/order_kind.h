/// \file
/// Kinds of orders to engines.
#pragma once

namespace oriolepick {

/// What an order asks an engine to do.
enum class order_kind { Load, Unload, Role, Drain, Undrain };

} // namespace oriolepick
