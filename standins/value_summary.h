/// \file
/// Percentiles of measured values.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace oriolepick {

/// Collects durations and gives percentiles in milliseconds. Not thread-safe.
class value_summary {
public:
    void add(std::chrono::nanoseconds value) { m_values.push_back(value); }
    void add(const value_summary& other);

    /// \param share between 0 and 1
    /// \return the value that this share of the values does not exceed, in milliseconds, 0 for no values
    double percentile(double share) const;

    std::size_t count() const { return m_values.size(); }

private:
    mutable std::vector<std::chrono::nanoseconds> m_values;
};

} // namespace oriolepick
