/// \file
/// Port to the platform's object store.
#pragma once

#include "core/error.h"

#include <chrono>
#include <optional>
#include <string>

namespace oriolepick {

/// The object store as this system uses it. Implementations are thread-safe.
class object_store {
public:
    virtual ~object_store() = default;

    /// Writes or replaces one object.
    virtual result<void> put(const std::string& name, const std::string& bytes, std::chrono::milliseconds timeout) = 0;

    /// \return the object, or nothing when it is absent
    virtual result<std::optional<std::string>> get(
        const std::string& name, std::chrono::milliseconds timeout) const = 0;

    /// Removes one object; removing an absent object succeeds.
    virtual result<void> remove(const std::string& name, std::chrono::milliseconds timeout) = 0;
};

} // namespace oriolepick
