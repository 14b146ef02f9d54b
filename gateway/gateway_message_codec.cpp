#include "gateway/gateway_message_codec.h"

#include "gateway/crash_news_codec.h"
#include "gateway/rollout_message_codec.h"
#include "gateway/socket_address.h"
#include "wire/membership_codec.h"
#include "wire/messages.pb.h"
#include "wire/target_limit_codec.h"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl.h>
#include <zlib.h>

#include <algorithm>

namespace oriolepick {

namespace {

    /// The registrations of 12,000 targets take 4 MB.
    constexpr std::size_t MaxBatchBytes = 16'777'216;
    constexpr std::size_t MinDeflateBytes = 1'024; ///< smaller batches fit into one packet without compression
    constexpr int DeflateBufferBytes = 8'192;
    constexpr std::uint64_t MaxClockMs = 1'000'000'000'000'000; ///< longer than any machine runs
    constexpr std::uint32_t MaxAgeMs = 3'600'000; ///< one hour; larger ages are invalid

    std::uint32_t clampedAgeMs(std::chrono::milliseconds age)
    {
        return static_cast<std::uint32_t>(std::min<std::int64_t>(std::max<std::int64_t>(age.count(), 0), MaxAgeMs));
    }

    void encodeDigest(const news_digest& digest, wire::news_digest& out)
    {
        for (const auto& topic : digest.topics) {
            auto& encoded = *out.add_topics();
            encoded.set_known(topic.known);
            encoded.set_news_revision(topic.changeRevision.stored.number());
            encoded.set_news_epoch(topic.changeRevision.stored.epoch());
            encoded.set_version(topic.changeRevision.version);
            encoded.set_read_revision(topic.readRevision.number());
            encoded.set_read_epoch(topic.readRevision.epoch());
            encoded.set_age_ms(clampedAgeMs(topic.age));
        }
        out.set_attempted(digest.sinceFailedAttempt.has_value());
        out.set_since_attempt_ms(clampedAgeMs(digest.sinceFailedAttempt.value_or(std::chrono::milliseconds(0))));
        out.set_reader(digest.reader);
        out.set_reply(digest.isReply);
        if (digest.sentAt)
            out.set_sent_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(digest.sentAt->count(), 0)));
        if (digest.sinceRecovery)
            out.set_since_recovery_ms(clampedAgeMs(*digest.sinceRecovery));
    }

    std::optional<news_digest> decodeDigest(const wire::news_digest& in)
    {
        if (static_cast<std::size_t>(in.topics_size()) != StoreTopicCount || in.since_attempt_ms() > MaxAgeMs
            || in.since_recovery_ms() > MaxAgeMs || in.sent_ms() > MaxClockMs)
            return std::nullopt;
        news_digest digest;
        for (std::size_t index = 0; index < StoreTopicCount; ++index) {
            const auto& topic = in.topics(static_cast<int>(index));
            const content_revision changed { topic.version(), { topic.news_epoch(), topic.news_revision() } };
            const store_version read { topic.read_epoch(), topic.read_revision() };
            if (topic.age_ms() > MaxAgeMs || read < changed.stored)
                return std::nullopt;
            digest.topics[index] = { topic.known(), changed, read, std::chrono::milliseconds(topic.age_ms()) };
        }
        if (in.attempted())
            digest.sinceFailedAttempt = std::chrono::milliseconds(in.since_attempt_ms());
        digest.reader = in.reader();
        digest.isReply = in.reply();
        if (in.has_sent_ms())
            digest.sentAt = std::chrono::milliseconds(in.sent_ms());
        if (in.has_since_recovery_ms())
            digest.sinceRecovery = std::chrono::milliseconds(in.since_recovery_ms());
        return digest;
    }

    constexpr std::size_t MaxNameBytes = 256; ///< limit for the names of targets, attempts and copies

    void encodeRecord(const run_record& record, wire::run_record& out)
    {
        out.set_print_high(record.requestHash.high);
        out.set_print_low(record.requestHash.low);
        out.set_origin(record.origin.value());
        out.set_attempt(record.attempt);
        out.set_holder(record.holder.value());
        out.set_copy_address(record.copy.address);
        out.set_copy_name(record.copy.name);
        out.set_resumed(record.resumed);
    }

    std::optional<run_record> decodeRecord(const wire::run_record& in)
    {
        const auto isName = [](const std::string& text) { return !text.empty() && text.size() <= MaxNameBytes; };
        if (!parseSocketAddress(in.origin()) || !parseSocketAddress(in.copy_address()) || !isName(in.attempt())
            || !isName(in.holder()) || !isName(in.copy_name()))
            return std::nullopt;
        return run_record { { in.print_high(), in.print_low() }, node_id(in.origin()), in.attempt(),
            target_name(in.holder()), { in.copy_address(), in.copy_name() }, in.resumed() };
    }

    constexpr std::uint32_t MaxSharedRetries = 1'000; ///< more than any node saves

    void encodeRetries(const retry_share_message& message, wire::gateway_datagram& out)
    {
        if (const auto* request = std::get_if<retry_share_request>(&message)) {
            out.mutable_retry_request()->set_number(request->number);
            out.mutable_retry_request()->set_service(request->service.value());
            out.mutable_retry_request()->set_wanted(request->wanted);
        } else {
            const auto& answer = std::get<retry_share_answer>(message);
            out.mutable_retry_answer()->set_number(answer.number);
            out.mutable_retry_answer()->set_granted(answer.granted);
        }
    }

    std::optional<retry_share_message> decodeRetries(const wire::gateway_datagram& in)
    {
        if (in.has_retry_answer()) {
            const auto& answer = in.retry_answer();
            if (!answer.granted() || answer.granted() > MaxSharedRetries)
                return std::nullopt;
            return retry_share_answer { answer.number(), answer.granted() };
        }
        const auto& request = in.retry_request();
        if (request.service().empty() || request.service().size() > MaxNameBytes || !request.wanted()
            || request.wanted() > MaxSharedRetries)
            return std::nullopt;
        return retry_share_request { request.number(), service_name(request.service()), request.wanted() };
    }

    void encodeRun(const run_message& message, wire::gateway_datagram& out)
    {
        if (const auto* record = std::get_if<run_record>(&message)) {
            encodeRecord(*record, *out.mutable_run());
        } else if (const auto* question = std::get_if<run_question>(&message)) {
            out.mutable_run_question()->set_print_high(question->requestHash.high);
            out.mutable_run_question()->set_print_low(question->requestHash.low);
            out.mutable_run_question()->set_number(question->number);
        } else if (const auto* answer = std::get_if<run_answer>(&message)) {
            out.mutable_run_answer()->set_number(answer->number);
            if (answer->record)
                encodeRecord(*answer->record, *out.mutable_run_answer()->mutable_record());
        } else {
            out.mutable_run_taken()->set_attempt(std::get<run_taken>(message).attempt);
        }
    }

    std::optional<run_message> decodeRun(const wire::gateway_datagram& in)
    {
        if (in.has_run()) {
            if (const auto record = decodeRecord(in.run()))
                return *record;
            return std::nullopt;
        }
        if (in.has_run_question())
            return run_question { { in.run_question().print_high(), in.run_question().print_low() },
                in.run_question().number() };
        if (in.has_run_taken())
            return run_taken { in.run_taken().attempt() };
        if (!in.has_run_answer())
            return std::nullopt;
        run_answer answer { in.run_answer().number(), std::nullopt };
        if (!in.run_answer().has_record())
            return answer;
        answer.record = decodeRecord(in.run_answer().record());
        return answer.record ? std::optional<run_message>(answer) : std::nullopt;
    }

    wire::news_rows encodedRows(const std::vector<stored_row>& rows)
    {
        wire::news_rows encoded;
        for (const auto& row : rows) {
            auto& added = *encoded.add_rows();
            added.set_key(row.key);
            added.set_value(row.value.string());
            added.set_removed(row.removed);
            added.set_revision(row.revision);
        }
        return encoded;
    }

    // Compresses while it encodes: rows may take megabytes.
    std::string deflated(const wire::news_rows& rows)
    {
        std::string bytes;
        google::protobuf::io::GzipOutputStream::Options options;
        options.format = google::protobuf::io::GzipOutputStream::ZLIB;
        options.compression_level = Z_BEST_SPEED;
        options.buffer_size = DeflateBufferBytes;
        {
            google::protobuf::io::StringOutputStream output(&bytes);
            google::protobuf::io::GzipOutputStream deflating(&output, options);
            rows.SerializeToZeroCopyStream(&deflating);
            deflating.Close();
        }
        bytes.shrink_to_fit(); // packed rows are kept
        return bytes;
    }

    /// Decompresses as much as is read.
    class inflating_reader : public google::protobuf::io::CopyingInputStream {
    public:
        /// \param bytes must outlive this object
        explicit inflating_reader(const std::string& bytes)
        {
            m_stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data())); // zlib does not write to it
            m_stream.avail_in = static_cast<uInt>(bytes.size());
            m_status = inflateInit(&m_stream);
        }

        ~inflating_reader() override { inflateEnd(&m_stream); }
        inflating_reader(const inflating_reader&) = delete;
        inflating_reader& operator=(const inflating_reader&) = delete;

        int Read(void* buffer, int size) override
        {
            if (m_status != Z_OK)
                return m_status == Z_STREAM_END ? 0 : -1;
            m_stream.next_out = static_cast<Bytef*>(buffer);
            m_stream.avail_out = static_cast<uInt>(size);
            m_status = inflate(&m_stream, Z_NO_FLUSH);
            const int read = size - static_cast<int>(m_stream.avail_out);
            return read || isAtEnd() ? read : -1;
        }

        /// \return whether all was read and its checksum is right
        bool isAtEnd() const { return m_status == Z_STREAM_END; }

    private:
        z_stream m_stream {};
        int m_status;
    };

    // Decompresses while it decodes. Returns nothing if the rows are malformed or do not have the declared size.
    std::optional<wire::news_rows> inflated(const std::string& bytes, std::uint32_t plainBytes)
    {
        wire::news_rows rows;
        if (plainBytes > MaxBatchBytes)
            return std::nullopt;
        inflating_reader reader(bytes);
        google::protobuf::io::CopyingInputStreamAdaptor input(&reader);
        const void* rest = nullptr;
        int restBytes = 0;
        if (!rows.ParseFromBoundedZeroCopyStream(&input, static_cast<int>(plainBytes)) || input.Next(&rest, &restBytes)
            || !reader.isAtEnd())
            return std::nullopt;
        return rows;
    }

    std::optional<wire::news_rows> decodedRows(const wire::news_batch& batch)
    {
        if (batch.plain_bytes())
            return inflated(batch.rows(), batch.plain_bytes());
        wire::news_rows rows;
        return rows.ParseFromString(batch.rows()) ? std::optional(std::move(rows)) : std::nullopt;
    }

} // namespace

