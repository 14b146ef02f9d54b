// Processor time that one version of the configuration costs a node, by step and by number of routes: the first
// version, and versions that change one route. Usage: bench_config_versions [seed]
#include "bench/config_node.h"
#include "bench/json_line.h"
#include "core/seeded_random.h"
#include "gateway/gateway_message_codec.h"
#include "platform/row_page_decoder.h"
#include "platform/test/config_documents.h"
#include "routing/route_table.h"

#include <absl/strings/escaping.h>

#include <cstdlib>
#include <ctime>
#include <functional>
#include <optional>

using namespace oriolepick;

namespace {

constexpr std::uint64_t Epoch = 1;

// Processor time by step, in milliseconds.
struct step_times {
    double page = 0; // JSON and base64 of the store's answer, at the reader
    double merge = 0; // of the read rows: order of versions, decoding, index
    double pack = 0; // the answer to one neighbour
    double pulled = 0; // at a neighbour: unpacking, order of versions, decoding, index
};

double processorMs(const std::function<void()>& step)
{
    const auto start = std::clock();
    step();
    return 1e3 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

std::string pageOf(const std::string& document, std::uint64_t revision)
{
    return R"({"rows":[{"key":"config","value":")" + absl::Base64Escape(document) + R"("}],"rowVersion":)"
        + std::to_string(revision) + "}";
}

// Takes a version from the store to a neighbour, and adds the time of each step.
void takeVersion(
    config_node& reader, config_node& neighbour, const std::string& document, std::uint64_t revision, step_times& times)
{
    const auto body = pageOf(document, revision);
    const bool whole = !reader.follower.replica().isLoaded();
    row_answer answer;
    std::string problem;
    times.page += processorMs([&] { answer.rows = decodeRowPage(body, problem).value().rows; });
    answer.status = row_status::Done;
    answer.revision = { Epoch, revision };
    times.merge += processorMs([&] { reader.follower.mergeRead(answer, whole); });
    const auto known = neighbour.follower.replica().changeRevision();
    std::string bytes;
    times.pack += processorMs([&] {
        bytes = encodeBatch(
            reader.follower.replica().changesAfter(whole ? std::nullopt : std::optional<content_revision>(known)));
    });
    times.pulled += processorMs([&] { neighbour.follower.mergePulled(decodeBatch(bytes).value(), known); });
    if (reader.active.version() != neighbour.active.version())
        std::abort();
}

void print(std::uint64_t seed, std::size_t routes, const char* change, std::size_t bytes, int versions,
    const step_times& times)
{
    const auto each = [versions](double total) { return total / versions; };
    printResult("config_version", seed,
        { { "routes", routes }, { "change", change }, { "document_bytes", bytes }, { "versions", versions } },
        { { "page", each(times.page) }, { "merge", each(times.merge) }, { "pack", each(times.pack) },
            { "pulled", each(times.pulled) } },
        { { "page", "ms" }, { "merge", "ms" }, { "pack", "ms" }, { "pulled", "ms" } });
}

void benchVersions(std::uint64_t seed, std::size_t routes)
{
    constexpr int Versions = 20;
    seeded_random random(seed);
    config_documents documents(routes);
    config_node reader;
    config_node neighbour;
    std::uint64_t version = 1;
    step_times first;
    takeVersion(reader, neighbour, documents.text(version), version, first);
    print(seed, routes, "first", documents.text(version).size(), 1, first);
    step_times changed;
    for (int count = 0; count < Versions; ++count) {
        documents.changeRoute(static_cast<std::size_t>(random.next()));
        ++version;
        takeVersion(reader, neighbour, documents.text(version), version, changed);
    }
    print(seed, routes, "one_route", documents.text(version).size(), Versions, changed);
}

// Processor time of one look-up of a route.
void benchLookUp(std::uint64_t seed, std::size_t routes)
{
    constexpr int LookUps = 100;
    seeded_random random(seed);
    config_documents documents(routes);
    config_node node;
    row_answer answer;
    answer.status = row_status::Done;
    answer.revision = { Epoch, 1 };
    answer.rows.push_back({ config_applier::Key, documents.text(1), false });
    node.follower.mergeRead(answer, true);
    const auto& table = *node.active.table();
    std::size_t found = 0;
    const auto time = processorMs([&] {
        for (int count = 0; count < LookUps; ++count) {
            const auto number = random.next() % routes;
            found += table.find(
                         "host-" + std::to_string(number % 7) + ".example", "/path-" + std::to_string(number) + "/x")
                ? 1
                : 0;
        }
    });
    if (found != LookUps)
        std::abort();
    printResult("config_look_up", seed, { { "routes", routes } }, { { "look_up", 1e3 * time / LookUps } },
        { { "look_up", "us" } });
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261205;
    for (const std::size_t routes : { 10, 100, 1'500, 20'000 }) {
        benchVersions(seed, routes);
        benchLookUp(seed, routes);
    }
    return 0;
}
