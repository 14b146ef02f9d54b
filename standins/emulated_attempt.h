/// \file
/// One attempt on an emulated engine: its tokens and its reader.
#pragma once

#include "core/instant.h"
#include "core/token.h"
#include "standins/expected_answer.h"
#include "targets/engine_client.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// What a reader learns from one read.
struct attempt_read {
    enum class kind { Tokens, Done, Superseded, Cancelled, Nothing };
    kind what = kind::Nothing;
    token_list tokens; ///< follow the position asked for
};

/// The batch adds tokens, at most one reader takes them. Thread-safe.
class emulated_attempt {
public:
    emulated_attempt(attempt_request request, std::uint64_t salt);

    const attempt_request& request() const { return m_request; }
    std::uint32_t length() const { return m_length; } ///< tokens of the whole answer
    std::string finishReason() const { return m_answer.finishReason(m_request.maxTokens); }

    /// Computes the next token.
    /// \return whether the answer is complete
    bool computeToken();

    void cancel();
    bool cancelled() const;
    bool complete() const;

    /// Makes the caller the reader, unless an equal or higher epoch has read. The reader before it is superseded.
    bool openReader(std::uint64_t epoch);

    /// Ends a reader; nothing happens if it was superseded.
    void closeReader(std::uint64_t epoch, instant now);

    /// \return whether there has been no reader for \p duration
    bool unreadFor(std::chrono::milliseconds duration, instant now) const;

    /// Waits for tokens from \p position on.
    attempt_read read(std::uint64_t epoch, std::uint32_t position, std::chrono::milliseconds wait);

    /// \return number of tokens computed, including the prefix
    std::uint32_t computed() const;

private:
    attempt_read readNow(std::uint64_t epoch, std::uint32_t position) const;

    const attempt_request m_request;
    const answer_function m_answer;
    const std::uint64_t m_salt;
    const std::uint32_t m_length;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    token_list m_tokens;
    std::uint64_t m_digest;
    bool m_cancelled = false;
    std::optional<std::uint64_t> m_epoch; ///< highest epoch that has read
    bool m_readerOpen = false;
    instant m_readerLeft;
};

} // namespace oriolepick
