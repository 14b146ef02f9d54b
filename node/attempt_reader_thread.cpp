#include "node/attempt_reader_thread.h"

#include "node/event_channel.h"

namespace oriolepick {

namespace {

    /// Turns the events of a streaming call into events of a generation.
    class channel_sink final : public attempt_sink {
    public:
        channel_sink(attempt_id attempt, bool attach, event_channel& events, const attempt_observer& observer)
            : m_attempt(std::move(attempt))
            , m_attach(attach)
            , m_events(events)
            , m_observer(observer)
            , m_sent(std::chrono::steady_clock::now())
        {
        }

        read_decision accepted(const std::optional<engine_load>& load) override
        {
            if (load && m_observer.loadReported)
                m_observer.loadReported(*load, m_sent);
            m_events.push(attempt_accepted { m_attempt });
            return read_decision::Continue;
        }

        read_decision tokenArrived(std::uint32_t position, const token& next) override
        {
            m_events.push(token_arrived { m_attempt, position, next });
            return read_decision::Continue;
        }

        void done(const attempt_summary& summary) override
        {
            if (summary.load && m_observer.loadReported)
                m_observer.loadReported(*summary.load, m_sent);
            const auto reason = summary.finishReason == "length" ? finish_reason::Length : finish_reason::Stop;
            m_events.push(attempt_done { m_attempt, reason, summary.length });
        }

        void broken(stream_break reason, const std::string&) override
        {
            switch (reason) {
            case stream_break::ConnectRefused:
                return m_attach ? breakWith(break_reason::Refused) : reject(reject_reason::NotSent);
            case stream_break::NotSent:
                return m_attach ? breakWith(break_reason::Reset) : reject(reject_reason::NotSent);
            case stream_break::NotLoaded:
            case stream_break::Invalid:
                return reject(reject_reason::NotLoaded);
            case stream_break::QueueFull:
                return reject(reject_reason::QueueFull);
            case stream_break::Draining:
                return reject(reject_reason::Draining);
            case stream_break::Reset:
            case stream_break::Timeout:
                return breakWith(break_reason::Reset);
            case stream_break::Truncated:
            case stream_break::Malformed:
                return breakWith(break_reason::Truncated);
            case stream_break::Superseded:
                return breakWith(break_reason::Superseded);
            case stream_break::UnknownAttempt:
                return breakWith(break_reason::UnknownAttempt);
            case stream_break::Aborted:
                return;
            }
        }

    private:
        void reject(reject_reason reason) { m_events.push(attempt_rejected { m_attempt, reason, {} }); }
        void breakWith(break_reason reason) { m_events.push(attempt_broken { m_attempt, reason }); }

        attempt_id m_attempt;
        bool m_attach;
        event_channel& m_events;
        const attempt_observer& m_observer;
        instant m_sent;
    };

} // namespace

attempt_reader_thread::attempt_reader_thread(engine_client& engines, std::string address, attempt_request request,
    stream_timeouts timeouts, std::shared_ptr<event_channel> events, attempt_observer observer)
    : m_thread([this, &engines, address = std::move(address), request = std::move(request), timeouts,
                   events = std::move(events), observer = std::move(observer)] {
        channel_sink sink(request.id, false, *events, observer);
        engines.start(address, request, timeouts, sink, m_abort);
    })
{
}

attempt_reader_thread::attempt_reader_thread(engine_client& engines, std::string address, attempt_id attempt,
    std::uint32_t from, std::uint64_t readerEpoch, stream_timeouts timeouts, std::shared_ptr<event_channel> events,
    attempt_observer observer)
    : m_thread([this, &engines, address = std::move(address), attempt = std::move(attempt), from, readerEpoch, timeouts,
                   events = std::move(events), observer = std::move(observer)] {
        channel_sink sink(attempt, true, *events, observer);
        engines.attach(address, attempt, from, readerEpoch, timeouts, sink, m_abort);
    })
{
}

attempt_reader_thread::~attempt_reader_thread()
{
    m_abort.abort();
    m_thread.join();
}

} // namespace oriolepick
