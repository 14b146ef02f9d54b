#include "standins/platform_emulator.h"

#include "ports/instance_json.h"
#include "ports/table_json.h"
#include "standins/fault_json.h"
#include "standins/fault_switch.h"
#include "standins/http_library.h"
#include "standins/memory_table.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <mutex>
#include <shared_mutex>
#include <thread>

namespace oriolepick {

namespace {

    using steady = std::chrono::steady_clock;

    constexpr std::size_t MaxBodyBytes = std::size_t { 64 } << 20;
    constexpr std::size_t MaxScanRows = 1000;
    /// stop() waits this long for idle connections: the library does not close them.
    constexpr time_t KeepAliveSeconds = 5;
    constexpr std::size_t RequestsPerConnection = 1'000'000;

    void answer(httplib::Response& response, int status, const std::string& body)
    {
        response.status = status;
        response.set_content(body, "application/json");
    }

    void refuse(httplib::Response& response, int status, const std::string& message)
    {
        answer(response, status,
            nlohmann::json { { "error", message } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

    /// Announces a body and closes the connection before its end, so that the client cannot use the response.
    void loseResponse(httplib::Response& response)
    {
        response.status = 200;
        response.body.clear();
        response.headers.clear();
        response.set_content_provider(
            1, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    }

    /// The instance list of the recent past: each POST becomes visible after the lag.
    class lagging_instances {
    public:
        void replace(std::vector<instance_record> instances, steady::time_point visibleAt)
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_changes.push_back({ visibleAt, std::move(instances) });
        }

        std::vector<instance_record> visible(steady::time_point now)
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            while (m_changes.size() > 1 && m_changes[1].visibleAt <= now)
                m_changes.pop_front();
            return m_changes.front().instances;
        }

    private:
        struct change {
            steady::time_point visibleAt;
            std::vector<instance_record> instances;
        };

        std::mutex m_mutex;
        std::deque<change> m_changes { change {} };
    };

    /// Token bucket of the weight store.
    class weight_rate {
    public:
        weight_rate(double perSecond, std::size_t burst)
            : m_perSecond(perSecond)
            , m_burst(static_cast<double>(burst))
            , m_available(m_burst)
        {
        }

        /// \return 0 when one load may start now, otherwise the time until it may
        std::chrono::milliseconds take(steady::time_point now)
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const std::chrono::duration<double> passed = now - m_last;
            m_last = now;
            m_available = std::min(m_burst, m_available + passed.count() * m_perSecond);
            if (m_available >= 1) {
                m_available -= 1;
                return std::chrono::milliseconds(0);
            }
            const auto wait = (1 - m_available) / std::max(m_perSecond, 0.001) * 1000;
            return std::chrono::milliseconds(static_cast<std::int64_t>(wait) + 1);
        }

    private:
        std::mutex m_mutex;
        double m_perSecond;
        double m_burst;
        double m_available;
        steady::time_point m_last = steady::now();
    };

} // namespace

struct platform_emulator::state {
    explicit state(platform_emulator_options given)
        : options(std::move(given))
        , tableFaults(options.seed)
        , objectFaults(options.seed + 1)
        , instanceFaults(options.seed + 2)
        , weightFaults(options.seed + 3)
        , weights(options.weightsPerSecond, options.weightBurst)
    {
    }

    using operation = void (state::*)(const httplib::Request&, httplib::Response&);

    /// Runs \p handle with the faults in force; a refused operation has no effect.
    httplib::Server::Handler withFaults(fault_switch& faults, bool losable, operation handle)
    {
        return [this, &faults, losable, handle](const httplib::Request& request, httplib::Response& response) {
            const auto decision = faults.next(losable);
            std::this_thread::sleep_for(decision.delayBefore);
            if (decision.refuse)
                return refuse(response, 503, "down");
            serve(handle, request, response);
            std::this_thread::sleep_for(decision.delayAfter);
            if (decision.loseResponse)
                loseResponse(response);
        };
    }

    /// Keeps a restore out of the operation, so that the header belongs to what the response says.
    void serve(operation handle, const httplib::Request& request, httplib::Response& response)
    {
        const std::shared_lock<std::shared_mutex> lock(restoring);
        (this->*handle)(request, response);
        response.set_header("Store-Epoch", std::to_string(table.epoch()));
    }

    void keepCopy(const httplib::Request&, httplib::Response& response)
    {
        const std::unique_lock<std::shared_mutex> lock(restoring);
        keptRows = table.copy();
        keptObjects = objects;
        answer(response, 200, "{}");
    }

    void restoreCopy(const httplib::Request&, httplib::Response& response)
    {
        const std::unique_lock<std::shared_mutex> lock(restoring);
        table.restore(keptRows);
        objects = keptObjects;
        answer(response, 200, nlohmann::json { { "epoch", table.epoch() } }.dump());
    }

    void commit(const httplib::Request& request, httplib::Response& response)
    {
        const auto transaction = parseTransaction(request.body);
        if (!transaction)
            return refuse(response, 400, transaction.error().message);
        const auto outcome = table.commit(transaction.value());
        if (!outcome.committed)
            return answer(response, 412, nlohmann::json { { "failed", outcome.failedKeys } }.dump());
        auto versions = nlohmann::json::object();
        for (std::size_t index = 0; index < outcome.versions.size(); ++index)
            versions[transaction.value().writes[index].key] = outcome.versions[index].number();
        answer(response, 200, nlohmann::json { { "versions", std::move(versions) } }.dump());
    }

