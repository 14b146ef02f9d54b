#include "gateway/crash_news_codec.h"

#include "wire/messages.pb.h"

#include <algorithm>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds MaxAge { std::chrono::hours(48) }; ///< twice the duration of a quarantine
    constexpr std::size_t MaxNameBytes = 256;
    constexpr std::chrono::milliseconds MaxStoreClock { 1'000'000'000'000'000 }; ///< longer than any store runs
    constexpr std::size_t MaxFieldPrefixBytes = 4; ///< tag and length of a note

    std::uint32_t clampedAgeMs(std::chrono::milliseconds age)
    {
        return static_cast<std::uint32_t>(std::clamp(age, std::chrono::milliseconds(0), MaxAge).count());
    }

    bool isValidAge(std::uint32_t milliseconds)
    {
        return std::chrono::milliseconds(milliseconds) <= MaxAge;
    }

    void encodeNote(const crash_note& note, wire::crash_note& out)
    {
        out.set_request(note.request);
        for (const auto& each : note.sightings) {
            auto& sighting = *out.add_sightings();
            sighting.set_crash(each.crash);
            sighting.set_target(each.target.value());
            sighting.set_age_ms(clampedAgeMs(each.age));
            sighting.set_request(each.request);
            sighting.set_concurrent_requests(each.concurrentRequests);
        }
        out.set_cleared(note.sinceCleared.has_value());
        out.set_sound_runs(note.share.withPart);
        out.set_all_sound_runs(note.share.all);
        out.set_since_cleared_ms(clampedAgeMs(note.sinceCleared.value_or(std::chrono::milliseconds(0))));
    }

    std::optional<crash_note> decodeNote(const wire::crash_note& in)
    {
        if (static_cast<std::size_t>(in.sightings_size()) > MaxCrashSightings || !isValidAge(in.since_cleared_ms())
            || in.sound_runs() > in.all_sound_runs())
            return std::nullopt;
        crash_note note;
        note.request = in.request();
        for (const auto& each : in.sightings()) {
            if (each.target().empty() || each.target().size() > MaxNameBytes || !isValidAge(each.age_ms()))
                return std::nullopt;
            note.sightings.push_back({ each.crash(), target_name(each.target()),
                std::chrono::milliseconds(each.age_ms()), each.request(), each.concurrent_requests() });
        }
        note.share = { in.sound_runs(), in.all_sound_runs() };
        if (in.cleared())
            note.sinceCleared = std::chrono::milliseconds(in.since_cleared_ms());
        return note;
    }

} // namespace

void encode(const crash_news& news, wire::crash_news& out)
{
    out.set_purpose(static_cast<std::uint32_t>(news.messagePurpose));
    for (const auto& note : news.notes)
        encodeNote(note, *out.add_notes());
    out.set_has_digest(news.digest.has_value());
    if (news.digest) {
        out.set_requests(news.digest->requests);
        out.set_hash(news.digest->hash);
    }
}

std::optional<crash_news> decode(const wire::crash_news& in)
{
    if (in.purpose() > static_cast<std::uint32_t>(crash_news::purpose::TrialGrant)
        || static_cast<std::size_t>(in.notes_size()) > MaxCrashNotes)
        return std::nullopt;
    crash_news news;
    news.messagePurpose = static_cast<crash_news::purpose>(in.purpose());
    for (const auto& each : in.notes()) {
        auto note = decodeNote(each);
        if (!note)
            return std::nullopt;
        news.notes.push_back(std::move(*note));
    }
    if (in.has_digest())
        news.digest = quarantine_digest { in.requests(), in.hash() };
    return news;
}

std::string encodeCrashRecord(const crash_record& record, std::size_t maxBytes)
{
    wire::crash_record encoded;
    encoded.set_written_ms(
        static_cast<std::uint64_t>(std::clamp(record.writtenAt, std::chrono::milliseconds(0), MaxStoreClock).count()));
    auto bytes = encoded.ByteSizeLong();
    for (const auto& note : record.notes) {
        wire::crash_note added;
        encodeNote(note, added);
        bytes += added.ByteSizeLong() + MaxFieldPrefixBytes;
        if (bytes > maxBytes)
            break;
        *encoded.add_notes() = std::move(added);
    }
    return encoded.SerializeAsString();
}

std::optional<crash_record> decodeCrashRecord(std::string_view bytes)
{
    wire::crash_record encoded;
    if (!encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || encoded.written_ms() > static_cast<std::uint64_t>(MaxStoreClock.count()))
        return std::nullopt;
    crash_record record;
    record.writtenAt = std::chrono::milliseconds(static_cast<std::int64_t>(encoded.written_ms()));
    for (const auto& each : encoded.notes()) {
        auto note = decodeNote(each);
        if (!note)
            return std::nullopt;
        record.notes.push_back(std::move(*note));
    }
    return record;
}

} // namespace oriolepick
