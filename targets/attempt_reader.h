/// \file
/// Turns the response of a streaming engine call into calls of an attempt_sink.
#pragma once

#include "core/memory_reservation.h"
#include "targets/engine_client.h"
#include "targets/event_stream_parser.h"
#include "targets/http_exchange.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace oriolepick {

/// Reads one response. Checks that positions follow each other from the first one wanted, so that a faulty engine
/// cannot leave out or repeat a token.
class attempt_reader {
public:
    /// \param from position of the first token expected
    /// \param memory limits what all readers hold of incomplete events; outlives this object
    attempt_reader(attempt_sink& sink, std::uint32_t from, event_stream_limits limits, memory_budget& memory);

    /// Takes the status line and headers. \return whether to read on
    bool takeHead(int status, const header_list& headers);

    /// Takes the next bytes of the body. \return whether to read on
    bool takeBody(std::string_view bytes);

    /// Reports the end of the exchange to the sink, unless the end was reported before.
    void finish(const exchange_result& exchanged);

private:
    bool takeEvent(const stream_event& event);
    bool takeToken(std::string_view data);
    bool takeSummary(std::string_view data);
    void reportRejection();
    bool breakOff(stream_break reason, const std::string& detail);

    attempt_sink& m_sink;
    std::uint32_t m_next;
    event_stream_parser m_parser;
    memory_reservation m_memory; ///< of the incomplete event in the parser
    int m_status = 0;
    std::string m_rejection; ///< body of a response other than 200
    bool m_ended = false; ///< the sink got its last call, or stopped
};

} // namespace oriolepick
