#include "node/http_edge.h"

#include "config/settings.h"
#include "core/fleet_state.h"
#include "node/authenticator.h"
#include "node/bounded_task_queue.h"
#include "node/completion_stream.h"
#include "node/completions_endpoint.h"
#include "node/edge_server.h"
#include "node/error_body.h"
#include "node/node_metrics.h"
#include "node/node_status.h"
#include "node/open_request.h"
#include "node/operator_endpoint.h"
#include "node/process_usage.h"
#include "node/request_framing.h"
#include "node/service_endpoint.h"

#include <httplib.h>
#include <sys/socket.h>

#include <utility>

namespace oriolepick {

namespace {

    constexpr int SuccessStatus = 200;
    constexpr const char* JsonType = "application/json";
    constexpr const char* CompletionsPath = "/v1/completions";
    constexpr const char* ServicesPath = "/v1/services/";
    constexpr std::chrono::seconds RefusalRetryAfter { 1 };
    constexpr std::chrono::milliseconds ConnectionCheckPeriod { 250 };
    constexpr int ConnectBacklog = 2048;
    constexpr time_t KeepAliveSeconds = 2; // an idle connection holds a thread
    constexpr time_t ReadTimeoutSeconds = 10;
    constexpr time_t WriteTimeoutSeconds = 10;

    void recordProcess(node_metrics& metrics)
    {
        const auto usage = processUsage();
        metrics.set(gauge_metric::ProcessMemory, {}, static_cast<double>(usage.residentBytes));
        metrics.set(gauge_metric::ProcessCpu, {}, usage.cpu.count());
    }

    bool hasJsonBody(const httplib::Request& request)
    {
        return request.get_header_value("Content-Type").rfind(JsonType, 0) == 0;
    }

    bool isWork(const httplib::Request& request)
    {
        return request.path == CompletionsPath || request.path.rfind(ServicesPath, 0) == 0;
    }

    /// Makes the library close the connection after the response, whose request's body it has not read: it would take
    /// the body for the next request, also after "Connection: close".
    void closeAfter(httplib::Response& response)
    {
        const auto type = response.get_header_value("Content-Type");
        response.headers.erase("Content-Type");
        response.set_content_provider(response.body.size(), type,
            [body = std::exchange(response.body, {})](std::size_t, std::size_t, httplib::DataSink& sink) {
                sink.write(body.data(), body.size());
                return false;
            });
    }

    /// Sends \p answer, whose memory stays reserved and whose request stays open until the answer has been sent.
    void sendAnswer(call_answer&& answer, std::shared_ptr<open_request> open, httplib::Response& response)
    {
        response.status = answer.status;
        if (answer.body.empty()) {
            response.set_content(answer.body, answer.contentType);
            return;
        }
        const auto held = std::make_shared<call_answer>(std::move(answer));
        response.set_content_provider(held->body.size(), held->contentType,
            [held, open = std::move(open)](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
                return sink.write(held->body.data() + offset, length);
            });
    }

    /// \return whether the library had read the request to its end when it gave an answer by itself
    bool isReadWhole(int status)
    {
        return status == 404 || status == 413;
    }