std::string encodeDatagram(const node_datagram& datagram)
{
    wire::gateway_datagram encoded;
    encoded.set_sender(datagram.sender.value());
    if (const auto* message = std::get_if<membership_message>(&datagram.body))
        encode(*message, *encoded.mutable_membership());
    else if (const auto* digest = std::get_if<news_digest>(&datagram.body))
        encodeDigest(*digest, *encoded.mutable_news());
    else if (const auto* crashes = std::get_if<crash_news>(&datagram.body))
        encode(*crashes, *encoded.mutable_crashes());
    else if (const auto* limit = std::get_if<target_limit_message>(&datagram.body))
        encode(*limit, *encoded.mutable_target_limit());
    else if (const auto* retries = std::get_if<retry_share_message>(&datagram.body))
        encodeRetries(*retries, encoded);
    else if (const auto* rollout = std::get_if<rollout_message>(&datagram.body))
        encode(*rollout, *encoded.mutable_rollout());
    else if (const auto* place = std::get_if<place_datagram>(&datagram.body))
        encode(*place, *encoded.mutable_place());
    else
        encodeRun(std::get<run_message>(datagram.body), encoded);
    return encoded.SerializeAsString();
}

std::optional<node_datagram> decodeDatagram(std::string_view bytes)
{
    wire::gateway_datagram encoded;
    if (!encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !parseSocketAddress(encoded.sender()))
        return std::nullopt;
    node_datagram datagram;
    datagram.sender = node_id(encoded.sender());
    if (encoded.has_membership()) {
        auto message = decode(encoded.membership());
        if (!message)
            return std::nullopt;
        datagram.body = std::move(*message);
        return datagram;
    }
    if (encoded.has_news()) {
        const auto digest = decodeDigest(encoded.news());
        if (!digest)
            return std::nullopt;
        datagram.body = *digest;
        return datagram;
    }
    if (encoded.has_crashes()) {
        auto crashes = decode(encoded.crashes());
        if (!crashes)
            return std::nullopt;
        datagram.body = std::move(*crashes);
        return datagram;
    }
    if (encoded.has_target_limit()) {
        auto limit = decode(encoded.target_limit());
        if (!limit)
            return std::nullopt;
        datagram.body = std::move(*limit);
        return datagram;
    }
    if (encoded.has_retry_request() || encoded.has_retry_answer()) {
        auto retries = decodeRetries(encoded);
        if (!retries)
            return std::nullopt;
        datagram.body = std::move(*retries);
        return datagram;
    }
    if (encoded.has_rollout()) {
        auto rollout = decode(encoded.rollout());
        if (!rollout)
            return std::nullopt;
        datagram.body = std::move(*rollout);
        return datagram;
    }
    if (encoded.has_place()) {
        auto place = decode(encoded.place());
        if (!place)
            return std::nullopt;
        datagram.body = std::move(*place);
        return datagram;
    }
    auto message = decodeRun(encoded);
    if (!message)
        return std::nullopt;
    datagram.body = std::move(*message);
    return datagram;
}

