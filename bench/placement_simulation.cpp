#include "bench/placement_simulation.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    constexpr microseconds Transit { 1'000 }; ///< one way between node and target
    constexpr int CallerTries = 3; ///< A refused caller comes back twice, after the time it was told.

} // namespace

placement_simulation::sim_node::sim_node(
    const node_id& id, const availability_zone& zone, const simulation_settings& settings, seeded_random source)
    : view(id, zone, region_name("region"), settings.view)
    , queue(settings.queue, seeded_random(source.next()))
    , limit(settings.concurrency)
    , random(source.next())
{
}

placement_simulation::placement_simulation(const trace_profile& profile, simulation_settings settings)
    : m_profile(profile)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_model(model_ref { model_id(fleet_name(profile.name), "main"), model_version("1"), adapter_name() })
    , m_service(service_id(fleet_name(profile.name), "desk"))
{
    addEngines();
    addNodes();
}

void placement_simulation::addEngines()
{
    for (int number = 0; number < m_profile.engines + m_profile.services; ++number) {
        auto speed = m_settings.speed;
        if (number >= m_profile.engines) {
            speed.stepPerSequence = microseconds(0);
            speed.batch = 8;
        }
        const target_id target(fleet_name(m_profile.name), "worker-" + std::to_string(number));
        m_engineOf[target] = m_engines.size();
        m_engines.push_back({ target, placement_fake_engine(speed), 0, 0, false });
    }
}

void placement_simulation::addNodes()
{
    for (int number = 0; number < m_profile.nodes; ++number) {
        const availability_zone zone("zone-" + std::to_string(number % m_profile.zones));
        auto node = std::make_unique<sim_node>(
            node_id("node-" + std::to_string(number)), zone, m_settings, seeded_random(m_random.next()));
        node->strategy = makePlacementStrategy(m_settings.strategy, m_settings.limits, m_settings.costs);
        for (std::size_t index = 0; index < m_engines.size(); ++index) {
            target_profile profile;
            profile.target = m_engines[index].target;
            profile.zone
                = availability_zone("zone-" + std::to_string(index % static_cast<std::size_t>(m_profile.zones)));
            profile.region = region_name("region");
            if (index < static_cast<std::size_t>(m_profile.engines))
                profile.model = std::get<model_ref>(m_model);
            else
                profile.service = std::get<service_id>(m_service);
            profile.batchLimit = m_engines[index].engine.load().batch;
            profile.cacheBlocks = m_settings.speed.cacheBlocks;
            node->view.setTarget(profile);
        }
        m_nodes.push_back(std::move(node));
    }
    updateCapacity();
}

