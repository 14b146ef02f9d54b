#include "standins/fake_table.h"

namespace oriolepick {

namespace {

    error unavailable()
    {
        return error { error_kind::PlatformUnavailable, "the table service is down", {} };
    }

    error unknown()
    {
        return error { error_kind::PlatformUnknown, "the table's response was lost", {} };
    }

} // namespace

fake_table::fake_table(std::uint64_t seed)
    : m_faults(seed)
{
}

result<table_outcome> fake_table::commit(const table_transaction& transaction, std::chrono::milliseconds)
{
    const auto decision = m_faults.next(true);
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_commits;
    if (decision.refuse)
        return unavailable();
    if (decision.delayBefore.count() > 0) {
        m_held.push_back(transaction);
        return unknown();
    }
    auto outcome = m_table.commit(transaction);
    if (decision.loseResponse)
        return unknown();
    return outcome;
}

result<std::optional<table_row>> fake_table::read(const std::string& key, std::chrono::milliseconds) const
{
    const auto decision = m_faults.next(false);
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_reads;
    if (decision.refuse)
        return unavailable();
    return m_table.read(key);
}

result<std::vector<table_row>> fake_table::scan(
    const std::string& prefix, const std::string& after, std::size_t limit, std::chrono::milliseconds) const
{
    const auto decision = m_faults.next(false);
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_reads;
    if (decision.refuse)
        return unavailable();
    return m_table.scan(prefix, after, limit);
}

void fake_table::setFaults(const platform_faults& faults)
{
    m_faults.set(faults);
}

bool fake_table::releaseHeld()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_held.empty())
        return false;
    m_table.commit(m_held.front());
    m_held.erase(m_held.begin());
    return true;
}

std::size_t fake_table::commits() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_commits;
}

std::size_t fake_table::reads() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_reads;
}

} // namespace oriolepick
