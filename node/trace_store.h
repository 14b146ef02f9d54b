/// \file
/// Recent changes of state of requests, by request key, so that a request can be followed across nodes.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace oriolepick {

/// Bounded store of trace lines. Thread-safe.
class trace_store {
public:
    /// \param capacity requests that are remembered; the oldest is forgotten first
    explicit trace_store(std::size_t capacity);

    /// Adds a line to a request's trace.
    void record(const request_key& key, wall_time at, const std::string& line);

    /// \param key text form of a request key
    /// \return the lines in order, each with its time
    std::vector<std::string> lines(const std::string& key) const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<std::string>> m_lines;
    std::deque<std::string> m_order;
};

} // namespace oriolepick