    /// The kind of an answer that the library gave by itself.
    error_kind kindOf(int status)
    {
        if (status == 413)
            return error_kind::BodyTooLarge;
        return status == 404 ? error_kind::UnknownService : error_kind::BadRequest;
    }

} // namespace

http_edge::http_edge(const settings& configuration, const edge_services& services)
    : m_settings(configuration)
    , m_services(services)
    , m_server(makeEdgeServer(configuration.tlsCertificate, configuration.tlsKey, m_cut))
{
    const auto threads = static_cast<std::size_t>(configuration.callersThreads);
    m_server->new_task_queue = [threads] { return new bounded_task_queue(threads); };
    m_server->set_payload_max_length(static_cast<std::size_t>(configuration.maximumBodyBytes));
    m_server->set_tcp_nodelay(true);
    // Replaces the library's default, which sets SO_REUSEPORT and lets two processes share a port unnoticed.
    m_server->set_socket_options([this](int socket) {
        const int enabled = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        m_socket = socket;
    });
    m_server->set_keep_alive_timeout(KeepAliveSeconds);
    m_server->set_read_timeout(ReadTimeoutSeconds);
    m_server->set_write_timeout(WriteTimeoutSeconds);
    addRoutes();
    addOperatorRoutes();
}

http_edge::~http_edge() = default;

result<void> http_edge::bind()
{
    const auto& address = m_settings.callersListen;
    const auto colon = address.rfind(':');
    if (!m_server->is_valid())
        return error { error_kind::Internal, "callers.tls_certificate: cannot be loaded with callers.tls_key", {} };
    if (m_server->bind_to_port(address.substr(0, colon), std::stoi(address.substr(colon + 1)))) {
        // The library's backlog of 5 drops connects when many callers reconnect at once.
        ::listen(m_socket, ConnectBacklog);
        return success();
    }
    return error { error_kind::Internal, "callers.listen: cannot bind " + address, {} };
}

void http_edge::serve()
{
    m_server->listen_after_bind();
}

void http_edge::stop()
{
    m_cut = true;
    m_server->stop();
}

void http_edge::addRoutes()
{
    m_server->set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
        return refusesConnection(request, response) || refusesFraming(request, response)
            ? httplib::Server::HandlerResponse::Handled
            : httplib::Server::HandlerResponse::Unhandled;
    });
    m_server->set_post_routing_handler([this](const httplib::Request&, httplib::Response& response) {
        // Callers that know of the close do not send a request that crosses with it.
        if (m_services.status.draining && !response.has_header("Connection"))
            response.set_header("Connection", "close");
        if (response.has_header("Connection"))
            response.headers.erase("Keep-Alive");
    });
    m_server->set_error_handler([this](const httplib::Request& request, httplib::Response& response) {
        if (response.has_header("Content-Type")) // an answer of this class
            return;
        const int status = response.status;
        if (isTooLarge(request)) // chunked, and read only in part
            response.status = errorResponseFor(error_kind::BodyTooLarge).status;
        m_services.metrics.add(counter_metric::BadInput, { { "entrance", "http" } });
        response.set_content(errorBody({ kindOf(response.status), "the request cannot be served", {} }), JsonType);
        if (!isReadWhole(status)) {
            response.set_header("Connection", "close");
            closeAfter(response);
        }
    });
    m_server->set_exception_handler(
        [this](const httplib::Request&, httplib::Response& response, const std::exception_ptr&) {
            answerError({ error_kind::Internal, "unexpected failure", {} }, response, "unknown");
        });
    m_server->Post(CompletionsPath,
        [this](const httplib::Request& request, httplib::Response& response) { handleCompletion(request, response); });
    const auto service
        = [this](const httplib::Request& request, httplib::Response& response) { handleService(request, response); };
    constexpr const char* ServicePattern = R"(/v1/services/([^/]{1,128})(/.*)?)";
    m_server->Get(ServicePattern, service);
    m_server->Post(ServicePattern, service);
    m_server->Put(ServicePattern, service);
    m_server->Patch(ServicePattern, service);
    m_server->Delete(ServicePattern, service);
    m_server->Get(R"(/v1/calls/([^/]{1,128}))",
        [this](const httplib::Request& request, httplib::Response& response) { handleLookUp(request, response); });
    m_server->Get("/healthz",
        [](const httplib::Request&, httplib::Response& response) { response.set_content("ok\n", "text/plain"); });
    m_server->Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
        const bool ready = m_services.status.ready && !m_services.status.draining;
        response.status = ready ? 200 : 503;
        response.set_content(
            ready ? "ready\n" : (m_services.status.draining ? "draining\n" : "not ready\n"), "text/plain");
    });
    m_server->Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        m_services.metrics.set(gauge_metric::OpenStreams, {}, static_cast<double>(m_services.status.openRequests));
        m_services.metrics.set(gauge_metric::Ready, {}, m_services.status.ready && !m_services.status.draining ? 1 : 0);
        recordProcess(m_services.metrics);
        response.set_content(m_services.metrics.serialize(), "text/plain; version=0.0.4");
    });
}

