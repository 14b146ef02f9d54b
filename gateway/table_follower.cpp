#include "gateway/table_follower.h"

namespace oriolepick {

table_follower::table_follower(consumer rows)
    : m_consumer(std::move(rows))
    , m_replica(m_consumer.classify, m_consumer.versionOf, m_consumer.keepsRevision)
{
}

bool table_follower::needsWholeTable(const row_answer& answer, const store_version& after)
{
    // In a later epoch, the number may have been handed out again, so that the store does not report a lost history.
    return answer.status == row_status::HistoryLost
        || (answer.status == row_status::Done && answer.revision.epoch() > after.epoch());
}

bool table_follower::mergeRead(const row_answer& answer, bool whole)
{
    const auto revision = withKnownEpoch(answer.revision);
    // Other nodes sent newer changes during this read, or the store returned an outdated state.
    if (m_replica.isLoaded() && revision < m_replica.readRevision())
        return false;
    if (whole) {
        m_replica.replaceAll(answer.rows, revision);
        m_consumer.onAll(answer.rows);
    } else {
        m_replica.applyChanges(answer.rows, revision, {}, m_consumer.onChange);
    }
    return true;
}

// The numbers of a store or node that reports no epoch count as those of the known epoch.
store_version table_follower::withKnownEpoch(const store_version& revision) const
{
    return { revision.epoch() ? revision.epoch() : m_replica.readRevision().epoch(), revision.number() };
}

// A node of an earlier release reports neither epochs nor versions.
news_batch table_follower::withKnownEpoch(const news_batch& batch) const
{
    auto known = batch;
    if (batch.readRevision.epoch())
        return known;
    known.readRevision = withKnownEpoch(batch.readRevision);
    known.changeRevision.stored = withKnownEpoch(batch.changeRevision.stored);
    known.changeRevision.version = m_replica.changeRevision().version;
    return known;
}

news_batch table_follower::changesAfter(const std::optional<content_revision>& changeRevision) const
{
    auto batch = m_replica.changesAfter(changeRevision);
    batch.departures = departures();
    return batch;
}

std::vector<target_departure> table_follower::departures() const
{
    return m_consumer.departures ? m_consumer.departures() : std::vector<target_departure> {};
}

void table_follower::mergeDepartures(const std::vector<target_departure>& departures)
{
    if (m_consumer.onDepartures && !departures.empty())
        m_consumer.onDepartures(departures);
}

bool table_follower::mergePulled(const news_batch& received, const content_revision& requestedRevision)
{
    mergeDepartures(received.departures);
    const auto batch = withKnownEpoch(received);
    // Changes that arrived by another way in the meantime may be newer than this batch.
    const auto isNewerThanReplica = [&] {
        return m_replica.changeRevision() == requestedRevision && batch.changeRevision > requestedRevision
            && (batch.changeRevision.version > requestedRevision.version
                || batch.readRevision >= m_replica.readRevision());
    };
    if (!(m_replica.isLoaded() ? isNewerThanReplica() : batch.whole))
        return false;
    if (batch.whole) {
        m_replica.replaceAll(batch.rows, batch.readRevision, batch.changeRevision);
        m_consumer.onAll(batch.rows);
    } else {
        m_replica.applyChanges(batch.rows, batch.readRevision, batch.changeRevision, m_consumer.onChange);
    }
    return true;
}

topic_version table_follower::version(instant asOf) const
{
    return { m_replica.changeRevision(), m_replica.readRevision(), asOf };
}

} // namespace oriolepick