run_log placement_simulation::run(const std::vector<traced_request>& trace)
{
    m_trace = &trace;
    m_flights.resize(trace.size());
    m_log.requests.resize(trace.size());
    for (std::size_t index = 0; index < trace.size(); ++index) {
        auto& record = m_log.requests[index];
        record.arrival = std::chrono::duration<double>(trace[index].at).count();
        record.team = trace[index].team;
        record.priority = trace[index].priority;
        record.service = trace[index].service;
        record.outputTokens = trace[index].outputTokens;
        at(instant(trace[index].at), [this, index] { offer(index); });
    }
    // Streams that outlast the trace are not followed to their end.
    const instant end = instant(trace.back().at) + std::chrono::seconds(5);
    while (!m_events.empty() && m_events.top().at < end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    for (std::size_t index = 0; index < static_cast<std::size_t>(m_profile.engines); ++index)
        m_log.meanRunning.push_back(m_engines[index].engine.meanRunning());
    return std::move(m_log);
}

void placement_simulation::at(instant time, std::function<void()> run)
{
    m_events.push({ time, ++m_order, std::move(run) });
}

void placement_simulation::offer(std::size_t index)
{
    const auto& request = (*m_trace)[index];
    auto& flight = m_flights[index];
    flight.node = m_random.below(m_nodes.size()); // the platform's load balancer
    flight.offered = m_now;
    ++flight.tries;
    auto& node = *m_nodes[flight.node];
    if (request.service) {
        if (!place(flight.node, index))
            refuse(index, { 0, {}, error_kind::Overloaded, milliseconds(500) });
        return;
    }
    const team_id team(fleet_name(m_profile.name), std::to_string(request.team));
    const auto outcome
        = node.queue.offer({ { team, std::to_string(index) }, request.priority,
                               request.promptTokens / 10 + request.outputTokens, m_now + deadlineOf(request.priority) },
            m_now);
    if (outcome.number)
        node.queued[outcome.number] = index;
    for (const auto& refusal : outcome.refused) {
        refuse(refusal.number ? node.queued.at(refusal.number) : index, refusal);
        node.queued.erase(refusal.number);
    }
    pump(flight.node);
}

void placement_simulation::refuse(std::size_t index, const queue_refusal& refusal)
{
    ++m_log.refusals[indexOf((*m_trace)[index].priority)];
    if (m_flights[index].tries >= CallerTries) {
        m_log.requests[index].refused = true;
        return;
    }
    at(m_now + refusal.retryAfter, [this, index] { offer(index); });
}

void placement_simulation::pump(std::size_t nodeIndex)
{
    auto& node = *m_nodes[nodeIndex];
    node.limit.update(m_now);
    while (node.limit.admits(request_priority::Urgent)) {
        auto lowest = request_priority::Urgent;
        if (node.limit.admits(request_priority::Bulk))
            lowest = request_priority::Bulk;
        else if (node.limit.admits(request_priority::Normal))
            lowest = request_priority::Normal;
        auto taken = node.queue.take(m_now, lowest);
        for (const auto& refusal : taken.refused) {
            refuse(node.queued.at(refusal.number), refusal);
            node.queued.erase(refusal.number);
        }
        if (!taken.request)
            break;
        if (!place(nodeIndex, node.queued.at(taken.number))) {
            node.queue.requeue(taken);
            break;
        }
        node.queued.erase(taken.number);
    }
    if (node.queue.size())
        pumpLater(nodeIndex);
}

void placement_simulation::pumpLater(std::size_t nodeIndex)
{
    if (m_nodes[nodeIndex]->pumpScheduled)
        return;
    m_nodes[nodeIndex]->pumpScheduled = true;
    at(m_now + milliseconds(50), [this, nodeIndex] {
        m_nodes[nodeIndex]->pumpScheduled = false;
        pump(nodeIndex);
    });
}

bool placement_simulation::place(std::size_t nodeIndex, std::size_t index)
{
    auto& node = *m_nodes[nodeIndex];
    const auto& request = (*m_trace)[index];
    placement_query query;
    query.work = request.service ? m_service : m_model;
    query.prefixBlocks = request.blocks;
    query.prefixTokens = request.promptTokens + m_flights[index].delivered;
    query.priority = request.priority;
    query.latencyWeight = m_profile.latencyWeight;
    const auto decision
        = node.strategy->choose(query, node.view.candidates(query.work, query.prefixBlocks, m_now), node.random);
    const auto* choice = std::get_if<target_choice>(&decision);
    if (!choice)
        return false;
    auto& flight = m_flights[index];
    flight.engine = m_engineOf.at(choice->target);
    flight.uncached = query.prefixTokens - choice->cachedTokens;
    flight.dispatched = m_now;
    node.view.recordDispatch(choice->target, request.blocks, flight.uncached, m_now);
    if (!request.service)
        node.limit.recordDispatch();
    at(m_now + Transit, [this, index] {
        const auto& sent = (*m_trace)[index];
        const auto& flown = m_flights[index];
        if (m_engines[flown.engine].down) {
            if (!sent.service)
                m_nodes[flown.node]->limit.recordFinished();
            offer(index);
            return;
        }
        const auto left = sent.outputTokens - std::min(flown.delivered, sent.outputTokens - 1);
        m_engines[flown.engine].engine.submit(
            { index, sent.blocks, sent.promptTokens + flown.delivered, left, sent.priority });
        sendReport(flown.node, flown.engine, flown.dispatched);
        step(flown.engine);
    });
    return true;
}

void placement_simulation::step(std::size_t engineIndex)
{
    auto& engine = m_engines[engineIndex].engine;
    if (engine.busy() || engine.idle())
        return;
    std::vector<admitted_request> admitted;
    const auto duration = engine.beginStep(admitted);
    for (const auto& request : admitted)
        countPrompt(request.id, request.cachedTokens);
    const auto incarnation = m_engines[engineIndex].incarnation;
    at(m_now + duration, [this, engineIndex, incarnation] { finishStep(engineIndex, incarnation); });
}

void placement_simulation::loseZone(int zone, instant from, instant until)
{
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        if (static_cast<int>(index % static_cast<std::size_t>(m_profile.zones)) != zone)
            continue;
        at(from, [this, index] { crash(index); });
        at(until, [this, index] { restart(index); });
    }
}

void placement_simulation::crash(std::size_t engineIndex)
{
    auto& engine = m_engines[engineIndex];
    engine.down = true;
    ++engine.incarnation;
    for (auto& node : m_nodes) {
        node->view.recordRestart(engine.target);
        node->view.setEjected(engine.target, true); // connections are refused at once
    }
    updateCapacity();
    for (const auto& [index, produced] : engine.engine.crash()) {
        auto& flight = m_flights[index];
        if (!(*m_trace)[index].service) {
            m_nodes[flight.node]->limit.recordFinished();
            ++m_log.lostStreams;
            flight.lostAt = flight.lostAt ? flight.lostAt : m_now;
        }
        flight.delivered += produced;
        flight.started = false;
        flight.tries = 0;
        at(m_now + Transit, [this, lost = index] { offer(lost); });
    }
}

