#include "standins/engine_faults.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>

namespace oriolepick {

namespace {

    using nlohmann::json;

    constexpr std::array<std::string_view, 5> Rejections { "", "queue_full", "draining", "not_loaded", "error" };

    bool isCount(const json& value)
    {
        return value.is_number_unsigned() && value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    }

    bool isRejection(const json& value)
    {
        if (!value.is_string())
            return false;
        for (const auto known : Rejections) {
            if (value.get_ref<const std::string&>() == known)
                return true;
        }
        return false;
    }

    stream_fault faultNamed(const std::string& name)
    {
        if (name == "truncate_after")
            return stream_fault::Truncate;
        if (name == "reset_after")
            return stream_fault::Reset;
        return name == "garbage_after" ? stream_fault::Garbage : stream_fault::None;
    }

    std::string findFault(const json& switches)
    {
        if (!switches.is_object())
            return "body is not a JSON object";
        for (const auto& [name, value] : switches.items()) {
            bool valid = false;
            if (name == "pause")
                valid = value.is_boolean();
            else if (name == "slow_factor")
                valid = value.is_number() && value.get<double>() > 0;
            else if (name == "fault_streams" || faultNamed(name) != stream_fault::None)
                valid = value.is_null() || isCount(value);
            else if (name == "reject")
                valid = isRejection(value);
            else
                return name + " is not a known switch";
            if (!valid)
                return name + " has a value of the wrong kind";
        }
        return {};
    }

} // namespace

std::string engine_faults::apply(std::string_view text)
{
    const json switches = json::parse(text.begin(), text.end(), nullptr, false);
    if (auto fault = findFault(switches); !fault.empty())
        return fault;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, value] : switches.items()) {
        const stream_fault fault = faultNamed(name);
        if (fault != stream_fault::None)
            m_plan = value.is_null() ? stream_fault_plan {} : stream_fault_plan { fault, value.get<std::uint32_t>() };
        else if (name == "pause")
            m_paused = value.get<bool>();
        else if (name == "slow_factor")
            m_slowFactor = value.get<double>();
        else if (name == "reject")
            m_rejection = value.get<std::string>();
        else
            m_streams = value.is_null() ? std::nullopt : std::optional<std::uint32_t>(value.get<std::uint32_t>());
    }
    m_resumed.notify_all();
    return {};
}

void engine_faults::waitWhilePaused()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_resumed.wait(lock, [this] { return !m_paused || m_released; });
}

bool engine_faults::paused() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_paused && !m_released;
}

double engine_faults::slowFactor() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_slowFactor;
}

std::string engine_faults::rejection() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_rejection;
}

stream_fault_plan engine_faults::takeStreamPlan()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_plan.fault == stream_fault::None || !m_streams)
        return m_plan;
    if (!*m_streams)
        return {};
    --*m_streams;
    return m_plan;
}

void engine_faults::release()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_released = true;
    m_resumed.notify_all();
}

} // namespace oriolepick
