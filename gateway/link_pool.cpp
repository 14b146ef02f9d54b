#include "gateway/link_pool.h"

#include "gateway/target_link.h"

#include <algorithm>

namespace oriolepick {

link_pool::link_pool(boost::asio::io_context& loop, const request_dialect& dialect, const channel_settings& settings)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_settings(settings)
{
}

std::shared_ptr<target_link> link_pool::take(const std::string& address, instant now)
{
    auto& idle = m_idle[address];
    while (!idle.empty()) {
        auto link = std::move(idle.back());
        idle.pop_back();
        if (link->isOpen() && now < link->usableUntil())
            return link;
        link->abandon();
    }
    ++m_opened;
    return std::make_shared<target_link>(m_loop, m_dialect, m_settings, address);
}

void link_pool::giveBack(std::shared_ptr<target_link> link)
{
    m_idle[link->address()].push_back(std::move(link));
}

void link_pool::expire(instant now)
{
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        auto& links = entry->second;
        links.erase(std::remove_if(links.begin(), links.end(),
                        [now](const auto& link) {
                            const bool expired = !link->isOpen() || now >= link->usableUntil();
                            if (expired)
                                link->abandon();
                            return expired;
                        }),
            links.end());
        entry = links.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

void link_pool::drop(const std::string& address)
{
    const auto entry = m_idle.find(address);
    if (entry == m_idle.end())
        return;
    for (const auto& link : entry->second)
        link->abandon();
    m_idle.erase(entry);
}

std::size_t link_pool::idle() const
{
    std::size_t count = 0;
    for (const auto& [address, links] : m_idle)
        count += links.size();
    return count;
}

} // namespace oriolepick