void placement_simulation::restart(std::size_t engineIndex)
{
    m_engines[engineIndex].down = false;
    for (auto& node : m_nodes) {
        node->view.recordRestart(m_engines[engineIndex].target);
        node->view.setEjected(m_engines[engineIndex].target, false);
    }
    updateCapacity();
}

void placement_simulation::updateCapacity()
{
    std::uint32_t up = 0;
    for (std::size_t index = 0; index < static_cast<std::size_t>(m_profile.engines); ++index)
        up += m_engines[index].down ? 0 : 1;
    for (auto& node : m_nodes)
        node->limit.setCapacity(up, up * m_settings.speed.batch / static_cast<std::uint32_t>(m_profile.nodes));
}

void placement_simulation::finishStep(std::size_t engineIndex, std::uint32_t incarnation)
{
    if (m_engines[engineIndex].incarnation != incarnation)
        return;
    const auto result = m_engines[engineIndex].engine.endStep();
    const auto tokens = result.decoded + static_cast<std::uint32_t>(result.firstTokens.size());
    if (engineIndex < static_cast<std::size_t>(m_profile.engines)) {
        m_log.deliveredTokens += tokens;
        m_log.deliveries.emplace_back(seconds(m_now), tokens);
        if (result.decoded)
            m_log.gaps.emplace_back(std::chrono::duration<float>(result.duration).count(), result.decoded);
    }
    sendEvents(engineIndex, result);
    for (const auto index : result.firstTokens)
        firstToken(index);
    for (const auto index : result.finished)
        finished(index);
    step(engineIndex);
}

void placement_simulation::firstToken(std::size_t index)
{
    auto& flight = m_flights[index];
    auto& node = *m_nodes[flight.node];
    flight.started = true;
    if (flight.lostAt) {
        m_log.resumes.push_back(std::chrono::duration<double>(m_now - *flight.lostAt).count());
        flight.lostAt.reset();
    }
    if (m_log.requests[index].firstToken < 0) {
        m_log.requests[index].queued = std::chrono::duration<double>(flight.dispatched - flight.offered).count();
        m_log.requests[index].waited = std::chrono::duration<double>(m_now + Transit - flight.offered).count();
    }
    m_log.requests[index].firstToken = seconds(m_now);
    node.view.recordFirstToken(m_engines[flight.engine].target, flight.uncached);
    if ((*m_trace)[index].service)
        return;
    const auto expected
        = milliseconds(static_cast<int>(flight.uncached * 1000.0 / m_settings.costs.prefillTokensPerSecond));
    const auto latency = std::chrono::duration_cast<milliseconds>(m_now - flight.dispatched) - expected;
    node.limit.recordLatency(std::max(latency, milliseconds(0)), m_now);
}

void placement_simulation::finished(std::size_t index)
{
    auto& flight = m_flights[index];
    auto& node = *m_nodes[flight.node];
    node.view.recordFinished(m_engines[flight.engine].target, flight.uncached, flight.started, m_now);
    sendReport(flight.node, flight.engine, m_now);
    if ((*m_trace)[index].service)
        return;
    node.limit.recordFinished();
    pump(flight.node);
}

void placement_simulation::sendReport(std::size_t nodeIndex, std::size_t engineIndex, instant reflectsUntil)
{
    const auto report = m_engines[engineIndex].engine.load();
    at(m_now + m_settings.newsDelay, [this, nodeIndex, engineIndex, report, reflectsUntil] {
        m_nodes[nodeIndex]->view.recordReport(m_engines[engineIndex].target, report, reflectsUntil);
    });
}

void placement_simulation::sendEvents(std::size_t engineIndex, const engine_step& result)
{
    if (result.added.empty() && result.evicted.empty())
        return;
    const auto sequence = ++m_engines[engineIndex].sequence;
    const auto blocks
        = std::make_shared<std::pair<std::vector<block_hash>, std::vector<block_hash>>>(result.added, result.evicted);
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (m_random.unit() < m_settings.eventLoss)
            continue;
        at(m_now + m_settings.newsDelay, [this, node, engineIndex, sequence, blocks] {
            m_nodes[node]->view.recordCacheEvent(
                m_engines[engineIndex].target, sequence, blocks->first, blocks->second);
        });
    }
}

void placement_simulation::countPrompt(std::size_t index, std::uint32_t cached)
{
    const auto& request = (*m_trace)[index];
    if (request.service)
        return;
    m_log.promptTokens += request.promptTokens;
    m_log.cachedTokens += cached;
    for (std::size_t block = 0; block < request.blocks.size(); ++block) {
        const bool isNew = m_computed.insert(request.blocks[block]).second;
        if (!isNew && block * m_settings.speed.blockTokens >= cached)
            m_log.repeatedTokens += m_settings.speed.blockTokens;
    }
}

} // namespace oriolepick
