#include "standins/emulated_attempt.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

emulated_attempt::emulated_attempt(attempt_request request, std::uint64_t salt)
    : m_request(std::move(request))
    , m_answer(m_request.model, m_request.seed, m_request.prompt)
    , m_salt(salt)
    , m_length(std::max(m_answer.length(m_request.maxTokens), static_cast<std::uint32_t>(m_request.prefix.size())))
    , m_tokens(m_request.prefix)
    , m_digest(digestOf(m_request.prefix))
{
}

bool emulated_attempt::computeToken()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_tokens.size() < m_length) {
        const auto position = static_cast<std::uint32_t>(m_tokens.size());
        m_tokens.push_back(m_answer.tokenAfter(m_digest, position, m_salt).id);
        m_digest = extendDigest(m_digest, m_tokens.back());
    }
    m_changed.notify_all();
    return m_tokens.size() >= m_length;
}

void emulated_attempt::cancel()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cancelled = true;
    m_changed.notify_all();
}

bool emulated_attempt::cancelled() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_cancelled;
}

bool emulated_attempt::complete() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_tokens.size() >= m_length;
}

bool emulated_attempt::openReader(std::uint64_t epoch)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_epoch && epoch <= *m_epoch)
        return false;
    m_epoch = epoch;
    m_readerOpen = true;
    m_changed.notify_all();
    return true;
}

void emulated_attempt::closeReader(std::uint64_t epoch, instant now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_epoch != epoch)
        return;
    m_readerOpen = false;
    m_readerLeft = now;
}

bool emulated_attempt::unreadFor(std::chrono::milliseconds duration, instant now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_epoch && !m_readerOpen && now - m_readerLeft >= duration;
}

attempt_read emulated_attempt::read(std::uint64_t epoch, std::uint32_t position, std::chrono::milliseconds wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    attempt_read found;
    m_changed.wait_for(lock, wait, [&] {
        found = readNow(epoch, position);
        return found.what != attempt_read::kind::Nothing;
    });
    return found;
}

std::uint32_t emulated_attempt::computed() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::uint32_t>(m_tokens.size());
}

attempt_read emulated_attempt::readNow(std::uint64_t epoch, std::uint32_t position) const
{
    if (m_epoch != epoch)
        return { attempt_read::kind::Superseded, {} };
    if (position < m_tokens.size())
        return { attempt_read::kind::Tokens, token_list(m_tokens.begin() + position, m_tokens.end()) };
    if (m_tokens.size() >= m_length)
        return { attempt_read::kind::Done, {} };
    return { m_cancelled ? attempt_read::kind::Cancelled : attempt_read::kind::Nothing, {} };
}

} // namespace oriolepick
