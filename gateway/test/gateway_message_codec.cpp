// Guards against messages between nodes that change in transfer, and against malformed messages that crash the process.
#include "gateway/gateway_message_codec.h"

#include "gateway/crash_news_codec.h"
#include "gateway/node_row.h"
#include "routing/test/revisions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

news_digest sampleDigest()
{
    news_digest digest;
    digest.of(store_topic::Configuration) = { true, { 4, { 2, 7 } }, { 2, 12 }, 30ms };
    digest.of(store_topic::Targets) = { true, { 0, { 1, 9 } }, { 2, 3 }, 40ms };
    digest.sinceFailedAttempt = 2s;
    digest.sinceRecovery = 70ms;
    digest.sentAt = 123'456'789ms;
    digest.reader = 4'000'000'000;
    return digest;
}

TEST(GatewayMessageCodec, DigestsRoundTrip)
{
    const auto decoded = decodeDatagram(encodeDatagram({ node_id("10.0.0.1:7200"), sampleDigest() }));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->sender.value(), "10.0.0.1:7200");
    const auto& digest = std::get<news_digest>(decoded->body);
    EXPECT_EQ(digest.of(store_topic::Configuration).changeRevision, (content_revision { 4, { 2, 7 } }));
    EXPECT_EQ(digest.of(store_topic::Configuration).readRevision, (store_version { 2, 12 }));
    EXPECT_EQ(digest.of(store_topic::Targets).changeRevision, changedAt(9));
    EXPECT_EQ(digest.of(store_topic::Targets).readRevision, (store_version { 2, 3 }));
    EXPECT_EQ(digest.of(store_topic::Configuration).age, 30ms);
    EXPECT_EQ(digest.sinceFailedAttempt, 2s);
    EXPECT_EQ(digest.sinceRecovery, 70ms);
    EXPECT_EQ(digest.sentAt, 123'456'789ms);
    EXPECT_EQ(digest.reader, 4'000'000'000U);
    EXPECT_FALSE(digest.isReply);
}

TEST(GatewayMessageCodec, ImpossibleDigestsAreRejected)
{
    EXPECT_FALSE(decodeDatagram(encodeDatagram({ node_id("nobody"), sampleDigest() })))
        << "the sender is not an address";
    auto digest = sampleDigest();
    digest.of(store_topic::Targets).changeRevision = { 0, { 2, 99 } };
    EXPECT_FALSE(decodeDatagram(encodeDatagram({ node_id("10.0.0.1:7200"), digest })))
        << "the change revision is above the read revision";
    EXPECT_FALSE(decodeDatagram(""));
}

TEST(GatewayMessageCodec, RunMessagesRoundTrip)
{
    const run_record record { { 1, ~std::uint64_t { 0 } }, node_id("10.0.0.1:7200"), "attempt", target_name("holder"),
        { "10.0.0.2:80", "copy" }, true };
    const auto sent = [](const run_message& message) {
        const auto decoded = decodeDatagram(encodeDatagram({ node_id("10.0.0.3:7200"), message }));
        return decoded ? std::get<run_message>(decoded->body) : run_message();
    };
    const auto put = std::get<run_record>(sent(record));
    EXPECT_TRUE(put.requestHash == record.requestHash);
    EXPECT_EQ(put.origin, record.origin);
    EXPECT_EQ(put.holder, record.holder);
    EXPECT_EQ(put.copy.address, "10.0.0.2:80");
    EXPECT_TRUE(put.resumed);
    EXPECT_EQ(std::get<run_question>(sent(run_question { record.requestHash, 7 })).number, 7U);
    EXPECT_FALSE(std::get<run_answer>(sent(run_answer { 7, std::nullopt })).record);
    EXPECT_EQ(std::get<run_answer>(sent(run_answer { 7, record })).record->copy.name, "copy");
    EXPECT_EQ(std::get<run_taken>(sent(run_taken { "attempt" })).attempt, "attempt");
    auto invalidAddress = record;
    invalidAddress.copy.address = "nowhere";
    EXPECT_FALSE(decodeDatagram(encodeDatagram({ node_id("10.0.0.3:7200"), run_message(invalidAddress) })));
}