    void readRow(const httplib::Request& request, httplib::Response& response)
    {
        if (!request.has_param("key"))
            return refuse(response, 400, "key: a query parameter is required");
        const auto row = table.read(request.get_param_value("key"));
        if (!row)
            return refuse(response, 404, "absent");
        answer(response, 200, encodeRow(*row));
    }

    void scan(const httplib::Request& request, httplib::Response& response)
    {
        std::size_t limit = MaxScanRows;
        const auto text = request.get_param_value("limit");
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), limit);
        if (!text.empty() && (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()))
            return refuse(response, 400, "limit: an unsigned number is required");
        answer(response, 200,
            encodeRows(table.scan(
                request.get_param_value("prefix"), request.get_param_value("after"), std::min(limit, MaxScanRows))));
    }

    void putObject(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard<std::mutex> lock(objectMutex);
        objects[request.matches[1]] = request.body;
        response.status = 204;
    }

    void getObject(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard<std::mutex> lock(objectMutex);
        const auto found = objects.find(request.matches[1]);
        if (found == objects.end())
            return refuse(response, 404, "absent");
        response.set_content(found->second, "application/octet-stream");
    }

    void removeObject(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard<std::mutex> lock(objectMutex);
        objects.erase(request.matches[1]);
        response.status = 204;
    }

    void listInstances(const httplib::Request&, httplib::Response& response)
    {
        answer(response, 200, encodeInstances(instances.visible(steady::now())));
    }

    void replaceInstances(const httplib::Request& request, httplib::Response& response)
    {
        auto parsed = parseInstances(request.body);
        if (!parsed)
            return refuse(response, 400, parsed.error().message);
        instances.replace(std::move(parsed.value()), steady::now() + options.instanceLag);
        answer(response, 200, "{}");
    }

    void loadWeights(const httplib::Request& request, httplib::Response& response)
    {
        const auto wait = weights.take(steady::now());
        if (wait.count() == 0) {
            const nlohmann::json body { { "weights", request.matches[1].str() },
                { "version", request.matches[2].str() } };
            return answer(response, 200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        }
        response.set_header("Retry-After", std::to_string((wait.count() + 999) / 1000));
        answer(response, 429, nlohmann::json { { "retry_after_ms", wait.count() } }.dump());
    }

    void setFaults(const httplib::Request& request, httplib::Response& response)
    {
        const auto order = parseFaultOrder(request.body);
        if (!order)
            return refuse(response, 400, order.error().message);
        const auto& service = order.value().service;
        auto& faults = service == "table" ? tableFaults
            : service == "objects"        ? objectFaults
            : service == "instances"      ? instanceFaults
                                          : weightFaults;
        faults.set(order.value().faults);
        answer(response, 200, "{}");
    }

    void addRoutes()
    {
        server.Post("/table/commit", withFaults(tableFaults, true, &state::commit));
        server.Get("/table/row", withFaults(tableFaults, false, &state::readRow));
        server.Get("/table/scan", withFaults(tableFaults, false, &state::scan));
        server.Put("/objects/(.+)", withFaults(objectFaults, true, &state::putObject));
        server.Get("/objects/(.+)", withFaults(objectFaults, false, &state::getObject));
        server.Delete("/objects/(.+)", withFaults(objectFaults, true, &state::removeObject));
        server.Get("/instances", withFaults(instanceFaults, true, &state::listInstances));
        server.Get("/weights/(.+)/([^/]+)", withFaults(weightFaults, true, &state::loadWeights));
        server.Post("/instances", [this](const auto& request, auto& response) { replaceInstances(request, response); });
        server.Post("/copy", [this](const auto& request, auto& response) { keepCopy(request, response); });
        server.Post("/restore", [this](const auto& request, auto& response) { restoreCopy(request, response); });
        server.Post("/faults", [this](const auto& request, auto& response) { setFaults(request, response); });
    }

    platform_emulator_options options;
    memory_table table;
    std::mutex objectMutex;
    std::map<std::string, std::string> objects;
    std::shared_mutex restoring;
    memory_table::contents keptRows;
    std::map<std::string, std::string> keptObjects;
    lagging_instances instances;
    fault_switch tableFaults;
    fault_switch objectFaults;
    fault_switch instanceFaults;
    fault_switch weightFaults;
    weight_rate weights;
    httplib::Server server;
    std::thread thread;
    int port = 0;
};

platform_emulator::platform_emulator(platform_emulator_options options)
    : m_state(std::make_unique<state>(std::move(options)))
{
}

platform_emulator::~platform_emulator()
{
    stop();
}

result<void> platform_emulator::start()
{
    initializeHttpLibrary();
    auto& server = m_state->server;
    const auto threads = m_state->options.threads;
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_keep_alive_timeout(KeepAliveSeconds);
    server.set_keep_alive_max_count(RequestsPerConnection);
    server.set_payload_max_length(MaxBodyBytes);
    server.set_tcp_nodelay(true);
    m_state->addRoutes();
    const auto& host = m_state->options.host;
    int port = m_state->options.port;
    if (port == 0)
        port = server.bind_to_any_port(host);
    else if (!server.bind_to_port(host, port))
        port = -1;
    if (port < 0)
        return error { error_kind::PlatformUnavailable, "cannot bind " + host, {} };
    m_state->port = port;
    m_state->thread = std::thread([&server] { server.listen_after_bind(); });
    while (!server.is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return success();
}

void platform_emulator::stop()
{
    if (!m_state->thread.joinable())
        return;
    m_state->server.stop();
    m_state->thread.join();
}

int platform_emulator::port() const
{
    return m_state->port;
}

std::string platform_emulator::address() const
{
    return "http://" + m_state->options.host + ":" + std::to_string(m_state->port);
}

} // namespace oriolepick
