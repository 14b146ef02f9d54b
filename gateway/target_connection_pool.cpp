#include "gateway/target_connection_pool.h"

#include "gateway/target_connection.h"

#include <algorithm>

namespace oriolepick {

target_connection_pool::target_connection_pool(boost::asio::io_context& loop, const request_dialect& dialect,
    memory_budget& memory, const tcp_connection_settings& settings)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_memory(memory)
    , m_settings(settings)
{
}

std::shared_ptr<target_connection> target_connection_pool::take(
    const std::string& address, std::string_view attempt, instant now)
{
    auto& idleConnections = m_idleConnections[address];
    for (auto position = idleConnections.size(); position--;) {
        auto connection = idleConnections[position];
        const bool isUsable = connection->canSend() && now < connection->reusableUntil();
        if (isUsable && !connection->accepts(attempt))
            continue; // another attempt can use it
        idleConnections.erase(idleConnections.begin() + static_cast<std::ptrdiff_t>(position));
        if (isUsable)
            return connection;
        connection->abandon();
    }
    ++m_openedConnections;
    return std::make_shared<target_connection>(m_loop, m_dialect, m_memory, m_settings, address);
}

void target_connection_pool::release(std::shared_ptr<target_connection> connection)
{
    m_idleConnections[connection->address()].push_back(std::move(connection));
}

void target_connection_pool::expire(instant now)
{
    for (auto entry = m_idleConnections.begin(); entry != m_idleConnections.end();) {
        auto& connections = entry->second;
        connections.erase(std::remove_if(connections.begin(), connections.end(),
                              [now](const auto& connection) {
                                  const bool expired = !connection->canSend() || now >= connection->reusableUntil();
                                  if (expired)
                                      connection->abandon();
                                  return expired;
                              }),
            connections.end());
        entry = connections.empty() ? m_idleConnections.erase(entry) : std::next(entry);
    }
}

void target_connection_pool::closeIdle(const std::string& address)
{
    const auto entry = m_idleConnections.find(address);
    if (entry == m_idleConnections.end())
        return;
    for (const auto& connection : entry->second)
        connection->abandon();
    m_idleConnections.erase(entry);
}

std::size_t target_connection_pool::idleConnections() const
{
    std::size_t count = 0;
    for (const auto& [address, connections] : m_idleConnections)
        count += connections.size();
    return count;
}

} // namespace oriolepick