packed_rows packRows(const std::vector<stored_row>& rows)
{
    const auto encoded = encodedRows(rows);
    const auto plainBytes = encoded.ByteSizeLong();
    if (plainBytes < MinDeflateBytes)
        return { encoded.SerializeAsString(), 0 };
    return { deflated(encoded), static_cast<std::uint32_t>(plainBytes) };
}

std::string encodeBatch(const news_batch& batch, const packed_rows& rows)
{
    wire::news_batch encoded;
    encoded.set_news_revision(batch.changeRevision.stored.number());
    encoded.set_news_epoch(batch.changeRevision.stored.epoch());
    encoded.set_version(batch.changeRevision.version);
    encoded.set_read_revision(batch.readRevision.number());
    encoded.set_read_epoch(batch.readRevision.epoch());
    encoded.set_age_ms(clampedAgeMs(batch.age));
    encoded.set_whole(batch.whole);
    encoded.set_rows(rows.bytes);
    encoded.set_plain_bytes(rows.plainBytes);
    if (batch.sinceRecovery)
        encoded.set_since_recovery_ms(clampedAgeMs(*batch.sinceRecovery));
    for (const auto& departure : batch.departures) {
        auto& added = *encoded.add_departures();
        added.set_target(departure.target.value());
        added.set_incarnation(departure.last.incarnation);
        added.set_renewal(departure.last.renewal);
        if (departure.sinceRemoval)
            added.set_since_removal_ms(clampedAgeMs(*departure.sinceRemoval));
    }
    return encoded.SerializeAsString();
}

