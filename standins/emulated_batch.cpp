#include "standins/emulated_batch.h"

#include "standins/emulated_attempt.h"
#include "standins/engine_faults.h"
#include "targets/prompt_blocks.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    using clock = std::chrono::steady_clock;

    // How often attempts without a reader and the end of a pause are looked for when nothing runs.
    constexpr std::chrono::milliseconds IdlePeriod { 20 };

} // namespace

emulated_batch::emulated_batch(const engine_settings& settings, engine_faults& faults, std::function<void()> crash)
    : m_settings(settings)
    , m_faults(faults)
    , m_crash(std::move(crash))
    , m_cache(settings.kvTokens / PromptBlockTokens,
          { settings.cacheEventDelay, settings.cacheEventLossPercent, settings.seed })
    , m_thread([this] { run(); })
{
}

emulated_batch::~emulated_batch()
{
    stop();
}

submit_outcome emulated_batch::submit(const std::shared_ptr<emulated_attempt>& attempt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto& request = attempt->request();
    if (m_entries.contains(request.id.text()))
        return submit_outcome::Exists;
    if (m_stopping || (m_waiting.size() >= m_settings.maxQueue && m_running.size() >= m_settings.batch))
        return submit_outcome::QueueFull;
    auto added = std::make_shared<entry>();
    added->attempt = attempt;
    m_entries.emplace(request.id.text(), added);
    const auto place = std::find_if(m_waiting.begin(), m_waiting.end(),
        [&](const auto& other) { return other->attempt->request().priority < request.priority; });
    m_waiting.insert(place, std::move(added));
    m_wake.notify_all();
    return submit_outcome::Accepted;
}

std::shared_ptr<emulated_attempt> emulated_batch::find(const std::string& id) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : found->second->attempt;
}

bool emulated_batch::cancel(const std::string& id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    found->second->attempt->cancel();
    m_entries.erase(found);
    return true;
}

void emulated_batch::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        for (const auto& [id, known] : m_entries)
            known->attempt->cancel();
    }
    m_wake.notify_all();
    if (m_thread.joinable() && m_thread.get_id() != std::this_thread::get_id())
        m_thread.join();
}

engine_load emulated_batch::reportedLoad()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = clock::now();
    if (now - m_reportedAt >= m_settings.loadReportLag) {
        m_reported = loadLocked();
        m_reportedAt = now;
    }
    return m_reported;
}

engine_load emulated_batch::currentLoad() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return loadLocked();
}

prefill_report emulated_batch::prefillOf(const std::string& id) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? prefill_report {} : found->second->prefill;
}

cache_events emulated_batch::cacheEventsAfter(std::uint64_t after) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_cache.eventsAfter(after, clock::now());
}

std::uint32_t emulated_batch::attempts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::uint32_t>(m_entries.size());
}

std::uint64_t emulated_batch::computedTokens() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_computed;
}

void emulated_batch::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    instant stepEnd = clock::now();
    while (!m_stopping) {
        sweep(clock::now());
        admit();
        if (m_running.empty() || m_faults.paused()) {
            m_wake.wait_for(lock, IdlePeriod);
            stepEnd = clock::now();
            continue;
        }
        stepEnd = planStep(stepEnd);
        m_wake.wait_until(lock, stepEnd, [this] { return m_stopping; });
        if (!m_stopping && !m_faults.paused())
            step();
    }
}

void emulated_batch::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_settings.batch) {
        auto next = std::move(m_waiting.front());
        m_waiting.pop_front();
        const auto& request = next->attempt->request();
        const auto cached = m_cache.use(promptBlocks(request.model, request.prompt));
        next->prefill.promptTokens = promptTokens(request.prompt);
        next->prefill.cachedTokens = static_cast<std::uint32_t>(cached) * PromptBlockTokens;
        next->prefillLeft = next->prefill.promptTokens - next->prefill.cachedTokens
            + static_cast<std::uint32_t>(request.prefix.size());
        m_running.push_back(std::move(next));
    }
}

instant emulated_batch::planStep(instant previous)
{
    m_stepPrefill = 0;
    for (const auto& running : m_running)
        m_stepPrefill = std::min(m_settings.prefillChunk, m_stepPrefill + running->prefillLeft);
    const auto duration = m_settings.stepBase + m_settings.stepPerAttempt * static_cast<int>(m_running.size())
        + m_settings.prefillPerToken * static_cast<int>(m_stepPrefill);
    const std::chrono::duration<double, std::micro> slowed = duration * m_faults.slowFactor();
    // From the end of the step before, so that the time that this emulator itself needs does not add up.
    const auto end = previous + std::chrono::duration_cast<clock::duration>(slowed);
    return std::max(end, clock::now());
}

void emulated_batch::step()
{
    std::uint32_t budget = m_stepPrefill;
    for (const auto& running : m_running) {
        if (running->prefillLeft) {
            budget -= prefill(*running, budget);
            if (running->prefillLeft || m_stopping)
                continue;
        }
        if (!running->attempt->cancelled() && !running->attempt->complete()) {
            if (m_settings.tokenObserver)
                m_settings.tokenObserver(running->attempt->request(), running->attempt->computed());
            running->attempt->computeToken();
            ++m_computed;
        }
    }
    const auto ended = [](const std::shared_ptr<entry>& running) {
        return running->attempt->cancelled() || (!running->prefillLeft && running->attempt->complete());
    };
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(), ended), m_running.end());
}

std::uint32_t emulated_batch::prefill(entry& running, std::uint32_t budget)
{
    const std::uint32_t share = std::min(budget, running.prefillLeft);
    running.prefillLeft -= share;
    if (running.prefillLeft)
        return share;
    const auto& request = running.attempt->request();
    if (!m_settings.crashOn.empty() && request.prompt.find(m_settings.crashOn) != std::string::npos) {
        m_stopping = true;
        m_crash();
        for (const auto& [id, known] : m_entries)
            known->attempt->cancel();
        return share;
    }
    m_cache.store(promptBlocks(request.model, request.prompt), clock::now());
    return share;
}

void emulated_batch::sweep(instant now)
{
    for (auto known = m_entries.begin(); known != m_entries.end();) {
        const auto current = known++;
        if (!current->second->attempt->unreadFor(m_settings.attachableFor, now))
            continue;
        current->second->attempt->cancel();
        m_entries.erase(current);
    }
    const auto cancelled = [](const std::shared_ptr<entry>& waiting) { return waiting->attempt->cancelled(); };
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), cancelled), m_waiting.end());
}

engine_load emulated_batch::loadLocked() const
{
    std::uint64_t held = 0;
    for (const auto& running : m_running)
        held += running->prefill.promptTokens + running->attempt->computed();
    engine_load load;
    load.running = static_cast<std::uint32_t>(m_running.size());
    load.waiting = static_cast<std::uint32_t>(m_waiting.size());
    load.batch = m_settings.batch;
    load.kvFree = m_settings.kvTokens - std::min(m_settings.kvTokens, held);
    return load;
}

} // namespace oriolepick
