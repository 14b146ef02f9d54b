#include "standins/service_emulator.h"

#include "standins/connection_reset.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <limits>
#include <thread>
#include <utility>

namespace oriolepick {

namespace {

    using nlohmann::json;

    constexpr char RunsPath[] = "/runs";
    constexpr char FaultsPath[] = "/faults";

    /// \return what is wrong with the value of the switch \p name, empty for nothing
    std::string readSwitch(const std::string& name, const json& value, service_faults& faults)
    {
        const std::pair<const char*, bool*> flags[] = { { "exit_on_accept", &faults.exitOnAccept },
            { "reset_before_body", &faults.resetBeforeBody }, { "reset_after_run", &faults.resetAfterRun } };
        for (const auto& [known, flag] : flags) {
            if (name != known)
                continue;
            if (!value.is_boolean())
                return name + " is not true or false";
            *flag = value.get<bool>();
            return {};
        }
        if (name == "request_limit") {
            if (!value.is_number() || value.get<double>() < 0)
                return name + " is not a number from 0";
            faults.requestLimit = value.get<double>();
            return {};
        }
        if (name != "delay_ms" && name != "status" && name != "calls")
            return name + " is not a known switch";
        if (!value.is_number_unsigned()
            || value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<int>::max()))
            return name + " is not a whole number in range";
        const int number = value.get<int>();
        if (name == "delay_ms")
            faults.delay = std::chrono::milliseconds(number);
        else if (name == "calls")
            faults.calls = static_cast<std::uint32_t>(number);
        else if (number && (number < 200 || number > 599))
            return "status is not between 200 and 599";
        else
            faults.status = number;
        return {};
    }

    bool isControlPath(const std::string& path)
    {
        return path == RunsPath || path.rfind(std::string(RunsPath) + "/", 0) == 0 || path == FaultsPath;
    }

} // namespace

service_emulator::service_emulator(std::size_t maxConnections, std::function<void()> exit)
    : m_exit(std::move(exit))
    , m_listener(maxConnections)
{
    addRoutes();
}

service_emulator::~service_emulator()
{
    stop();
}

bool service_emulator::start(const std::string& address)
{
    return m_listener.start(address);
}

void service_emulator::stop()
{
    m_listener.stop();
}

void service_emulator::closeListener()
{
    m_listener.server().stop();
}

std::string service_emulator::applyFaults(std::string_view text)
{
    const json switches = json::parse(text.begin(), text.end(), nullptr, false);
    if (!switches.is_object())
        return "body is not a JSON object";
    service_faults faults;
    for (const auto& [name, value] : switches.items()) {
        if (auto fault = readSwitch(name, value, faults); !fault.empty())
            return fault;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
    m_limited = faults.calls > 0;
    return {};
}

std::uint64_t service_emulator::runsOf(const std::string& key) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_runs.find(key);
    return found == m_runs.end() ? 0 : found->second;
}

std::uint64_t service_emulator::runs() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::uint64_t sum = 0;
    for (const auto& [key, count] : m_runs)
        sum += count;
    return sum;
}

void service_emulator::addRoutes()
{
    // The pre-routing handler runs for every method, before the body is read, and decides on a reset there. The body
    // is read by the routes of the methods that have one; their handlers run the call.
    auto& server = m_listener.server();
    server.set_pre_routing_handler([this](const httplib::Request& request, httplib::Response&) {
        if (isControlPath(request.path))
            return httplib::Server::HandlerResponse::Unhandled;
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_faults.exitOnAccept)
            m_exit();
        if (!m_faults.resetBeforeBody)
            return httplib::Server::HandlerResponse::Unhandled;
        if (m_limited && --m_faults.calls == 0)
            m_faults = {};
        resetConnectionOf(request);
        return httplib::Server::HandlerResponse::Handled;
    });
    server.Get("/runs", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(runsJson(), "application/json");
    });
    server.Get("/runs/(.+)", [this](const httplib::Request& request, httplib::Response& response) {
        response.set_content(json { { "runs", runsOf(request.matches[1]) } }.dump(), "application/json");
    });
    server.Post(FaultsPath, [this](const httplib::Request& request, httplib::Response& response) {
        const std::string fault = applyFaults(request.body);
        response.status = fault.empty() ? 200 : 400;
        response.set_content(json { { "message", fault } }.dump(), "application/json");
    });
    const auto run = [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); };
    server.Get(".*", run);
    server.Post(".*", run);
    server.Put(".*", run);
    server.Patch(".*", run);
    server.Delete(".*", run);
    server.Options(".*", run);
}

service_faults service_emulator::takeFaults()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const service_faults taken = m_faults;
    if (m_limited && m_faults.calls && --m_faults.calls == 0)
        m_faults = {};
    return taken;
}

void service_emulator::serve(const httplib::Request& request, httplib::Response& response)
{
    const service_faults faults = takeFaults();
    if (faults.requestLimit > 0)
        response.set_header("Request-Limit", std::to_string(faults.requestLimit));
    if (faults.status) {
        response.status = faults.status;
        response.set_content(R"({"ran":false})", "application/json");
        return;
    }
    const std::string key = request.get_header_value("Idempotency-Key");
    std::uint64_t runs = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        runs = ++m_runs[key];
    }
    std::this_thread::sleep_for(faults.delay);
    if (faults.resetAfterRun) {
        resetConnectionOf(request);
        return;
    }
    response.set_content(json { { "ran", true }, { "key", key }, { "run", runs }, { "method", request.method },
                             { "path", request.path }, { "body_bytes", request.body.size() } }
                             .dump(-1, ' ', false, json::error_handler_t::replace),
        "application/json");
}

std::string service_emulator::runsJson() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return json { { "runs", m_runs } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace oriolepick
