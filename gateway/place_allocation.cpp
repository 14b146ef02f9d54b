#include "gateway/place_allocation.h"

#include "gateway/active_config.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "routing/route_table.h"
#include "routing/target_tracker.h"

#include <algorithm>
#include <string>
#include <tuple>

namespace oriolepick {

namespace {

    /// Interval at which the targets are read again: a target with a fault is avoided soon enough because requests that
    /// it fails exclude it by themselves, and its allocator learns of the fault from reports.
    constexpr std::chrono::milliseconds RefreshInterval { 250 };
    /// A plain service with fewer places for each node is allocated: a node alone can't know the load of its targets.
    constexpr double AllocateBelowPlacesPerNode = 1;
    /// The allocation ends only above this number, so that a node more or less does not turn it on and off.
    constexpr double ReleaseAbovePlacesPerNode = 2;

    std::uint64_t startTime()
    {
        const auto start = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(start).count());
    }

    bool isEqual(const place_service& left, const place_service& right)
    {
        const auto isSame = [](const place_target& one, const place_target& other) {
            return std::tie(one.name, one.zone, one.slots, one.available)
                == std::tie(other.name, other.zone, other.slots, other.available);
        };
        return left.engines == right.engines && left.memoryTokens == right.memoryTokens
            && std::equal(left.targets.begin(), left.targets.end(), right.targets.begin(), right.targets.end(), isSame);
    }

} // namespace

place_allocation::place_allocation(const place_node& self, place_allocation_scope scope, sender send,
    std::function<bool()> isInputPending, const target_tracker& targetTracker, const active_config& config,
    std::uint64_t seed, timer_queue& timers, decision_log& log, gateway_metrics& metrics)
    : m_scope(scope)
    , m_send(std::move(send))
    , m_isInputPending(std::move(isInputPending))
    , m_targetTracker(targetTracker)
    , m_config(config)
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_directory(self, place_directory_settings {})
    , m_client(m_directory, place_client_settings {}, seeded_random(seed), startTime())
    , m_allocator(m_directory, place_allocator_settings {}, seeded_random(seed + 1))
    , m_tickDue(instant::max())
{
}

place_allocation::~place_allocation()
{
    m_timers.cancel(m_ownMessageTimer);
    m_timers.cancel(m_refreshTimer);
    m_timers.cancel(m_tickTimer);
}

void place_allocation::setNodes(const std::vector<limit_node>& others)
{
    if (m_scope == place_allocation_scope::Off)
        return;
    std::vector<place_node> nodes;
    for (const auto& other : others)
        nodes.push_back({ other.node, other.zone });
    m_directory.setNodes(nodes);
    refresh();
}

void place_allocation::receive(const node_id& from, const place_datagram& datagram)
{
    if (m_scope != place_allocation_scope::Off)
        handle(from, datagram);
}

void place_allocation::handle(const node_id& from, const place_datagram& datagram)
{
    const auto now = m_timers.now();
    const auto& message = datagram.message;
    if (std::holds_alternative<place_answer>(message) || std::holds_alternative<place_line_state>(message)) {
        perform(m_client.receive(from, message, now));
    } else if (const auto* request = std::get_if<place_request>(&message)) {
        auto known = *request;
        known.waited = std::max(known.waited, m_refused.waited(datagram.request, now));
        m_refused.recordAsked(from, request->number, datagram.request, now);
        perform(m_allocator.receive(from, known, now));
    } else {
        perform(m_allocator.receive(from, message, now));
    }
}

bool place_allocation::isAllocated(const service_name& service) const
{
    return m_directory.nodeCount() > 1 && m_services.count(service);
}

std::vector<target_name> place_allocation::targetsOf(const service_name& service) const
{
    std::vector<target_name> names;
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        for (const auto& target : found->second.targets)
            names.push_back(target.name);
    }
    return names;
}

std::map<service_name, place_service> place_allocation::readServices() const
{
    std::map<service_name, place_service> services;
    if (!m_config.table())
        return services;
    m_targetTracker.visit(
        [&](const target_entry& target, bool isAvailable) {
            const auto* rules = m_config.table()->rulesOf(target.service);
            const bool isEngine = rules && rules->engine;
            if (m_scope == (isEngine ? place_allocation_scope::Plain : place_allocation_scope::Engines))
                return;
            auto& service = services[target.service];
            service.name = target.service;
            service.engines = isEngine;
            service.memoryTokens = isEngine ? rules->engine->memoryTokens : 0;
            service.targets.push_back({ target.name, target.zone, target.slots, isAvailable });
        },
        m_timers.now());
    return services;
}

bool place_allocation::shouldAllocate(const place_service& service) const
{
    if (service.engines)
        return true;
    double places = 0;
    for (const auto& target : service.targets)
        places += target.slots;
    const auto nodes = static_cast<double>(m_directory.nodeCount());
    return places < nodes * (m_services.count(service.name) ? ReleaseAbovePlacesPerNode : AllocateBelowPlacesPerNode);
}

void place_allocation::refresh()
{
    if (m_scope == place_allocation_scope::Off)
        return;
    auto services = m_directory.nodeCount() > 1 ? readServices() : std::map<service_name, place_service>();
    for (auto service = services.begin(); service != services.end();)
        service = shouldAllocate(service->second) ? std::next(service) : services.erase(service);
    for (const auto& [name, service] : m_services) {
        if (services.count(name))
            continue;
        m_directory.removeService(name);
        m_log.write("places_not_allocated", { { "service", name.value() } });
    }
    for (const auto& [name, service] : services) {
        const auto known = m_services.find(name);
        if (known == m_services.end())
            m_log.write("places_allocated",
                { { "service", name.value() }, { "targets", std::to_string(service.targets.size()) },
                    { "nodes", std::to_string(m_directory.nodeCount()) } });
        if (known == m_services.end() || !isEqual(known->second, service))
            m_directory.setService(service);
    }
    m_services = std::move(services);
    scheduleRefresh();
    const auto now = m_timers.now();
    perform(m_client.tick(now, isInputPending()));
    perform(m_allocator.tick(now));
}