TEST(GatewayMessageCodec, CrashMessagesRoundTrip)
{
    crash_news news { crash_news::purpose::Verdict, {}, quarantine_digest { 3, 99 } };
    news.notes.push_back({ 7, { { 8, target_name("t1"), 20ms }, { 9, target_name("t2"), 26h } }, 3s });
    news.notes.push_back({ ~request_fingerprint { 0 }, {}, std::nullopt });
    const auto sent = [](const crash_news& each) {
        return decodeDatagram(encodeDatagram({ node_id("10.0.0.3:7200"), each }));
    };
    const auto decoded = sent(news);
    ASSERT_TRUE(decoded);
    const auto& received = std::get<crash_news>(decoded->body);
    EXPECT_EQ(received.messagePurpose, crash_news::purpose::Verdict);
    ASSERT_EQ(received.notes.size(), 2U);
    EXPECT_EQ(received.notes[0].request, 7U);
    EXPECT_EQ(received.notes[0].sightings[1].target.value(), "t2");
    EXPECT_EQ(received.notes[0].sightings[1].age, 26h);
    EXPECT_EQ(received.notes[0].sinceCleared, 3s);
    EXPECT_FALSE(received.notes[1].sinceCleared);
    EXPECT_TRUE(received.digest == news.digest);
    auto withoutTarget = news;
    withoutTarget.notes[0].sightings[0].target = {};
    EXPECT_FALSE(sent(withoutTarget));
    auto tooManyNotes = news;
    tooManyNotes.notes.resize(MaxCrashNotes + 1);
    EXPECT_FALSE(sent(tooManyNotes)) << "more notes than a node sends";
    news.messagePurpose = static_cast<crash_news::purpose>(9);
    EXPECT_FALSE(sent(news));
}

TEST(GatewayMessageCodec, LimitMessagesRoundTrip)
{
    const target_limit_message message { limited_target("t1"), availability_zone("z1"),
        limit_notice { { { 4.2, 5 }, 30ms }, {}, false } };
    const auto decoded = decodeDatagram(encodeDatagram({ node_id("10.0.0.3:7200"), message }));
    ASSERT_TRUE(decoded);
    const auto& received = std::get<target_limit_message>(decoded->body);
    EXPECT_EQ(received.target, message.target);
    EXPECT_EQ(std::get<limit_notice>(received.body).known.limit.requestsPerSecond, 4.2);
    const target_limit_message invalid { limited_target("t1"), {}, limit_notice { { { -1, 5 }, 30ms }, {}, false } };
    EXPECT_FALSE(decodeDatagram(encodeDatagram({ node_id("10.0.0.3:7200"), invalid })));
}

rollout_report sampleReport()
{
    rollout_report report { service_name("s"), 7, 123, 4, 900, 12, true, {} };
    report.cells.push_back({ 3, ~std::uint64_t { 0 }, { 10, 2, { 0, 1, 7 } } });
    report.cells.push_back({ 0, 0, { 4, 0, {} } });
    return report;
}

bool isInRange(const rollout_message& message)
{
    if (const auto* state = std::get_if<rollout_state>(&message))
        return state->share >= 0 && state->share <= 1 && state->phase <= rollout_phase::RolledBack;
    const auto* report = std::get_if<rollout_report>(&message);
    const auto isSound = [](const rollout_cell& cell) {
        return cell.route < MaxRolloutRoutes && cell.counts.failures <= cell.counts.responses;
    };
    return !report
        || (report->cells.size() <= MaxRolloutCells
            && std::all_of(report->cells.begin(), report->cells.end(), isSound));
}

