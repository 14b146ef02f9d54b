#include "targets/attempt_reader.h"

#include "targets/engine_messages.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <array>

namespace oriolepick {

namespace {

    // Rejections are small JSON objects; more is not read.
    constexpr std::size_t MaxRejectionBytes = 4096;

    struct rejection_row {
        int status;
        std::string_view code;
        stream_break reason;
    };

    // Only rejections listed here are proven not to have run. Any other answer may come from a fault after the start:
    // the status alone proves nothing.
    constexpr std::array<rejection_row, 5> Rejections { {
        { 400, "bad_request", stream_break::Invalid },
        { 404, "unknown_attempt", stream_break::UnknownAttempt },
        { 409, "not_loaded", stream_break::NotLoaded },
        { 429, "queue_full", stream_break::QueueFull },
        { 503, "draining", stream_break::Draining },
    } };

} // namespace

attempt_reader::attempt_reader(
    attempt_sink& sink, std::uint32_t from, event_stream_limits limits, memory_budget& memory)
    : m_sink(sink)
    , m_next(from)
    , m_parser(limits)
    , m_memory(memory)
{
}

bool attempt_reader::takeHead(int status, const header_list& headers)
{
    m_status = status;
    if (status != 200)
        return true;
    std::optional<engine_load> load;
    bool isEventStream = false;
    for (const auto& [name, value] : headers) {
        if (absl::EqualsIgnoreCase(name, "Engine-Load"))
            load = parseEngineLoad(value);
        else if (absl::EqualsIgnoreCase(name, "Content-Type"))
            isEventStream = absl::StartsWithIgnoreCase(value, "text/event-stream");
    }
    if (!isEventStream)
        return breakOff(stream_break::Malformed, "response is not an event stream");
    m_ended = m_sink.accepted(load) == read_decision::Stop;
    return !m_ended;
}

bool attempt_reader::takeBody(std::string_view bytes)
{
    if (m_status != 200) {
        m_rejection.append(bytes.substr(0, MaxRejectionBytes - m_rejection.size()));
        return m_rejection.size() < MaxRejectionBytes;
    }
    const auto status = m_parser.feed(bytes, [this](const stream_event& event) { return takeEvent(event); });
    if (status == event_stream_parser::status::Malformed)
        return breakOff(stream_break::Malformed, m_parser.fault());
    if (!m_memory.tryResize(m_parser.heldBytes()))
        return breakOff(stream_break::Malformed,
            absl::StrCat("no memory for an event of more than ", m_parser.heldBytes(), " bytes beside the others"));
    return status == event_stream_parser::status::Ok;
}

bool attempt_reader::takeEvent(const stream_event& event)
{
    if (event.name.empty())
        return takeToken(event.data);
    if (event.name == "done")
        return takeSummary(event.data);
    if (event.name == "superseded")
        return breakOff(stream_break::Superseded, "a reader with a higher epoch attached");
    return breakOff(stream_break::Malformed, "unknown event");
}

bool attempt_reader::takeToken(std::string_view data)
{
    const auto message = parseToken(data);
    if (!message)
        return breakOff(stream_break::Malformed, message.error().message);
    if (message.value().position != m_next)
        return breakOff(
            stream_break::Malformed, absl::StrCat("position ", message.value().position, " instead of ", m_next));
    ++m_next;
    m_ended = m_sink.tokenArrived(message.value().position, message.value().next) == read_decision::Stop;
    return !m_ended;
}

bool attempt_reader::takeSummary(std::string_view data)
{
    const auto summary = parseSummary(data);
    if (!summary)
        return breakOff(stream_break::Malformed, summary.error().message);
    if (summary.value().length != m_next)
        return breakOff(stream_break::Malformed,
            absl::StrCat("end event says length ", summary.value().length, " after ", m_next, " positions"));
    m_ended = true;
    m_sink.done(summary.value());
    return false;
}

void attempt_reader::finish(const exchange_result& exchanged)
{
    if (m_ended)
        return;
    switch (exchanged.end) {
    case exchange_end::NotSent:
        breakOff(exchanged.refused ? stream_break::ConnectRefused : stream_break::NotSent, exchanged.detail);
        return;
    case exchange_end::Lost:
        breakOff(stream_break::Reset, exchanged.detail);
        return;
    case exchange_end::Malformed:
        breakOff(stream_break::Malformed, exchanged.detail);
        return;
    case exchange_end::TimedOut:
        breakOff(stream_break::Timeout, exchanged.detail);
        return;
    case exchange_end::Aborted:
        breakOff(stream_break::Aborted, exchanged.detail);
        return;
    case exchange_end::Complete:
    case exchange_end::Stopped:
        break;
    }
    if (m_status == 200)
        breakOff(stream_break::Truncated, "response ended without an end event");
    else
        reportRejection();
}

void attempt_reader::reportRejection()
{
    const std::string code = parseCode(m_rejection);
    for (const auto& row : Rejections) {
        if (row.status == m_status && row.code == code) {
            breakOff(row.reason, absl::StrCat("status ", m_status, " ", code));
            return;
        }
    }
    breakOff(stream_break::Malformed, absl::StrCat("status ", m_status, " ", code));
}

bool attempt_reader::breakOff(stream_break reason, const std::string& detail)
{
    if (!std::exchange(m_ended, true))
        m_sink.broken(reason, detail);
    return false;
}

} // namespace oriolepick