void http_edge::addOperatorRoutes()
{
    const auto guarded = [this](auto produce) {
        return [this, produce](const httplib::Request& request, httplib::Response& response) {
            const auto allowed = m_services.callers.operators(request.get_header_value("Authorization"));
            if (!allowed)
                return answerError(allowed.error(), response, "operators");
            response.set_content(produce(request), JsonType);
        };
    };
    m_server->Get(
        "/v1/admin/in-force", guarded([this](const httplib::Request&) { return m_services.operators.inForce(); }));
    m_server->Get(
        "/v1/admin/status", guarded([this](const httplib::Request&) { return m_services.operators.status(); }));
    m_server->Get(R"(/v1/admin/trace/(.{1,300}))",
        guarded([this](const httplib::Request& request) { return m_services.operators.trace(request.matches[1]); }));
    m_server->Post("/v1/admin/drain", guarded([this](const httplib::Request&) {
        m_services.operators.drain();
        return std::string("{\"draining\":true}");
    }));
}

bool http_edge::refusesConnection(const httplib::Request& request, httplib::Response& response)
{
    if (!bounded_task_queue::onReserveThread() || !isWork(request))
        return false;
    refuse({ error_kind::Overloaded, "all connections of this node are in use", RefusalRetryAfter }, request, response);
    response.set_header("Connection", "close");
    closeAfter(response);
    return true;
}

bool http_edge::refusesFraming(const httplib::Request& request, httplib::Response& response)
{
    const auto fault = findFramingFault(request);
    if (fault.empty())
        return false;
    answerError({ error_kind::BadRequest, fault, {} }, response, "unknown");
    response.set_header("Connection", "close");
    closeAfter(response);
    return true;
}

bool http_edge::isTooLarge(const httplib::Request& request) const
{
    return request.body.size() > static_cast<std::size_t>(m_settings.maximumBodyBytes);
}

bool http_edge::refusesWork(const httplib::Request& request, httplib::Response& response)
{
    if (m_services.status.draining)
        refuse({ error_kind::NodeDraining, "this node is leaving", RefusalRetryAfter }, request, response);
    else if (!m_services.status.ready)
        refuse({ error_kind::NodeNotReady, "this node does not know the state in force yet", RefusalRetryAfter },
            request, response);
    else if (isTooLarge(request))
        refuse({ error_kind::BodyTooLarge, "the body is too long", {} }, request, response);
    else
        return false;
    return true;
}

void http_edge::refuse(const error& reason, const httplib::Request& request, httplib::Response& response)
{
    // Another node may have run a call with the same key.
    const bool keyedCall = request.path != CompletionsPath && request.has_header("Idempotency-Key");
    answerError(
        reason, response, "unknown", keyedCall ? std::optional<run_state>(run_state::MayHaveRun) : std::nullopt);
}

void http_edge::answerError(
    const error& problem, httplib::Response& response, const std::string& fleet, std::optional<run_state> run)
{
    const auto& answer = errorResponseFor(problem.kind);
    response.status = answer.status;
    if (problem.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retryAfter).count();
        response.set_header("Retry-After", std::to_string(seconds));
    }
    response.set_content(errorBody(problem, run), JsonType);
    const std::string code(answer.code);
    m_services.metrics.add(counter_metric::Requests, { { "fleet", fleet }, { "code", code } });
    m_services.metrics.add(counter_metric::Refusals,
        { { "fleet", fleet }, { "code", code }, { "run", std::string(toString(run.value_or(answer.run))) } });
    if (answer.status == 400 || answer.status == 413 || answer.status == 415)
        m_services.metrics.add(counter_metric::BadInput, { { "entrance", "callers" } });
}

void http_edge::handleCompletion(const httplib::Request& request, httplib::Response& response)
{
    auto open = std::make_shared<open_request>(m_services.status);
    // After the count: the planned stop waits for each request that did not see it.
    if (refusesWork(request, response))
        return;
    if (!hasJsonBody(request))
        return answerError(
            { error_kind::UnsupportedMediaType, "Content-Type: must be application/json", {} }, response, "unknown");
    completion_call call;
    call.authorization = request.get_header_value("Authorization");
    call.requestKey = request.get_header_value("Idempotency-Key");
    call.lastEventId = request.get_header_value("Last-Event-ID");
    call.body = request.body;
    call.arrived = std::chrono::steady_clock::now();
    auto opened = m_services.completions.open(call);
    if (!opened)
        return answerError(opened.error(), response, "unknown");
    std::shared_ptr<completion_stream> stream = std::move(opened.value().stream);
    const auto fleet = stream->session().request().deployment.fleet().value();
    response.set_header("Oriolepick-Request-Key", stream->session().request().generation.key.key);
    const auto begun = stream->begin();
    if (!begun) {
        recordEnd(*stream);
        return answerError(begun.error(), response, fleet);
    }
    if (opened.value().streamed)
        return sendEvents(stream, std::move(open), response);
    auto body = stream->collect();
    recordEnd(*stream);
    if (!body)
        return answerError(body.error(), response, fleet);
    sendAnswer({ SuccessStatus, JsonType, std::move(body.value()), {} }, std::move(open), response);
}