TEST(GatewayMessageCodec, RolloutMessagesRoundTrip)
{
    const auto sent = [](const rollout_message& message) {
        const auto decoded = decodeDatagram(encodeDatagram({ node_id("10.0.0.3:7200"), message }));
        return decoded ? std::optional(std::get<rollout_message>(decoded->body)) : std::nullopt;
    };
    ASSERT_TRUE(sent(sampleReport()));
    const auto report = std::get<rollout_report>(*sent(sampleReport()));
    EXPECT_EQ(report.service.value(), "s");
    EXPECT_EQ(report.order, 7U);
    EXPECT_EQ(report.nodeStart, 123U);
    EXPECT_EQ(report.sequence, 4U);
    EXPECT_EQ(report.requests, 900U);
    EXPECT_EQ(report.oldInFlight, 12U);
    EXPECT_TRUE(report.shifting);
    ASSERT_EQ(report.cells.size(), 2U);
    EXPECT_EQ(report.cells[0].route, 3U);
    EXPECT_EQ(report.cells[0].target, ~std::uint64_t { 0 });
    EXPECT_EQ(report.cells[0].counts.failures, 2U);
    EXPECT_EQ(report.cells[0].counts.latencies[2], 7U);
    const auto state
        = std::get<rollout_state>(*sent(rollout_state { service_name("s"), 7, 9, rollout_phase::RolledBack, 0.25 }));
    EXPECT_EQ(state.revision, 9U);
    EXPECT_EQ(state.phase, rollout_phase::RolledBack);
    EXPECT_DOUBLE_EQ(state.share, 0.25);
    EXPECT_EQ(std::get<exposure_request>(*sent(exposure_request { service_name("s"), 7, 5 })).number, 5U);
    EXPECT_TRUE(std::get<exposure_answer>(*sent(exposure_answer { 5, true })).granted);
}

// Guards against a report that alone decides a rollout, and against states that no decider sends.
TEST(GatewayMessageCodec, ImpossibleRolloutMessagesAreRejected)
{
    const auto isRejected = [](const rollout_message& message) {
        return !decodeDatagram(encodeDatagram({ node_id("10.0.0.3:7200"), message }));
    };
    const auto isRejectedWith = [&isRejected](const std::function<void(rollout_report&)>& change) {
        auto report = sampleReport();
        change(report);
        return isRejected(report);
    };
    EXPECT_TRUE(isRejectedWith([](auto& report) { report.service = {}; }));
    EXPECT_TRUE(isRejectedWith([](auto& report) { report.service = service_name(std::string(300, 'x')); }));
    EXPECT_TRUE(isRejectedWith([](auto& report) { report.cells.resize(MaxRolloutCells + 1); }));
    EXPECT_TRUE(isRejectedWith([](auto& report) { report.requests = ~std::uint64_t { 0 }; }));
    EXPECT_TRUE(isRejectedWith([](auto& report) { report.cells[0].route = MaxRolloutRoutes; }));
    EXPECT_TRUE(isRejectedWith([](auto& report) { report.cells[0].counts.failures = 11; }));
    EXPECT_TRUE(isRejectedWith([](auto& report) { report.cells[0].counts.latencies[5] = 3; }));
    EXPECT_TRUE(isRejectedWith([](auto& report) { report.cells[0].counts.responses = ~std::uint64_t { 0 }; }));
    EXPECT_TRUE(isRejected(rollout_state { service_name("s"), 7, 9, static_cast<rollout_phase>(4), 0 }));
    EXPECT_TRUE(isRejected(rollout_state { service_name("s"), 7, 9, rollout_phase::Observing, 1.5 }));
    EXPECT_TRUE(isRejected(rollout_state { service_name("s"), 7, 9, rollout_phase::Observing, std::nan("") }));
    EXPECT_TRUE(isRejected(exposure_request { {}, 7, 5 }));
}

