#include "node/completion_stream.h"

#include "node/cursor_codec.h"
#include "node/error_body.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    using json = nlohmann::json;

    constexpr std::chrono::seconds PollPeriod { 1 };

    std::string dumped(const json& value)
    {
        return value.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    const char* finishReasonName(finish_reason reason)
    {
        return reason == finish_reason::Length ? "length" : "stop";
    }

    json choice(const std::string& text, const json& finishReason)
    {
        json value;
        value["index"] = 0;
        value["text"] = text;
        value["finish_reason"] = finishReason;
        return value;
    }

} // namespace

completion_stream::completion_stream(std::unique_ptr<generation_session> session, cursor cursorTemplate,
    const cursor_codec& codec, std::chrono::seconds cursorLifetime, std::string modelName)
    : m_session(std::move(session))
    , m_cursor(std::move(cursorTemplate))
    , m_codec(codec)
    , m_cursorLifetime(cursorLifetime)
    , m_modelName(std::move(modelName))
{
}

completion_stream::~completion_stream() = default;

error completion_stream::problem() const
{
    const auto& end = m_session->end();
    return { end.kind, end.handedOver ? "the stream goes on at another node or reader" : "the generation ended",
        end.retryAfter };
}

result<void> completion_stream::begin()
{
    m_session->start();
    m_session->wait(instant::max());
    if (m_session->ended() && !m_session->end().finished && !m_session->hasTokens())
        return problem();
    return success();
}

std::string completion_stream::eventFor(const session_token& token)
{
    m_cursor.attempt = token.attempt;
    m_cursor.target = token.target;
    m_cursor.answerDigest = token.delivered.digest;
    m_cursor.nextPosition = token.delivered.position + 1;
    m_cursor.readerEpoch = m_session->readerEpoch();
    m_cursor.expiry = std::chrono::system_clock::now() + m_cursorLifetime;
    json body;
    body["id"] = m_cursor.key.key;
    body["object"] = "text_completion";
    body["model"] = m_modelName;
    body["choices"] = json::array({ choice(token.delivered.value.text, nullptr) });
    body["oriolepick"]["position"] = token.delivered.position;
    body["oriolepick"]["token_id"] = token.delivered.value.id;
    return "id: " + m_codec.encode(m_cursor) + "\ndata: " + dumped(body) + "\n\n";
}

std::string completion_stream::finalEvents() const
{
    const auto& end = m_session->end();
    if (end.finished) {
        json body;
        body["id"] = m_cursor.key.key;
        body["object"] = "text_completion";
        body["model"] = m_modelName;
        body["choices"] = json::array({ choice("", finishReasonName(*end.finished)) });
        return "data: " + dumped(body) + "\n\ndata: [DONE]\n\n";
    }
    // A handed-over stream is no error for the caller: it reconnects with its last cursor.
    return std::string("event: ") + (end.handedOver ? "reconnect" : "error") + "\ndata: " + errorBody(problem())
        + "\n\n";
}

std::string completion_stream::nextEvents(instant limit)
{
    m_session->wait(limit);
    std::string events;
    for (const auto& token : m_session->takeTokens())
        events += eventFor(token);
    if (m_session->ended()) {
        events += finalEvents();
        m_finished = true;
    }
    return events;
}

result<std::string> completion_stream::collect()
{
    std::string text;
    json ids = json::array();
    while (!m_finished) {
        m_session->wait(std::chrono::steady_clock::now() + PollPeriod);
        for (const auto& token : m_session->takeTokens()) {
            text += token.delivered.value.text;
            ids.push_back(token.delivered.value.id);
        }
        m_finished = m_session->ended();
    }
    if (!m_session->end().finished)
        return problem();
    json body;
    body["id"] = m_cursor.key.key;
    body["object"] = "text_completion";
    body["model"] = m_modelName;
    body["choices"] = json::array({ choice(text, finishReasonName(*m_session->end().finished)) });
    body["usage"]["prompt_tokens"] = m_session->request().generation.promptTokens;
    body["usage"]["completion_tokens"] = ids.size();
    body["oriolepick"]["token_ids"] = ids;
    return dumped(body);
}

} // namespace oriolepick
