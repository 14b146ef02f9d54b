#include "routing/place_allocator.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    template <typename actions> void append(actions& out, actions more)
    {
        out.insert(out.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }

} // namespace

place_allocator::place_allocator(
    const place_directory& directory, const place_allocator_settings& settings, seeded_random random)
    : m_directory(directory)
    , m_settings(settings)
    , m_random(random)
{
}

place_account* place_allocator::accountOf(const place_shard& shard, instant now)
{
    const auto found = m_accounts.find(shard);
    if (found != m_accounts.end())
        return &found->second;
    const auto* service = m_directory.find(shard.service);
    if (!service || m_accounts.size() >= m_settings.maxShards)
        return nullptr;
    const auto targets = m_directory.targetsIn(shard);
    if (targets.empty())
        return nullptr;
    auto& account
        = m_accounts.emplace(shard, place_account(shard, m_settings.account, seeded_random(m_random.next()), now))
              .first->second;
    account.setTargets(*service, targets, now);
    return &account;
}

place_allocator::actions place_allocator::receive(const node_id& from, const place_message& message, instant now)
{
    actions out;
    append(out, followDirectory(now));
    const auto deliver = [&](const place_shard& shard, auto handle) {
        if (auto* account = accountOf(shard, now))
            append(out, handle(*account));
    };
    if (const auto* request = std::get_if<place_request>(&message)) {
        deliver(request->shard,
            [&](place_account& account) { return account.request(from, m_directory.zoneOf(from), *request, now); });
    } else if (const auto* state = std::get_if<place_state>(&message)) {
        deliver(state->shard, [&](place_account& account) { return account.state(from, state->report, now); });
    } else if (const auto* cancel = std::get_if<place_cancel>(&message)) {
        deliver(cancel->shard, [&](place_account& account) { return account.cancel(from, cancel->number, now); });
    } else if (const auto* renewal = std::get_if<place_renewal>(&message)) {
        deliver(renewal->shard, [&](place_account& account) { return account.renew(from, *renewal, now); });
    }
    return out;
}

place_allocator::actions place_allocator::followDirectory(instant now)
{
    actions out;
    if (m_seenRevision == m_directory.revision())
        return out;
    m_seenRevision = m_directory.revision();
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        const auto* service = m_directory.find(entry->first.service);
        if (!service) {
            entry = m_accounts.erase(entry);
            continue;
        }
        append(out, entry->second.removeDeadNodes(m_directory, now));
        append(out, entry->second.setTargets(*service, m_directory.targetsIn(entry->first), now));
        ++entry;
    }
    return out;
}

place_allocator::actions place_allocator::tick(instant now)
{
    auto out = followDirectory(now);
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        if (now >= entry->second.nextDue())
            append(out, entry->second.tick(now));
        const bool isIdle = now - entry->second.usedAt() > m_settings.idleRetention && !entry->second.waiting();
        entry = isIdle ? m_accounts.erase(entry) : std::next(entry);
    }
    return out;
}

instant place_allocator::nextDue() const
{
    auto due = instant::max();
    for (const auto& [shard, account] : m_accounts)
        due = std::min(
            { due, account.nextDue(), account.usedAt() + m_settings.idleRetention + std::chrono::seconds(1) });
    return due;
}

const place_account* place_allocator::find(const place_shard& shard) const
{
    const auto found = m_accounts.find(shard);
    return found == m_accounts.end() ? nullptr : &found->second;
}

std::size_t place_allocator::waiting() const
{
    std::size_t sum = 0;
    for (const auto& [shard, account] : m_accounts)
        sum += account.waiting();
    return sum;
}

} // namespace oriolepick