// Guards against a report that the receiver cuts off: datagrams are received up to 8,192 bytes.
TEST(GatewayMessageCodec, ALargeRolloutReportFitsIntoADatagram)
{
    auto report = sampleReport();
    report.service = service_name(std::string(64, 's'));
    report.cells.clear();
    for (std::size_t index = 0; index < MaxRolloutCells; ++index) {
        rollout_cell cell { 15, ~std::uint64_t { 0 } - index, { 100'000, 50'000, {} } };
        cell.counts.latencies.fill(8'000);
        report.cells.push_back(cell);
    }
    EXPECT_LT(encodeDatagram({ node_id("10.0.0.3:7200"), rollout_message(report) }).size(), 8'192U);
}

// Guards against orders that reach other nodes without the revision that identifies them.
TEST(GatewayMessageCodec, RowsKeepTheirRevision)
{
    news_batch batch;
    batch.changeRevision = changedAt(3);
    batch.readRevision = storedAt(3);
    batch.rows = { { "a", std::string("1"), false, 17 }, { "b", std::string("2"), true, 0 } };
    const auto decoded = decodeBatch(encodeBatch(batch));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->rows[0].revision, 17U);
    EXPECT_EQ(decoded->rows[1].revision, 0U);
}

place_request samplePlaceRequest()
{
    place_report report { 1'700'000'000'000, 9, 40, { 38, 39 }, {} };
    report.uses.push_back({ 5, 3, 100, 200, 1'000, 30s, 40ms, std::nullopt });
    return { 41, { service_name("svc"), availability_zone("z"), 1, 3 }, 2, 77, 150ms, 200ms, 1'000, 300, 90ms, 700ms,
        { 5, ~target_hash { 0 } }, report };
}

TEST(GatewayMessageCodec, PlaceMessagesRoundTrip)
{
    const auto sent = [](const place_message& message) {
        const auto decoded
            = decodeDatagram(encodeDatagram({ node_id("10.0.0.3:7200"), place_datagram { message, 123 } }));
        return decoded ? std::optional(std::get<place_datagram>(decoded->body).message) : std::nullopt;
    };
    const auto sample = samplePlaceRequest();
    const auto request = std::get<place_request>(sent(sample).value());
    EXPECT_EQ(request.number, 41U);
    EXPECT_TRUE(request.shard == sample.shard);
    EXPECT_EQ(request.rank, 2U);
    EXPECT_EQ(request.team, 77U);
    EXPECT_EQ(request.latestStart, 150ms);
    EXPECT_EQ(request.objective, 200ms);
    EXPECT_EQ(request.promptTokens, 1'000U);
    EXPECT_EQ(request.outputTokens, 300U);
    EXPECT_EQ(request.prefillTime, 90ms);
    EXPECT_EQ(request.waited, 700ms);
    EXPECT_EQ(request.excluded, sample.excluded);
    ASSERT_TRUE(request.report);
    EXPECT_EQ(request.report->open, sample.report->open);
    EXPECT_EQ(request.report->newest, 40U);
    const auto& use = request.report->uses.at(0);
    EXPECT_EQ(use.inFlight, 3U);
    EXPECT_EQ(use.unreadTokens, 100U);
    EXPECT_EQ(use.heldTokens, 200U);
    EXPECT_EQ(use.completed, 1'000U);
    EXPECT_EQ(use.busy, 30s);
    EXPECT_EQ(use.refusedAgo, 40ms);
    EXPECT_FALSE(use.faultAgo);
    const auto answer = std::get<place_answer>(sent(
        place_answer { 41, sample.shard, place_outcome::Granted, target_name("t"), 0ms, 0ms,
            { 7, 8ms } }).value());
    EXPECT_EQ(answer.outcome, place_outcome::Granted);
    EXPECT_EQ(answer.target.value(), "t");
    EXPECT_EQ(answer.room.free, 7U);
    EXPECT_EQ(answer.room.wait, 8ms);
    EXPECT_EQ(std::get<place_state>(sent(place_state { sample.shard, *sample.report }).value()).report.sequence, 9U);
    EXPECT_EQ(std::get<place_cancel>(sent(place_cancel { sample.shard, 41 }).value()).number, 41U);
    EXPECT_EQ(std::get<place_renewal>(sent(place_renewal { sample.shard, { 1, 2 } }).value()).numbers.size(), 2U);
    EXPECT_EQ(std::get<place_line_state>(sent(place_line_state { sample.shard, { 1 } }).value()).waiting.size(), 1U);
}

TEST(GatewayMessageCodec, ImpossiblePlaceMessagesAreRejected)
{
    const auto isAccepted = [](const place_message& message) {
        return decodeDatagram(encodeDatagram({ node_id("10.0.0.3:7200"), place_datagram { message, 0 } })).has_value();
    };
    const auto sample = samplePlaceRequest();
    auto shard = sample.shard;
    shard.index = shard.count;
    EXPECT_FALSE(isAccepted(place_cancel { shard, 1 })) << "there is no such shard";
    shard.count = 100'000;
    EXPECT_FALSE(isAccepted(place_cancel { shard, 1 })) << "too many shards";
    EXPECT_FALSE(isAccepted(place_cancel { {}, 1 })) << "no service";
    EXPECT_FALSE(isAccepted(place_answer { 1, sample.shard, place_outcome::Granted, {}, 0ms, 0ms, {} })) << "no target";
    EXPECT_FALSE(isAccepted(
        place_answer { 1, sample.shard, place_outcome::Granted, target_name(std::string(300, 't')), 0ms, 0ms, {} }));
    auto request = sample;
    request.excluded.assign(10'000, 1);
    request.report->open.assign(10'000, 1);
    request.report->uses.assign(10'000, sample.report->uses[0]);
    const auto bytes = encodeDatagram({ node_id("10.0.0.3:7200"), place_datagram { request, 123 } });
    EXPECT_LT(bytes.size(), 8'192U) << "long lists are cut to fit into a datagram";
    const auto decoded = decodeDatagram(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<place_datagram>(decoded->body).request, 123U);
}

TEST(GatewayMessageCodec, LargeBatchesAreDeflatedAndBounded)
{
    news_batch batch;
    batch.changeRevision = changedAt(3);
    batch.readRevision = storedAt(3);
    batch.whole = true;
    for (int number = 0; number < 300; ++number)
        batch.rows.push_back({ "target-" + std::to_string(number), std::string(200, 'x'), false });
    const auto bytes = encodeBatch(batch);
    EXPECT_LT(bytes.size(), 60'000U / 5);
    const auto decoded = decodeBatch(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(decoded->whole);
    ASSERT_EQ(decoded->rows.size(), 300U);
    EXPECT_EQ(decoded->rows[299].value, batch.rows[299].value);
    EXPECT_FALSE(decodeBatch(bytes.substr(0, bytes.size() / 2)));
    auto packed = packRows(batch.rows);
    packed.plainBytes = 2'000'000'000;
    EXPECT_FALSE(decodeBatch(encodeBatch(batch, packed))) << "declares 2 GB of rows";
}

// Guards against rows that are taken over although their checksum or their declared size is wrong.
TEST(GatewayMessageCodec, IncompleteOrAlteredRowsAreRejected)
{
    news_batch batch;
    batch.changeRevision = changedAt(3);
    batch.readRevision = storedAt(3);
    batch.rows.push_back({ "key", std::string(50'000, 'v'), false });
    const auto packed = packRows(batch.rows);
    ASSERT_GT(packed.plainBytes, 0U);
    ASSERT_TRUE(decodeBatch(encodeBatch(batch, packed)));
    const auto isRejected = [&](std::string bytes, std::uint32_t plainBytes) {
        return !decodeBatch(encodeBatch(batch, { std::move(bytes), plainBytes }));
    };
    for (std::size_t missing = 1; missing <= packed.bytes.size(); ++missing)
        EXPECT_TRUE(isRejected(packed.bytes.substr(0, packed.bytes.size() - missing), packed.plainBytes)) << missing;
    auto altered = packed.bytes;
    altered.back() = static_cast<char>(altered.back() ^ 1);
    EXPECT_TRUE(isRejected(altered, packed.plainBytes)) << "checksum";
    EXPECT_TRUE(isRejected(packed.bytes, packed.plainBytes - 1));
    EXPECT_TRUE(isRejected(packed.bytes, packed.plainBytes + 1));
}

RC_GTEST_PROP(GatewayMessageCodec, RowsRoundTrip,
    (const std::vector<std::pair<std::string, std::string>>& rows, std::uint32_t number, std::uint32_t epoch))
{
    news_batch batch;
    batch.changeRevision = { number, { epoch, number } };
    batch.readRevision = { epoch + std::uint64_t { 1 }, number / 2 };
    for (const auto& [key, value] : rows)
        batch.rows.push_back({ key, value, value.empty() });
    const auto decoded = decodeBatch(encodeBatch(batch));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->changeRevision == batch.changeRevision && decoded->readRevision == batch.readRevision);
    RC_ASSERT(decoded->rows.size() == rows.size());
    for (std::size_t index = 0; index < rows.size(); ++index) {
        RC_ASSERT(decoded->rows[index].key == rows[index].first);
        RC_ASSERT(decoded->rows[index].value == rows[index].second);
        RC_ASSERT(decoded->rows[index].removed == rows[index].second.empty());
    }
}

TEST(GatewayMessageCodec, SharedRetriesRoundTripWithinTheirLimits)
{
    const auto sent = [](const retry_share_message& message) {
        return decodeDatagram(encodeDatagram({ node_id("10.0.0.1:80"), message }));
    };
    const auto request = sent(retry_share_request { 7, service_name("s"), 2 });
    ASSERT_TRUE(request);
    const auto& body = std::get<retry_share_request>(std::get<retry_share_message>(request->body));
    EXPECT_EQ(body.number, 7U);
    EXPECT_EQ(body.service.value(), "s");
    EXPECT_EQ(body.wanted, 2U);
    const auto answer = sent(retry_share_answer { 7, 1 });
    ASSERT_TRUE(answer);
    EXPECT_EQ(std::get<retry_share_answer>(std::get<retry_share_message>(answer->body)).granted, 1U);
    EXPECT_FALSE(sent(retry_share_request { 7, service_name(), 2 }));
    EXPECT_FALSE(sent(retry_share_request { 7, service_name(std::string(300, 's')), 2 }));
    EXPECT_FALSE(sent(retry_share_answer { 7, 1'000'000 }));
}

TEST(GatewayMessageCodec, DeparturesRoundTrip)
{
    news_batch batch;
    batch.departures.push_back({ target_name("t1"), { 1'700'000'000'000, 80 }, 4s });
    batch.departures.push_back({ target_name("t2"), { 2, 3 }, std::nullopt });
    const auto decoded = decodeBatch(encodeBatch(batch));
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->departures.size(), 2U);
    EXPECT_EQ(decoded->departures[0].target.value(), "t1");
    EXPECT_EQ(decoded->departures[0].last, (registration_version { 1'700'000'000'000, 80 }));
    EXPECT_EQ(decoded->departures[0].sinceRemoval, 4s);
    EXPECT_FALSE(decoded->departures[1].sinceRemoval);
    batch.departures.push_back({ target_name(), { 2, 3 }, std::nullopt });
    EXPECT_FALSE(decodeBatch(encodeBatch(batch))) << "names no target";
}

crash_record sampleCrashRecord(std::size_t notes)
{
    crash_record record { 123'456'789ms, {} };
    for (std::size_t number = 1; number <= notes; ++number) {
        crash_note note { number, {}, 70s, { 3, 50 } };
        for (std::uint64_t crash = 1; crash <= 3; ++crash)
            note.sightings.push_back({ crash, target_name("target-" + std::to_string(crash)), 24h, number + 1, 9 });
        record.notes.push_back(note);
    }
    return record;
}

TEST(GatewayMessageCodec, CrashRecordsRoundTrip)
{
    const auto decoded = decodeCrashRecord(encodeCrashRecord(sampleCrashRecord(2), 1'000));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->writtenAt, 123'456'789ms);
    ASSERT_EQ(decoded->notes.size(), 2U);
    const auto& note = decoded->notes[1];
    EXPECT_EQ(note.request, 2U);
    EXPECT_EQ(note.sinceCleared, 70s);
    EXPECT_EQ(note.share.withPart, 3U);
    EXPECT_EQ(note.share.all, 50U);
    ASSERT_EQ(note.sightings.size(), 3U);
    EXPECT_EQ(note.sightings[2].crash, 3U);
    EXPECT_EQ(note.sightings[2].target.value(), "target-3");
    EXPECT_EQ(note.sightings[2].age, 24h);
    EXPECT_EQ(note.sightings[2].request, 3U);
    EXPECT_EQ(note.sightings[2].concurrentRequests, 9U);
    EXPECT_FALSE(decodeCrashRecord("no record"));
}

// Guards against a record that the store rejects for its size, and is then not written at all.
TEST(GatewayMessageCodec, CrashRecordsAreBounded)
{
    const auto record = sampleCrashRecord(256);
    for (const std::size_t maxBytes : { 10U, 100U, 1'000U, 24'576U }) {
        const auto bytes = encodeCrashRecord(record, maxBytes);
        EXPECT_LE(bytes.size(), maxBytes);
        const auto decoded = decodeCrashRecord(bytes);
        ASSERT_TRUE(decoded);
        for (std::size_t index = 0; index < decoded->notes.size(); ++index)
            EXPECT_EQ(decoded->notes[index].request, record.notes[index].request) << "the first notes are kept";
    }
    EXPECT_GT(decodeCrashRecord(encodeCrashRecord(record, 24'576))->notes.size(), 100U);
}

RC_GTEST_PROP(GatewayMessageCodec, MutatedCrashRecordsAreDecodedOrDropped,
    (const std::vector<std::pair<std::uint16_t, char>>& changed))
{
    auto bytes = encodeCrashRecord(sampleCrashRecord(3), 1'000);
    for (const auto& [position, byte] : changed)
        bytes[position % bytes.size()] = byte;
    const auto record = decodeCrashRecord(bytes);
    RC_ASSERT(!record || record->writtenAt >= 0ms);
}

RC_GTEST_PROP(GatewayMessageCodec, MutatedMessagesAreDecodedOrDropped,
    (const std::vector<std::pair<std::uint16_t, char>>& changed))
{
    news_batch small { changedAt(7), storedAt(8), 5ms, 9ms, false, { { "key", "value", false } } };
    small.departures.push_back({ target_name("t1"), { 1, 80 }, 4s });
    news_batch large { changedAt(7), storedAt(8), 5ms, std::nullopt, true,
        { { "key", std::string(5'000, 'v'), false } } };
    membership_message message { { node_id("n"), availability_zone("z"), region_name("r"), member_state::Alive, 1 },
        sync_page_message { node_id("m"), true }, {} };
    std::vector<std::string> texts { encodeBatch(small), encodeBatch(large),
        encodeDatagram({ node_id("10.0.0.1:80"), sampleDigest() }), encodeDatagram({ node_id("10.0.0.1:80"), message }),
        encodeDatagram(
            { node_id("10.0.0.1:80"), retry_share_message(retry_share_request { 7, service_name("s"), 1 }) }),
        encodeNodeRow({ availability_zone("z"), node_id("10.0.0.1:80") }),
        encodeDatagram({ node_id("10.0.0.1:80"), rollout_message(sampleReport()) }),
        encodeDatagram({ node_id("10.0.0.1:80"),
            rollout_message(rollout_state { service_name("s"), 7, 9, rollout_phase::Shifting, 1 }) }),
        encodeDatagram({ node_id("10.0.0.1:80"), place_datagram { samplePlaceRequest(), 123 } }) };
    for (auto& text : texts) {
        for (const auto& [position, byte] : changed)
            text[position % text.size()] = byte;
        const auto batch = decodeBatch(text);
        RC_ASSERT(!batch || batch->readRevision >= batch->changeRevision.stored);
        const auto datagram = decodeDatagram(text);
        RC_ASSERT(!datagram || !datagram->sender.empty());
        const auto* rollout = datagram ? std::get_if<rollout_message>(&datagram->body) : nullptr;
        if (rollout) // RC_ASSERT evaluates both sides of an operator
            RC_ASSERT(isInRange(*rollout));
        const auto row = decodeNodeRow(text);
        RC_ASSERT(!row || !row->node.empty());
    }
}

} // namespace