void http_edge::handleService(const httplib::Request& request, httplib::Response& response)
{
    auto open = std::make_shared<open_request>(m_services.status);
    // After the count: the planned stop waits for each request that did not see it.
    if (refusesWork(request, response))
        return;
    service_call call;
    call.authorization = request.get_header_value("Authorization");
    call.requestKey = request.get_header_value("Idempotency-Key");
    call.service = request.matches[1];
    call.method = request.method;
    call.path = request.matches[2].length() ? std::string(request.matches[2]) : "/";
    const auto query = request.target.find('?');
    if (query != std::string::npos)
        call.path += request.target.substr(query);
    call.contentType = request.get_header_value("Content-Type");
    call.body = request.body;
    call.arrived = std::chrono::steady_clock::now();
    auto served = m_services.services.call(call);
    if (!served.reply)
        return answerError(served.reply.error(), response, served.fleet);
    m_services.metrics.add(counter_metric::Requests, { { "fleet", served.fleet }, { "code", "ok" } });
    sendAnswer(std::move(served.reply.value()), std::move(open), response);
}

void http_edge::handleLookUp(const httplib::Request& request, httplib::Response& response)
{
    auto open = std::make_shared<open_request>(m_services.status);
    auto reply = m_services.services.lookUp(request.get_header_value("Authorization"), request.matches[1]);
    if (!reply)
        return answerError(reply.error(), response, "unknown");
    sendAnswer(std::move(reply.value()), std::move(open), response);
}

void http_edge::sendEvents(
    const std::shared_ptr<completion_stream>& stream, std::shared_ptr<open_request> open, httplib::Response& response)
{
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
        "text/event-stream", [this, stream, open = std::move(open)](std::size_t, httplib::DataSink& sink) {
            const auto events = stream->nextEvents(std::chrono::steady_clock::now() + ConnectionCheckPeriod);
            const bool connected = sink.is_writable() && (events.empty() || sink.write(events.data(), events.size()));
            if (connected) {
                if (stream->finished()) {
                    recordEnd(*stream);
                    sink.done();
                }
                return true;
            }
            stream->callerDisconnected();
            while (!stream->finished())
                stream->nextEvents(std::chrono::steady_clock::now() + ConnectionCheckPeriod);
            recordEnd(*stream);
            return false;
        });
}

void http_edge::recordEnd(const completion_stream& stream)
{
    const auto* end = stream.end();
    if (!end)
        return;
    const auto& request = stream.session().request();
    std::string outcome = "failed";
    if (end->finished)
        outcome = "whole";
    else if (end->handedOver)
        outcome = "handed_over";
    else if (end->kind == error_kind::Cancelled)
        outcome = "caller_gone";
    else if (errorResponseFor(end->kind).run == run_state::NotRun)
        outcome = "refused";
    if (outcome == "refused" && stream.session().delivered())
        m_services.metrics.add(counter_metric::FalseRefusals, { { "fleet", request.deployment.fleet().value() } });
    const auto code = end->finished ? "ok" : std::string(errorResponseFor(end->kind).code);
    // An error before the first token is counted with its answer.
    if (end->finished || stream.session().delivered())
        m_services.metrics.add(
            counter_metric::Requests, { { "fleet", request.deployment.fleet().value() }, { "code", code } });
    m_services.metrics.add(counter_metric::Responses,
        { { "fleet", request.deployment.fleet().value() }, { "deployment", request.deployment.name() },
            { "priority", std::to_string(request.priority) }, { "result", outcome } });
    m_services.metrics.add(
        counter_metric::TeamRequests, { { "team", request.generation.key.team.text() }, { "code", code } });
}

} // namespace oriolepick