// Messages of this node to itself wait to be handled, too.
bool place_allocation::isInputPending() const
{
    return !m_ownMessages.empty() || m_isInputPending();
}

void place_allocation::scheduleRefresh()
{
    m_timers.cancel(m_refreshTimer);
    if (m_directory.nodeCount() < 2)
        return;
    m_refreshTimer = m_timers.at(m_timers.now() + RefreshInterval, [this] {
        m_refreshTimer = 0;
        refresh();
    });
}

std::uint64_t place_allocation::acquire(const place_demand& demand, std::uint64_t request, callback done)
{
    const auto now = m_timers.now();
    m_metrics.count("places_asked");
    const auto result = m_client.acquire(demand, now);
    m_pending[result.number] = { request, std::move(done) };
    perform(result.actions);
    return m_pending.count(result.number) ? result.number : 0;
}

void place_allocation::cancel(std::uint64_t number)
{
    if (!m_pending.erase(number))
        return;
    m_metrics.count("places_expired");
    perform(m_client.cancel(number, m_timers.now()));
}

held_place place_allocation::begin(const service_name& service, const target_name& target, std::uint64_t promptTokens)
{
    return beginUse(service, target, promptTokens, false);
}

held_place place_allocation::beginCopy(const service_name& service, const target_name& target, std::uint64_t heldTokens)
{
    return beginUse(service, target, heldTokens, true);
}

held_place place_allocation::beginUse(
    const service_name& service, const target_name& target, std::uint64_t promptTokens, bool isCopy)
{
    if (!isAllocated(service))
        return {};
    const auto number = m_client.begin(service, target, promptTokens, isCopy, m_timers.now());
    scheduleTick();
    ++m_heldPlaces;
    return { *this, number, target };
}

void place_allocation::end(std::uint64_t number, place_end how)
{
    --m_heldPlaces;
    perform(m_client.end(number, how, m_timers.now()));
}

void place_allocation::recordPromptRead(std::uint64_t number)
{
    m_client.recordPromptRead(number, m_timers.now());
    scheduleTick();
}

void place_allocation::perform(const place_client::actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* outgoing = std::get_if<send_place_message>(&action)) {
            send(*outgoing);
        } else if (const auto* decided = std::get_if<place_decided>(&action)) {
            decide(*decided);
        } else {
            const auto& unresponsive = std::get<allocator_unresponsive>(action);
            m_metrics.count("place_allocators_unresponsive");
            m_log.write("place_allocator_unresponsive",
                { { "service", unresponsive.shard.service.value() }, { "zone", unresponsive.shard.zone.value() },
                    { "shard", std::to_string(unresponsive.shard.index) },
                    { "allocator", unresponsive.allocator.value() } });
        }
    }
    scheduleTick();
}

void place_allocation::perform(const place_allocator::actions& actions)
{
    for (const auto& outgoing : actions) {
        const auto* answer = std::get_if<place_answer>(&outgoing.message);
        if (answer && answer->outcome == place_outcome::Refused)
            m_refused.recordRefused(outgoing.to, answer->number, m_timers.now());
        send(outgoing);
    }
    scheduleTick();
}

// A message of this node to itself is delivered in the next turn of the event loop: the end of one request must not
// run another one while its caller is still handled.
void place_allocation::send(const send_place_message& outgoing)
{
    place_datagram datagram { outgoing.message, 0 };
    if (const auto* request = std::get_if<place_request>(&outgoing.message)) {
        const auto pending = m_pending.find(request->number);
        if (pending != m_pending.end())
            datagram.request = pending->second.request;
    }
    if (outgoing.to != m_directory.self().node) {
        m_send(outgoing.to, datagram);
        return;
    }
    m_ownMessages.push_back(std::move(datagram));
    if (!m_ownMessageTimer)
        m_ownMessageTimer = m_timers.at(m_timers.now(), [this] {
            m_ownMessageTimer = 0;
            deliverOwnMessages();
        });
}

void place_allocation::deliverOwnMessages()
{
    const auto datagrams = std::exchange(m_ownMessages, {});
    for (const auto& datagram : datagrams)
        handle(m_directory.self().node, datagram);
}

void place_allocation::decide(const place_decided& decided)
{
    const auto pending = m_pending.extract(decided.number);
    if (const auto* granted = std::get_if<place_granted>(&decided.decision)) {
        ++m_heldPlaces;
        held_place place(*this, decided.number, granted->target);
        if (pending)
            pending.mapped().done(decided.decision, std::move(place));
        return;
    }
    if (pending)
        pending.mapped().done(decided.decision, {});
}

void place_allocation::scheduleTick()
{
    const auto due = std::min(m_client.nextDue(), m_allocator.nextDue());
    if (m_tickTimer && due >= m_tickDue)
        return;
    m_timers.cancel(m_tickTimer);
    if (due == instant::max())
        return;
    m_tickDue = due;
    m_tickTimer = m_timers.at(due, [this] {
        m_tickTimer = 0;
        const auto now = m_timers.now();
        perform(m_client.tick(now, isInputPending()));
        perform(m_allocator.tick(now));
    });
}

} // namespace oriolepick
