#include "standins/engine_emulator.h"

#include "standins/emulated_attempt.h"
#include "standins/engine_requests.h"

#include <absl/strings/numbers.h>
#include <httplib.h>

#include <utility>

namespace oriolepick {

namespace {

    using clock = std::chrono::steady_clock;

    // How often a stream without news looks whether its reader left.
    constexpr std::chrono::milliseconds ReaderCheckPeriod { 100 };

    void answer(httplib::Response& response, int status, const std::string& body)
    {
        response.status = status;
        response.set_content(body, "application/json");
    }

    /// \return the query parameter, or nothing when it is absent or not a number in range
    template <typename Number> std::optional<Number> numberParameter(const httplib::Request& request, const char* name)
    {
        Number number = 0;
        if (!request.has_param(name) || !absl::SimpleAtoi(request.get_param_value(name), &number))
            return std::nullopt;
        return number;
    }

} // namespace

/// One response that streams an attempt.
struct engine_emulator::open_stream {
    std::shared_ptr<emulated_attempt> attempt;
    std::uint64_t epoch = 0;
    std::uint32_t next = 0; ///< position
    stream_fault_plan plan;
    std::uint32_t sent = 0; ///< tokens sent in this response
};

engine_emulator::engine_emulator(engine_settings settings, std::function<void()> crash)
    : m_settings(std::move(settings))
    , m_models(m_settings)
    , m_batch(m_settings, m_faults, std::move(crash))
    , m_listener(m_settings.maxConnections)
{
    addRoutes();
}

engine_emulator::~engine_emulator()
{
    stop();
}

bool engine_emulator::start(const std::string& address)
{
    return m_listener.start(address);
}

void engine_emulator::stop()
{
    m_faults.release();
    m_batch.stop();
    m_listener.stop();
}

void engine_emulator::addRoutes()
{
    // A paused engine answers nothing; its kernel still accepts connections.
    const auto route = [this](handler chosen) {
        return [this, chosen](const httplib::Request& request, httplib::Response& response) {
            m_faults.waitWhilePaused();
            (this->*chosen)(request, response);
        };
    };
    auto& server = m_listener.server();
    server.Post("/v1/attempts", route(&engine_emulator::startAttempt));
    server.Get("/v1/attempts/([^/]+)", route(&engine_emulator::attachAttempt));
    server.Delete("/v1/attempts/([^/]+)", route(&engine_emulator::cancelAttempt));
    server.Get("/v1/state", route(&engine_emulator::answerState));
    server.Get("/v1/load", route(&engine_emulator::answerLoad));
    server.Get("/v1/cache-events", route(&engine_emulator::answerCacheEvents));
    server.Get("/healthz", route(&engine_emulator::answerHealth));
    server.Post("/v1/orders", route(&engine_emulator::takeOrder));
    server.Post("/faults", [this](const httplib::Request& request, httplib::Response& response) {
        const std::string fault = m_faults.apply(request.body);
        answer(response, fault.empty() ? 200 : 400, fault.empty() ? "{}" : formatCode("bad_request", fault));
    });
}

void engine_emulator::startAttempt(const httplib::Request& request, httplib::Response& response)
{
    if (rejectByFault(response))
        return;
    auto parsed = parseAttemptRequest(request.body);
    if (!parsed) {
        answer(response, 400, formatCode("bad_request", parsed.error().message));
        return;
    }
    if (m_models.draining()) {
        answer(response, 503, formatCode("draining", "takes no new attempts"));
        return;
    }
    if (!m_models.isLoaded(parsed.value().model, clock::now())) {
        answer(response, 409, formatCode("not_loaded", "has another model, version or adapter"));
        return;
    }
    const auto from = static_cast<std::uint32_t>(parsed.value().prefix.size());
    const auto attempt = std::make_shared<emulated_attempt>(std::move(parsed.value()), m_settings.salt);
    switch (m_batch.submit(attempt)) {
    case submit_outcome::QueueFull:
        answer(response, 429, formatCode("queue_full", "queue is full"));
        break;
    case submit_outcome::Exists:
        answer(response, 409, formatCode("attempt_exists", "attempt identifier was used before"));
        break;
    case submit_outcome::Accepted:
        openStream(attempt, 0, from, response);
        break;
    }
}

void engine_emulator::attachAttempt(const httplib::Request& request, httplib::Response& response)
{
    const auto from = numberParameter<std::uint32_t>(request, "from");
    const auto epoch = numberParameter<std::uint64_t>(request, "reader_epoch");
    if (!from || !epoch) {
        answer(response, 400, formatCode("bad_request", "from and reader_epoch must be numbers"));
        return;
    }
    const auto attempt = m_batch.find(request.matches[1]);
    if (!attempt) {
        answer(response, 404, formatCode("unknown_attempt", "no such attempt"));
        return;
    }
    if (*from > attempt->computed()) {
        answer(response, 400, formatCode("bad_request", "from is beyond the tokens that the attempt has"));
        return;
    }
    openStream(attempt, *epoch, *from, response);
}

void engine_emulator::cancelAttempt(const httplib::Request& request, httplib::Response& response)
{
    const bool known = m_batch.cancel(request.matches[1]);
    answer(response, known ? 200 : 404, known ? "{}" : formatCode("unknown_attempt", "no such attempt"));
}

void engine_emulator::answerState(const httplib::Request&, httplib::Response& response)
{
    auto state = m_models.state(clock::now());
    state.attempts = m_batch.attempts();
    answer(response, 200, formatState(state));
}

void engine_emulator::answerLoad(const httplib::Request&, httplib::Response& response)
{
    answer(response, 200, formatLoad(m_batch.reportedLoad()));
}

void engine_emulator::answerCacheEvents(const httplib::Request& request, httplib::Response& response)
{
    const auto after = numberParameter<std::uint64_t>(request, "after");
    answer(response, after ? 200 : 400,
        after ? formatCacheEvents(m_batch.cacheEventsAfter(*after))
              : formatCode("bad_request", "after must be a number"));
}

void engine_emulator::answerHealth(const httplib::Request& request, httplib::Response& response)
{
    std::string body = "{\"status\":\"ok\"}";
    if (request.has_param("attempt"))
        body = m_batch.find(request.get_param_value("attempt")) ? "{\"status\":\"ok\",\"has_attempt\":true}"
                                                                : "{\"status\":\"ok\",\"has_attempt\":false}";
    answer(response, 200, body);
}

void engine_emulator::takeOrder(const httplib::Request& request, httplib::Response& response)
{
    const auto order = parseOrder(request.body);
    if (!order) {
        answer(response, 400, formatCode("bad_request", order.error().message));
        return;
    }
    switch (m_models.take(order.value(), clock::now())) {
    case order_outcome::Done:
        answer(response, 200, "{}");
        break;
    case order_outcome::Started:
        answer(response, 202, "{}");
        break;
    case order_outcome::StaleFencing:
        answer(response, 409, formatCode("stale_fencing", "a higher fencing number was seen"));
        break;
    case order_outcome::NotLoaded:
        answer(response, 409, formatCode("not_loaded", "the model is not loaded"));
        break;
    }
}

bool engine_emulator::rejectByFault(httplib::Response& response) const
{
    const std::string code = m_faults.rejection();
    if (code.empty())
        return false;
    int status = 500;
    if (code == "queue_full")
        status = 429;
    else if (code == "draining")
        status = 503;
    else if (code == "not_loaded")
        status = 409;
    answer(response, status, formatCode(code, "rejected by a fault switch"));
    return true;
}

void engine_emulator::openStream(const std::shared_ptr<emulated_attempt>& attempt, std::uint64_t epoch,
    std::uint32_t from, httplib::Response& response)
{
    auto stream = std::make_shared<open_stream>();
    stream->attempt = attempt;
    stream->epoch = epoch;
    stream->next = from;
    stream->plan = m_faults.takeStreamPlan();
    const bool isReader = attempt->openReader(epoch);
    response.set_header("Engine-Load", formatEngineLoad(m_batch.reportedLoad()));
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, stream](std::size_t, httplib::DataSink& sink) {
            return writeStream(
                *stream, [&sink](const std::string& bytes) { return sink.write(bytes.data(), bytes.size()); },
                [&sink] { sink.done(); });
        },
        [stream, isReader](bool) {
            if (isReader)
                stream->attempt->closeReader(stream->epoch, clock::now());
        });
}

