#include "bench/placement_trace.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace oriolepick {

namespace {

    constexpr std::uint32_t BlockTokens = 64;
    constexpr double ServiceShare = 0.15; ///< of the requests that are calls to plain services

    std::uint32_t between(seeded_random& random, std::uint32_t low, std::uint32_t high)
    {
        return low + static_cast<std::uint32_t>(random.below(high - low + 1));
    }

    int weighted(seeded_random& random, const std::vector<double>& cumulative)
    {
        const double value = random.unit() * cumulative.back();
        return static_cast<int>(std::upper_bound(cumulative.begin(), cumulative.end(), value) - cumulative.begin());
    }

    std::vector<double> zipf(int count, double exponent)
    {
        std::vector<double> cumulative;
        double sum = 0;
        for (int rank = 1; rank <= count; ++rank)
            cumulative.push_back(sum += std::pow(rank, -exponent));
        return cumulative;
    }

    // Chained hashes: a document's blocks are equal in all prompts that begin with it.
    void appendBlocks(std::vector<block_hash>& blocks, std::uint32_t tokens, std::uint64_t content)
    {
        block_hash chain = blocks.empty() ? 0 : blocks.back();
        for (std::uint32_t index = 0; index < tokens / BlockTokens; ++index)
            blocks.push_back(chain = extendDigest(chain ^ content, index));
    }

    struct trace_source {
        const trace_profile& profile;
        seeded_random& random;
        std::vector<std::uint32_t> documentTokens;
        std::vector<double> documents;
        std::vector<double> teams;

        traced_request make()
        {
            traced_request request;
            request.team = weighted(random, teams);
            const double kind = random.unit();
            if (kind < profile.urgentShare)
                request.priority = request_priority::Urgent;
            else if (kind < profile.urgentShare + profile.bulkShare)
                request.priority = request_priority::Bulk;
            if (random.unit() < ServiceShare) {
                request.service = true;
                return request;
            }
            const int document = weighted(random, documents);
            const auto own = between(random, profile.ownMin, profile.ownMax);
            appendBlocks(request.blocks, documentTokens[static_cast<std::size_t>(document)],
                stableHash(profile.name, static_cast<std::uint64_t>(document)));
            request.promptTokens = static_cast<std::uint32_t>(request.blocks.size()) * BlockTokens + own;
            appendBlocks(request.blocks, own, random.next());
            request.outputTokens = between(random, profile.outputMin, profile.outputMax);
            if (request.priority == request_priority::Urgent)
                request.outputTokens = between(random, 30, 80);
            else if (random.unit() < profile.longShare)
                request.outputTokens = between(random, 1'000, 2'000);
            return request;
        }
    };

} // namespace

trace_profile atelierProfile()
{
    trace_profile profile;
    profile.name = "atelier";
    return profile;
}

trace_profile refillProfile()
{
    trace_profile profile;
    profile.name = "refill";
    profile.zones = 3;
    profile.nodes = 6;
    profile.services = 3;
    profile.latencyWeight = 0.2;
    profile.documents = 120;
    profile.documentMin = 600;
    profile.documentMax = 2'500;
    profile.ownMin = 200;
    profile.ownMax = 1'000;
    profile.outputMin = 80;
    profile.outputMax = 300;
    profile.urgentShare = 0.3;
    profile.bulkShare = 0.5;
    profile.longShare = 0.03;
    return profile;
}

std::chrono::milliseconds deadlineOf(request_priority priority)
{
    constexpr std::array<std::chrono::milliseconds, PriorityCount> Deadlines { std::chrono::milliseconds(20'000),
        std::chrono::milliseconds(4'000), std::chrono::milliseconds(2'000) };
    return Deadlines[indexOf(priority)];
}

std::vector<traced_request> makeTrace(
    const trace_profile& profile, const std::vector<load_phase>& phases, std::uint64_t seed)
{
    seeded_random random(seed);
    trace_source source { profile, random, {}, zipf(profile.documents, 0.9), zipf(TraceTeams, 1.0) };
    for (int document = 0; document < profile.documents; ++document)
        source.documentTokens.push_back(between(random, profile.documentMin, profile.documentMax));
    std::vector<traced_request> trace;
    double time = 0;
    double end = 0;
    for (const auto& phase : phases) {
        end += static_cast<double>(phase.length.count());
        while ((time += -std::log(1 - random.unit()) / phase.requestsPerSecond) < end) {
            trace.push_back(source.make());
            trace.back().at = std::chrono::nanoseconds(static_cast<std::int64_t>(time * 1e9));
        }
        time = end;
    }
    return trace;
}

} // namespace oriolepick
