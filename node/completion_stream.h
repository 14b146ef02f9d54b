/// \file
/// One completion as the caller sees it: server-sent events with signed cursors, or one JSON answer.
#pragma once

#include "core/error.h"
#include "node/cursor.h"
#include "node/generation_session.h"

#include <memory>
#include <optional>
#include <string>

namespace oriolepick {

class cursor_codec;

/// The output side of a generation session. Used by one thread.
class completion_stream {
public:
    /// \param session a session that was not started
    /// \param cursorTemplate the fields of the cursor that stay the same
    completion_stream(std::unique_ptr<generation_session> session, cursor cursorTemplate, const cursor_codec& codec,
        std::chrono::seconds cursorLifetime, std::string modelName);
    ~completion_stream();

    /// Starts the generation and waits for the first token or the end.
    /// \return the error if it ended without any token
    result<void> begin();

    /// Waits for output.
    /// \return events as text, empty when none came until \p limit
    std::string nextEvents(instant limit);

    /// \return whether the last event was returned
    bool finished() const { return m_finished; }

    /// Runs to the end and returns one JSON body with the whole text.
    result<std::string> collect();

    void callerDisconnected() { m_session->callerDisconnected(); }

    /// \return how the session ended, for counters; nothing while it runs
    const session_end* end() const { return m_session->ended() ? &m_session->end() : nullptr; }
    const generation_session& session() const { return *m_session; }

private:
    std::string eventFor(const session_token& token);
    std::string finalEvents() const;
    error problem() const;

    std::unique_ptr<generation_session> m_session;
    cursor m_cursor;
    const cursor_codec& m_codec;
    std::chrono::seconds m_cursorLifetime;
    std::string m_modelName;
    bool m_finished = false;
};

} // namespace oriolepick
