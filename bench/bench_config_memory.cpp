// Memory of one version of the configuration at a node, in bytes by part and by number of routes: what is held while
// the version is in force, and the peak while it is taken. Usage: bench_config_memory [seed]
#include "bench/config_node.h"
#include "bench/json_line.h"
#include "core/seeded_random.h"
#include "gateway/gateway_message_codec.h"
#include "gateway/packed_changes.h"
#include "platform/row_page_decoder.h"
#include "platform/test/config_documents.h"
#include "routing/route_table.h"

#include <absl/strings/escaping.h>
#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <new>
#include <optional>

using namespace oriolepick;

namespace {

std::size_t usedBytes = 0;
std::size_t peakBytes = 0;

void* allocated(std::size_t size)
{
    auto* const block = std::malloc(size ? size : 1);
    if (!block)
        throw std::bad_alloc();
    usedBytes += malloc_usable_size(block);
    peakBytes = std::max(peakBytes, usedBytes);
    return block;
}

void released(void* block)
{
    usedBytes -= block ? malloc_usable_size(block) : 0;
    std::free(block);
}

} // namespace

void* operator new(std::size_t size)
{
    return allocated(size);
}

void* operator new[](std::size_t size)
{
    return allocated(size);
}

void operator delete(void* block) noexcept
{
    released(block);
}

void operator delete[](void* block) noexcept
{
    released(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    released(block);
}

void operator delete[](void* block, std::size_t) noexcept
{
    released(block);
}

namespace {

constexpr std::uint64_t Epoch = 1;

struct sending_node : config_node {
    packed_changes changes; // what it sends to its neighbours
};

struct memory_use {
    std::size_t held = 0; // afterwards
    std::size_t peak = 0;
};

// \return the change of the memory in use by \p step
memory_use useOf(const std::function<void()>& step)
{
    const auto before = usedBytes;
    peakBytes = usedBytes;
    step();
    return { usedBytes - before, peakBytes - before };
}

// The version of another node, from its answer to this node's pull.
void takePulled(sending_node& node, const std::string& answer)
{
    const auto known = node.follower.replica().changeRevision();
    const auto batch = decodeBatch(answer);
    node.follower.mergePulled(*batch, known);
    if (!batch->whole)
        node.changes.adopt(node.follower.replica(), known, batch->rows, packedRowsOf(answer));
}

// The version of the store, from its answer to this node's read.
void takeRead(sending_node& node, const std::string& page, std::uint64_t revision)
{
    row_answer answer;
    answer.rows = decodeRowPage(page, answer.problem).value().rows;
    answer.status = row_status::Done;
    answer.revision = { Epoch, revision };
    node.follower.mergeRead(answer, !node.follower.replica().isLoaded());
}

std::string pageOf(const std::string& document, std::uint64_t revision)
{
    return R"({"rows":[{"key":"config","value":")" + absl::Base64Escape(document) + R"("}],"rowVersion":)"
        + std::to_string(revision) + "}";
}

void print(std::uint64_t seed, std::size_t routes, std::size_t documentBytes, const char* part, const memory_use& use)
{
    const auto ofRoute
        = [routes](std::size_t bytes) { return static_cast<double>(bytes) / static_cast<double>(routes); };
    printResult("config_memory", seed, { { "routes", routes }, { "document_bytes", documentBytes }, { "part", part } },
        { { "held", use.held }, { "peak", use.peak }, { "held_by_route", ofRoute(use.held) },
            { "peak_by_route", ofRoute(use.peak) } },
        { { "held", "bytes" }, { "peak", "bytes" }, { "held_by_route", "bytes" }, { "peak_by_route", "bytes" } });
}

// From a small version to one with further routes, and then one that changes a single route.
void benchNodes(std::uint64_t seed, std::size_t routes)
{
    constexpr std::size_t FirstRoutes = 10;
    seeded_random random(seed);
    config_documents documents(routes);
    sending_node reader;
    sending_node neighbour;
    std::string answer;
    std::uint64_t version = 0;
    const auto take = [&](const std::string& document, const char* part) {
        ++version;
        const auto page = pageOf(document, version);
        const auto known = neighbour.follower.replica().isLoaded()
            ? std::optional(neighbour.follower.replica().changeRevision())
            : std::nullopt;
        const auto read = useOf([&] { takeRead(reader, page, version); });
        const auto sent = useOf([&] {
            const auto changes = reader.follower.replica().changesAfter(known);
            answer = known ? encodeBatch(changes, reader.changes.pack(reader.follower.replica(), changes.rows))
                           : encodeBatch(changes);
        });
        const auto pulled = useOf([&] { takePulled(neighbour, answer); });
        if (reader.active.version() != version || neighbour.active.version() != version)
            std::abort();
        if (!known)
            return;
        const auto name = [part](const char* step) { return std::string(part) + "_" + step; };
        print(seed, routes, document.size(), name("read").c_str(), read);
        print(seed, routes, document.size(), name("answer").c_str(), sent);
        print(seed, routes, document.size(), name("pulled").c_str(), pulled);
    };
    take(config_documents(FirstRoutes).text(1), "first");
    take(documents.text(2), "further_routes");
    documents.changeRoute(static_cast<std::size_t>(random.next()));
    take(documents.text(3), "one_route");
}

void benchParts(std::uint64_t seed, std::size_t routes)
{
    const auto text = config_documents(routes).text(1);
    const auto print = [&](const char* part, const memory_use& use) { ::print(seed, routes, text.size(), part, use); };
    const stored_row row { config_applier::Key, text, false };
    table_replica replica({}, [](const stored_row&) { return std::optional<std::uint64_t>(1); });
    print("replica", useOf([&] { replica.replaceAll({ row }, { Epoch, 1 }); }));
    incremental_config_decoder decoder;
    print("decoder", useOf([&] { decoder.version(row.value); }));
    std::optional<routing_config> config;
    print("config", useOf([&] { config = decoder.decode(row.value).value(); }));
    std::optional<route_table> table;
    print("route_table", useOf([&] { table.emplace(std::move(*config)); }));
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261206;
    for (const std::size_t routes : { 10, 100, 1'500, 20'000 }) {
        benchNodes(seed, routes);
        benchParts(seed, routes);
    }
    return 0;
}
