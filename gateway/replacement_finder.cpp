#include "gateway/replacement_finder.h"

#include "gateway/active_config.h"
#include "gateway/decision_log.h"
#include "gateway/http_client.h"
#include "gateway/request_dialect.h"
#include "routing/route_table.h"
#include "routing/target_tracker.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr int Success = 200;
    constexpr std::uint64_t MaxResponseBytes = 65'536; ///< health pages are short
    /// A health page is queued like a request; an engine at capacity may take this long.
    constexpr std::chrono::milliseconds ResponseTimeout { 500 };
    /// A fraction of the time until the entry of a crashed engine expires.
    constexpr std::chrono::milliseconds RegistryCheckInterval { 500 };

} // namespace

replacement_finder::replacement_finder(boost::asio::io_context& loop, timer_queue& timers,
    const request_dialect& dialect, const active_config& config, target_tracker& tracker,
    std::function<bool()> isRegistryUnavailable, decision_log& log, memory_budget& memory)
    : m_loop(loop)
    , m_memory(memory)
    , m_timers(timers)
    , m_dialect(dialect)
    , m_config(config)
    , m_tracker(tracker)
    , m_isRegistryUnavailable(std::move(isRegistryUnavailable))
    , m_log(log)
{
}

replacement_finder::~replacement_finder()
{
    for (auto& [address, timer] : m_waits)
        m_timers.cancel(timer);
}

bool replacement_finder::isOnlyEngineService(const target_entry& replaced) const
{
    const auto& services = m_config.table()->config().services;
    const auto engines = std::count_if(
        services.begin(), services.end(), [](const auto& service) { return service.second.engine.has_value(); });
    const auto* own = m_config.table()->rulesOf(replaced.service);
    return engines == 1 && own && own->engine;
}

void replacement_finder::find(const target_entry& replaced, std::uint64_t startedAt)
{
    if (!m_config.table() || !isOnlyEngineService(replaced) || m_calls.count(replaced.address))
        return;
    if (!m_isRegistryUnavailable()) {
        findLater(replaced, startedAt);
        return;
    }
    const auto path = m_config.table()->rulesOf(replaced.service)->healthPath;
    auto& call = m_calls[replaced.address];
    call = std::make_shared<http_client>(m_loop, m_timers, replaced.address, MaxResponseBytes, &m_memory);
    call->get(path, ResponseTimeout, [this, replaced, startedAt](const http_client_response& response) {
        const auto finished = m_calls.extract(replaced.address); // released when this callback returns
        onResponse(replaced, startedAt, response);
    });
}

void replacement_finder::findLater(const target_entry& replaced, std::uint64_t startedAt)
{
    const auto [wait, isFirst] = m_waits.try_emplace(replaced.address, 0);
    if (!isFirst)
        return;
    wait->second = m_timers.at(m_timers.now() + RegistryCheckInterval, [this, replaced, startedAt] {
        m_waits.erase(replaced.address);
        const auto* known = m_tracker.find(replaced.name);
        if (known && known->startedAt == replaced.startedAt)
            find(replaced, startedAt);
    });
}

void replacement_finder::onResponse(
    const target_entry& replaced, std::uint64_t startedAt, const http_client_response& response)
{
    const auto name = m_dialect.readReply(response.head).actualTarget;
    const bool usable = response.status == Success && name && *name != replaced.name;
    m_log.write("replacement_asked",
        { { "replaced", replaced.name.value() }, { "address", replaced.address },
            { "found", usable ? name->value() : "" }, { "status", std::to_string(response.status) } });
    if (!usable) {
        m_tracker.recordReplacementUnknown(replaced.name, m_timers.now());
        return;
    }
    auto found = replaced;
    found.name = *name;
    found.startedAt = startedAt;
    found.renewalCount = 0; // older than any renewal, so that an engine that was removed is not restored
    if (!m_tracker.find(found.name))
        m_tracker.put(found, m_timers.now());
}

} // namespace oriolepick