bool engine_emulator::writeStream(
    open_stream& stream, const std::function<bool(const std::string&)>& write, const std::function<void()>& done)
{
    const auto read = stream.attempt->read(stream.epoch, stream.next, ReaderCheckPeriod);
    m_faults.waitWhilePaused();
    switch (read.what) {
    case attempt_read::kind::Nothing:
        return true;
    case attempt_read::kind::Cancelled:
        return false;
    case attempt_read::kind::Tokens:
        return writeTokens(stream, read.tokens, write, done);
    case attempt_read::kind::Superseded:
        write("event: superseded\ndata: {}\n\n");
        break;
    case attempt_read::kind::Done: {
        const auto prefill = m_batch.prefillOf(stream.attempt->request().id.text());
        write(formatDone({ stream.attempt->finishReason(), stream.attempt->length(), prefill.promptTokens,
            prefill.cachedTokens, m_batch.reportedLoad() }));
        break;
    }
    }
    done();
    return true;
}

bool engine_emulator::writeTokens(open_stream& stream, const token_list& tokens,
    const std::function<bool(const std::string&)>& write, const std::function<void()>& done)
{
    const bool faulty = stream.plan.fault != stream_fault::None;
    std::string bytes;
    for (const token_id id : tokens) {
        if (faulty && stream.sent >= stream.plan.after)
            break;
        bytes += formatToken(stream.next++, id);
        ++stream.sent;
    }
    const bool breaks = faulty && stream.sent >= stream.plan.after;
    if (breaks && stream.plan.fault == stream_fault::Garbage)
        bytes += "data: {\"position\":\x01\xff garbage\n\n";
    if (!bytes.empty() && !write(bytes))
        return false;
    if (breaks && stream.plan.fault == stream_fault::Reset)
        return false;
    if (breaks)
        done();
    return true;
}

} // namespace oriolepick