std::string encodeBatch(const news_batch& batch)
{
    return encodeBatch(batch, packRows(batch.rows));
}

std::optional<news_batch> decodeBatch(std::string_view bytes)
{
    wire::news_batch encoded;
    if (bytes.size() > MaxBatchBytes || !encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || encoded.age_ms() > MaxAgeMs || encoded.since_recovery_ms() > MaxAgeMs)
        return std::nullopt;
    const content_revision changed { encoded.version(), { encoded.news_epoch(), encoded.news_revision() } };
    const store_version read { encoded.read_epoch(), encoded.read_revision() };
    if (read < changed.stored)
        return std::nullopt;
    auto rows = decodedRows(encoded);
    if (!rows)
        return std::nullopt;
    news_batch batch;
    batch.changeRevision = changed;
    batch.readRevision = read;
    batch.age = std::chrono::milliseconds(encoded.age_ms());
    if (encoded.has_since_recovery_ms())
        batch.sinceRecovery = std::chrono::milliseconds(encoded.since_recovery_ms());
    batch.whole = encoded.whole();
    for (const auto& each : encoded.departures()) {
        if (each.target().empty() || each.target().size() > MaxNameBytes || each.since_removal_ms() > MaxAgeMs)
            return std::nullopt;
        target_departure departure { target_name(each.target()), { each.incarnation(), each.renewal() }, std::nullopt };
        if (each.has_since_removal_ms())
            departure.sinceRemoval = std::chrono::milliseconds(each.since_removal_ms());
        batch.departures.push_back(std::move(departure));
    }
    for (auto& row : *rows->mutable_rows())
        batch.rows.push_back(
            { std::move(*row.mutable_key()), std::move(*row.mutable_value()), row.removed(), row.revision() });
    return batch;
}

packed_rows packedRowsOf(std::string_view bytes)
{
    wire::news_batch encoded;
    encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    return { std::move(*encoded.mutable_rows()), encoded.plain_bytes() };
}

} // namespace oriolepick
