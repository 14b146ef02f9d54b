// Guards that the published schema is the one that the parser implements.
#include "config/ticket_schema.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace oriolepick;

namespace {

/// The source tree holds the build directory, in which tests run.
std::filesystem::path sourceRoot()
{
    auto path = std::filesystem::current_path();
    while (!std::filesystem::exists(path / "packages.txt") && path.has_relative_path())
        path = path.parent_path();
    return path;
}

} // namespace

TEST(ticket_schema, published_file_equals_the_description)
{
    std::ifstream file(sourceRoot() / "docs/ticket.schema.json");
    const std::string published { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    EXPECT_EQ(published, ticketSchema()) << "write the output of `oriolepick ticket schema` to docs/ticket.schema.json";
}
