/// \file
/// Error type, and the result type of operations that can fail.
#pragma once

#include "core/error_kind.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>

#include <chrono>
#include <string>

namespace oriolepick {

/// An error that a caller or operator can act on.
struct error {
    error_kind kind = error_kind::Internal;
    std::string message; ///< names the field or object and the problem with its value
    std::chrono::milliseconds retryAfter { 0 }; ///< minimum delay before a retry, 0 if unspecified
};

/// A value or an error. Accessing the one that is not present terminates the process.
template <typename T>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// \return a successful result<void>
inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace oriolepick
