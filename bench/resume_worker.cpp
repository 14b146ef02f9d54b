// Workers of the fake fleet: queueing, prefill, decode steps of a batch, and the prefix cache.
#include "bench/resume_fleet.h"
#include "bench/resume_fleet_parts.h"

#include <algorithm>
#include <cmath>

namespace oriolepick {

namespace {

    constexpr bench_time Hop { 1000 };
    constexpr double ShortHiccup = 0.003; // share of steps that take up to 0.3 s longer
    constexpr double LongHiccup = 0.0002; // share of steps that take up to 1 s longer

} // namespace

double resume_fleet::firstTokenMilliseconds(
    const bench_worker& worker, const trace_request& request, std::uint32_t prefix) const
{
    double tokens = request.ownTokens + prefix;
    if (!worker.caches(request.manual))
        tokens += request.manualTokens;
    for (const auto& run : worker.running)
        tokens += run->prefillLeft;
    for (const auto& run : worker.waiting)
        tokens += run->prefillLeft;
    const double step = m_shape.stepMilliseconds + m_shape.perStreamMilliseconds * m_shape.batch;
    const auto inFront = worker.running.size() + worker.waiting.size();
    const double queued = inFront >= m_shape.batch ? 20 * step * (inFront - m_shape.batch + 1) : 0;
    return tokens * m_shape.prefillMilliseconds + (std::ceil(tokens / m_shape.prefillChunk) + 1) * step + queued;
}

void resume_fleet::whenReachable(std::uint32_t index, const std::function<void()>& work)
{
    const auto& worker = *m_workers[index];
    if (worker.pausedUntil <= m_now) {
        work();
        return;
    }
    at(worker.pausedUntil, [this, index, work, incarnation = worker.incarnation] {
        if (m_workers[index]->incarnation == incarnation)
            whenReachable(index, work);
    });
}

void resume_fleet::startRun(std::uint32_t index, std::uint32_t stream, const start_attempt& action)
{
    auto& worker = *m_workers[index];
    const auto& request = m_trace.requests[stream];
    if (worker.waiting.size() >= m_shape.queueLimit) {
        post(
            stream, attempt_rejected { action.attempt, reject_reason::QueueFull, std::chrono::milliseconds(500) }, Hop);
        return;
    }
    auto run = std::make_shared<bench_run>();
    run->stream = stream;
    run->id = action.attempt;
    run->first = run->next = static_cast<std::uint32_t>(action.prefix.size());
    run->length = request.length;
    run->prefillLeft = request.ownTokens + run->first + (worker.caches(request.manual) ? 0 : request.manualTokens);
    run->repeated = std::exchange(m_streams[stream]->started, true);
    worker.runs[action.attempt] = run;
    run->urgent = action.interrupted;
    if (run->urgent)
        worker.waiting.push_front(run);
    else
        worker.waiting.push_back(run);
    post(stream, attempt_accepted { action.attempt }, Hop);
    beginStep(index);
}

double resume_fleet::stepMilliseconds(bench_worker& worker)
{
    double duration = m_shape.stepMilliseconds + m_shape.perStreamMilliseconds * worker.running.size();
    duration *= 0.85 + 0.3 * m_random.unit();
    const double hiccup = m_random.unit();
    if (hiccup < LongHiccup)
        duration += 300 + 700 * m_random.unit();
    else if (hiccup < LongHiccup + ShortHiccup)
        duration += 300 * m_random.unit();
    std::uint32_t chunk = m_shape.prefillChunk;
    std::stable_partition(worker.running.begin(), worker.running.end(), [](const auto& run) { return run->urgent; });
    for (auto& run : worker.running) {
        const auto tokens = std::min(chunk, run->prefillLeft);
        chunk -= tokens;
        run->prefillLeft -= tokens;
        duration += tokens * m_shape.prefillMilliseconds;
        m_figures.repeatedPrefill += run->repeated ? tokens : 0;
    }
    return duration;
}

void resume_fleet::beginStep(std::uint32_t index)
{
    auto& worker = *m_workers[index];
    if (worker.stepping || worker.dead)
        return;
    auto& running = worker.running;
    running.erase(
        std::remove_if(running.begin(), running.end(), [](const auto& run) { return run->cancelled || run->finished; }),
        running.end());
    while (running.size() < m_shape.batch && !worker.waiting.empty()) {
        if (!worker.waiting.front()->cancelled)
            running.push_back(worker.waiting.front());
        worker.waiting.pop_front();
    }
    if (running.empty())
        return;
    worker.stepping = true;
    const bench_time duration(std::llround(stepMilliseconds(worker) * 1000));
    const auto start = std::max(m_now, worker.pausedUntil);
    at(start + duration, [this, index, incarnation = worker.incarnation] { endStep(index, incarnation); });
}

void resume_fleet::endStep(std::uint32_t index, std::uint64_t incarnation)
{
    auto& worker = *m_workers[index];
    if (worker.incarnation != incarnation)
        return;
    if (worker.pausedUntil > m_now) {
        at(worker.pausedUntil, [this, index, incarnation] { endStep(index, incarnation); });
        return;
    }
    worker.stepping = false;
    for (auto& run : worker.running) {
        if (!run->cancelled && run->prefillLeft == 0)
            emitToken(index, *run);
    }
    beginStep(index);
}

void resume_fleet::emitToken(std::uint32_t index, bench_run& run)
{
    auto& worker = *m_workers[index];
    const auto& request = m_trace.requests[run.stream];
    if (run.next == run.first) {
        auto& cached = worker.cached;
        cached.erase(std::remove(cached.begin(), cached.end(), request.manual), cached.end());
        cached.push_back(request.manual);
        if (cached.size() > m_shape.cachedManuals)
            cached.pop_front();
    }
    const auto position = run.next++;
    ++m_figures.computedOutput;
    run.finished = run.next >= run.length;
    if (!run.read)
        return;
    at(m_now + Hop, [this, index, position, stream = run.stream, id = run.id, connection = run.connection] {
        const auto found = m_workers[index]->runs.find(id);
        if (found == m_workers[index]->runs.end() || found->second->connection != connection)
            return;
        auto& node = *m_nodes[m_trace.requests[stream].node];
        const auto& state = *m_streams[stream];
        if (state.machine->currentAttempt() == id && state.lastToken.count() >= 0)
            node.paces.recordGap(m_workers[index]->id, m_now - state.lastToken, now());
        handle(stream, token_arrived { id, position, token { stream * 7919 + position, "" } });
        if (found->second->finished)
            m_workers[index]->runs.erase(id);
    });
}

} // namespace oriolepick
